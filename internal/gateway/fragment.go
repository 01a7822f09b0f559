package gateway

import (
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// pieceBytes of a feed go into one datagram, beside the piece's own fields.
	fragmentBytes = maxDatagramBytes - 64
	// piecesMost bounds a feed that is sent in pieces, so that a change of the store does not
	// fill the zone's links. A larger one is read from the store by each.
	maxFragments = 24
)

// piece is a part of a feed that fits no datagram: one change of the store, mostly a
// configuration. Without pieces each instance reads it itself, and calls of the store grow
// with instances times configurations.
type fragment struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	At    platform.Revision // Of the feed; it names the feed.
	Index int
	Count int
	Data  []byte
}

// cutPieces cuts an encoded feed into datagrams; none where it is too large.
func fragmentBatch(b changeBatch, data []byte) ([][]byte, error) {
	count := (len(data) + fragmentBytes - 1) / fragmentBytes
	if count > maxFragments {
		return nil, nil
	}
	var datagrams [][]byte
	for k := range count {
		part := data[k*fragmentBytes : min((k+1)*fragmentBytes, len(data))]
		datagram, err := encodeKind(datagramFragment, fragment{From: b.From, At: b.At, Index: k, Count: count, Data: part})
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, datagram)
	}
	return datagrams, nil
}

// valid tells whether a piece can be one of a feed.
func (frag *fragment) valid() bool {
	return frag.Count >= 1 && frag.Count <= maxFragments && frag.Index >= 0 && frag.Index < frag.Count
}

// joiner puts feeds together from their pieces, one feed of each sender at a time: the newest.
type reassembler struct {
	partial map[dispatch.PeerID]*partialBatch
}

type partialBatch struct {
	at      platform.Revision
	parts   [][]byte
	missing int
}

// sendersMost bounds the feeds that are put together at a time: those of a zone's followers.
const maxSenders = 8

// add takes in a piece and returns the encoded feed once it is whole.
func (r *reassembler) add(frag fragment) []byte {
	if !frag.valid() {
		return nil
	}
	if r.partial == nil || len(r.partial) >= maxSenders && r.partial[frag.From] == nil {
		r.partial = make(map[dispatch.PeerID]*partialBatch)
	}
	batch := r.partial[frag.From]
	if batch == nil || frag.At > batch.at {
		batch = &partialBatch{at: frag.At, parts: make([][]byte, frag.Count), missing: frag.Count}
		r.partial[frag.From] = batch
	}
	if frag.At < batch.at || frag.Count != len(batch.parts) || batch.parts[frag.Index] != nil {
		return nil
	}
	batch.parts[frag.Index] = frag.Data
	if batch.missing--; batch.missing > 0 {
		return nil
	}
	delete(r.partial, frag.From)
	var data []byte
	for _, part := range batch.parts {
		data = append(data, part...)
	}
	return data
}
