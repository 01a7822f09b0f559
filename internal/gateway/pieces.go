package gateway

import (
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// pieceBytes of a feed go into one datagram, beside the piece's own fields.
	pieceBytes = maxDatagramBytes - 64
	// piecesMost bounds a feed that is sent in pieces, so that a change of the store does not
	// fill the zone's links. A larger one is read from the store by each.
	piecesMost = 24
)

// piece is a part of a feed that fits no datagram: one change of the store, mostly a
// configuration. Without pieces each instance reads it itself, and calls of the store grow
// with instances times configurations.
type piece struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	At    platform.Revision // Of the feed; it names the feed.
	Index int
	Count int
	Data  []byte
}

// cutPieces cuts an encoded feed into datagrams; none where it is too large.
func cutPieces(f feed, data []byte) ([][]byte, error) {
	count := (len(data) + pieceBytes - 1) / pieceBytes
	if count > piecesMost {
		return nil, nil
	}
	var datagrams [][]byte
	for k := range count {
		part := data[k*pieceBytes : min((k+1)*pieceBytes, len(data))]
		datagram, err := encodeKind(storePiece, piece{From: f.From, At: f.At, Index: k, Count: count, Data: part})
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, datagram)
	}
	return datagrams, nil
}

// valid tells whether a piece can be one of a feed.
func (p *piece) valid() bool {
	return p.Count >= 1 && p.Count <= piecesMost && p.Index >= 0 && p.Index < p.Count
}

// joiner puts feeds together from their pieces, one feed of each sender at a time: the newest.
type joiner struct {
	open map[dispatch.PeerID]*joining
}

type joining struct {
	at      platform.Revision
	parts   [][]byte
	missing int
}

// sendersMost bounds the feeds that are put together at a time: those of a zone's followers.
const sendersMost = 8

// add takes in a piece and returns the encoded feed once it is whole.
func (j *joiner) add(p piece) []byte {
	if !p.valid() {
		return nil
	}
	if j.open == nil || len(j.open) >= sendersMost && j.open[p.From] == nil {
		j.open = make(map[dispatch.PeerID]*joining)
	}
	f := j.open[p.From]
	if f == nil || p.At > f.at {
		f = &joining{at: p.At, parts: make([][]byte, p.Count), missing: p.Count}
		j.open[p.From] = f
	}
	if p.At < f.at || p.Count != len(f.parts) || f.parts[p.Index] != nil {
		return nil
	}
	f.parts[p.Index] = p.Data
	if f.missing--; f.missing > 0 {
		return nil
	}
	delete(j.open, p.From)
	var data []byte
	for _, part := range f.parts {
		data = append(data, part...)
	}
	return data
}
