package rollout

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Bounds of a head.
const (
	// MaxInlineChanges bounds the number of changes in a head.
	MaxInlineChanges = 64
	// MaxInlineBytes bounds the size of the encoded changes in a head.
	MaxInlineBytes = 256 << 10
	// MaxRecentIDs bounds the change IDs in a head.
	MaxRecentIDs = 256
)

// Head is the record of the accepted configuration.
type Head struct {
	Fleet            string         `cbor:"1,keyasint" json:"fleet"`
	Revision         fleet.Revision `cbor:"2,keyasint" json:"revision"`
	SnapshotRevision fleet.Revision `cbor:"3,keyasint" json:"snapshot_revision"` // Revision of the snapshot in Shards.
	Shards           []Digest       `cbor:"4,keyasint,omitempty" json:"-"`
	Changes          []Change       `cbor:"5,keyasint,omitempty" json:"changes"` // Contiguous; the last is Revision's own.
	Recent           []ChangeRef    `cbor:"6,keyasint,omitempty" json:"recent"`  // Latest accepted changes, oldest first.
}

// ChangeRef identifies one accepted change.
type ChangeRef struct {
	ID       string         `cbor:"1,keyasint" json:"id"`
	Revision fleet.Revision `cbor:"2,keyasint" json:"revision"`
	Author   string         `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
}

// Has reports whether a change is among the latest accepted ones.
func (h Head) Has(changeID string) bool {
	_, ok := h.RevisionOf(changeID)
	return ok
}

// RevisionOf returns the revision at which a change was accepted, if it is among the latest.
func (h Head) RevisionOf(changeID string) (fleet.Revision, bool) {
	for _, ref := range h.Recent {
		if ref.ID == changeID {
			return ref.Revision, true
		}
	}
	return 0, false
}

// EncodeHead encodes a head. It returns ErrTooLarge when the result exceeds MaxValueBytes.
func EncodeHead(h Head) ([]byte, error) {
	data, err := encoding.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head of revision %d: %w", h.Revision, err)
	}
	if len(data) > MaxValueBytes {
		return nil, fmt.Errorf("%w: head of revision %d has %d bytes, bound %d", ErrTooLarge, h.Revision, len(data), MaxValueBytes)
	}
	return data, nil
}

// DecodeHead decodes a head. It returns ErrMalformed or ErrTooLarge when data is invalid.
func DecodeHead(data []byte) (Head, error) {
	if len(data) > MaxValueBytes {
		return Head{}, fmt.Errorf("%w: head of %d bytes, bound %d", ErrTooLarge, len(data), MaxValueBytes)
	}
	var h Head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return Head{}, fmt.Errorf("%w: head of %d bytes: %w", ErrMalformed, len(data), err)
	}
	if err := h.validate(); err != nil {
		return Head{}, err
	}
	return h, nil
}

// validate returns ErrMalformed when the head is inconsistent.
func (h Head) validate() error {
	if h.SnapshotRevision > h.Revision {
		return fmt.Errorf("%w: snapshot %d is after revision %d", ErrMalformed, h.SnapshotRevision, h.Revision)
	}
	if h.SnapshotRevision == 0 && len(h.Shards) > 0 {
		return fmt.Errorf("%w: %d shards without a snapshot", ErrMalformed, len(h.Shards))
	}
	if h.SnapshotRevision > 0 && len(h.Shards) == 0 {
		return fmt.Errorf("%w: snapshot %d without shards", ErrMalformed, h.SnapshotRevision)
	}
	next := h.Revision - fleet.Revision(len(h.Changes)) + 1
	if fleet.Revision(len(h.Changes)) > h.Revision {
		return fmt.Errorf("%w: %d changes up to revision %d", ErrMalformed, len(h.Changes), h.Revision)
	}
	for _, c := range h.Changes {
		if c.Revision != next {
			return fmt.Errorf("%w: change of revision %d in place of %d", ErrMalformed, c.Revision, next)
		}
		next++
	}
	return nil
}

// firstChange returns the revision of the first inline change, or the one after Revision when there is none.
func (h Head) firstChange() fleet.Revision {
	return h.Revision - fleet.Revision(len(h.Changes)) + 1
}

// hasChangesSince reports whether every change after a revision, up to Revision, is inline.
func (h Head) hasChangesSince(after fleet.Revision) bool {
	return h.firstChange() <= after+1
}

// hasChangesSinceSnapshot reports whether every change after the snapshot is inline.
func (h Head) hasChangesSinceSnapshot() bool {
	return h.hasChangesSince(h.SnapshotRevision)
}

// withChangesAfter returns the head with only the changes after a revision, and without recent IDs.
func (h Head) withChangesAfter(after fleet.Revision) Head {
	skip := 0
	for skip < len(h.Changes) && h.Changes[skip].Revision <= after {
		skip++
	}
	h.Changes = h.Changes[skip:]
	h.Recent = nil
	return h
}

// withOverlap returns the head with the changes after a revision and the change of that revision, whose ID shows a
// receiver whether its history is the same.
func (h Head) withOverlap(after fleet.Revision) Head {
	return h.withChangesAfter(max(after, 1) - 1)
}
