package gateway

import (
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/replica"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// fragmentBytes is the part of a batch in one datagram; 64 bytes are left for the fragment's own
	// fields.
	fragmentBytes = maxDatagramBytes - 64
	// maxFragments bounds a batch that is sent in fragments, so that one change of the store doesn't
	// saturate the zone's links. Each instance reads a larger one from the store.
	maxFragments = 24
)

// fragment is a part of a batch that doesn't fit a datagram and cannot be divided: a single change of the store, mostly a
// configuration, or what a read of all keys showed to have changed. Without fragments each instance would read it from the store, whose calls would
// grow with the number of instances times the number of configurations.
type fragment struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	ID    fragmentID
	Index int
	Count int
	Data  []byte
}

// fragmentID identifies a batch of a sender. At is that of the batch, and orders the sender's batches.
type fragmentID struct {
	_         struct{} `cbor:",toarray"`
	After, At platform.Revision
	Coverage  replica.Coverage
}

// fragmentBatch splits an encoded batch into datagrams. It returns none if the batch is too large.
func fragmentBatch(b changeBatch, data []byte) ([][]byte, error) {
	count := (len(data) + fragmentBytes - 1) / fragmentBytes
	if count > maxFragments {
		return nil, nil
	}
	var datagrams [][]byte
	for k := range count {
		part := data[k*fragmentBytes : min((k+1)*fragmentBytes, len(data))]
		datagram, err := encodeKind(datagramFragment, fragment{From: b.From, ID: fragmentID{After: b.After, At: b.At, Coverage: b.Coverage}, Index: k, Count: count, Data: part})
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, datagram)
	}
	return datagrams, nil
}

// valid reports whether the fragment's index and count are possible.
func (frag *fragment) valid() bool {
	return frag.Count >= 1 && frag.Count <= maxFragments && frag.Index >= 0 && frag.Index < frag.Count
}

// reassembler reassembles batches from fragments. Of each sender it keeps only the newest batch.
type reassembler struct {
	partial map[dispatch.PeerID]*partialBatch
}

type partialBatch struct {
	id      fragmentID
	parts   [][]byte
	missing int
}

// maxSenders bounds the batches that are reassembled at a time. Only a zone's followers send any.
// A fragment of a further sender discards all incomplete batches.
const maxSenders = 8

// add adds a fragment and returns the encoded batch once it is complete, else nil.
func (r *reassembler) add(frag fragment) []byte {
	if !frag.valid() {
		return nil
	}
	if r.partial == nil || len(r.partial) >= maxSenders && r.partial[frag.From] == nil {
		r.partial = make(map[dispatch.PeerID]*partialBatch)
	}
	batch := r.partial[frag.From]
	if batch == nil || frag.ID != batch.id && frag.ID.At >= batch.id.At {
		batch = &partialBatch{id: frag.ID, parts: make([][]byte, frag.Count), missing: frag.Count}
		r.partial[frag.From] = batch
	}
	if frag.ID != batch.id || frag.Count != len(batch.parts) || batch.parts[frag.Index] != nil {
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
