package rollout

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Bounds of a head.
const (
	// MaxInlineChanges bounds the changes that a head holds.
	MaxInlineChanges = 64
	// MaxInlineBytes bounds the encoded changes that a head holds.
	MaxInlineBytes = 256 << 10
	// MaxRecentIDs bounds the change IDs that a head holds.
	MaxRecentIDs = 256
)

// Head is the record that says which configuration is accepted.
type Head struct {
	Fleet            string         `cbor:"1,keyasint" json:"fleet"`
	Revision         fleet.Revision `cbor:"2,keyasint" json:"revision"`
	SnapshotRevision fleet.Revision `cbor:"3,keyasint" json:"snapshot_revision"` // Revision that Shards hold.
	Shards           []Digest       `cbor:"4,keyasint,omitempty" json:"-"`
	Changes          []Change       `cbor:"5,keyasint,omitempty" json:"changes"` // Contiguous; the last is Revision's own.
	Recent           []ChangeRef    `cbor:"6,keyasint,omitempty" json:"recent"`  // Latest accepted changes, oldest first.
}

// ChangeRef names one accepted change.
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

// RevisionOf returns the revision that a change was accepted as, if it is among the latest.
func (h Head) RevisionOf(changeID string) (fleet.Revision, bool) {
	for _, ref := range h.Recent {
		if ref.ID == changeID {
			return ref.Revision, true
		}
	}
	return 0, false
}

// EncodeHead returns the bytes of a head. It returns ErrTooLarge.
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

// DecodeHead returns the head in data. It returns ErrMalformed or ErrTooLarge.
func DecodeHead(data []byte) (Head, error) {
	if len(data) > MaxValueBytes {
		return Head{}, fmt.Errorf("%w: head of %d bytes, bound %d", ErrTooLarge, len(data), MaxValueBytes)
	}
	var h Head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return Head{}, fmt.Errorf("%w: head of %d bytes: %w", ErrMalformed, len(data), err)
	}
	if err := h.check(); err != nil {
		return Head{}, err
	}
	return h, nil
}

// check returns ErrMalformed when the head contradicts itself.
func (h Head) check() error {
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
			return fmt.Errorf("%w: change of revision %d where %d was due", ErrMalformed, c.Revision, next)
		}
		next++
	}
	return nil
}

// first returns the revision of the first inline change, or the one after Revision.
func (h Head) first() fleet.Revision {
	return h.Revision - fleet.Revision(len(h.Changes)) + 1
}

// covers reports whether the inline changes lead from revision have to Revision.
func (h Head) covers(have fleet.Revision) bool {
	return h.first() <= have+1
}

// complete reports whether the inline changes lead from the snapshot to Revision.
func (h Head) complete() bool {
	return h.covers(h.SnapshotRevision)
}

// after returns the head with only the changes after revision have, and no recent IDs.
func (h Head) after(have fleet.Revision) Head {
	skip := 0
	for skip < len(h.Changes) && h.Changes[skip].Revision <= have {
		skip++
	}
	h.Changes = h.Changes[skip:]
	h.Recent = nil
	return h
}
