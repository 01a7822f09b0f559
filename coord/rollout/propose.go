package rollout

import (
	"fmt"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Propose returns the head that accepts a change after current, whose configuration is base,
// and the shards that must be written before it. base is nil and current is zero but for its
// Fleet when there is no configuration yet. It returns ErrAlreadyAccepted, ErrTooLarge or a ValidationError.
func Propose(current Head, base *Config, change Change) (Head, []Shard, error) {
	if r, ok := current.RevisionOf(change.ID); ok {
		return Head{}, nil, fmt.Errorf("%w: %q is revision %d", ErrAlreadyAccepted, change.ID, r)
	}
	if base != nil && base.Revision != current.Revision {
		return Head{}, nil, fmt.Errorf("%w: configuration of revision %d with head of revision %d", ErrMalformed, base.Revision, current.Revision)
	}
	change.Revision = current.Revision + 1
	config := base.With(change, change.Revision)
	if fieldErrors := config.Validate(); len(fieldErrors) > 0 {
		return Head{}, nil, &ValidationError{Fields: fieldErrors}
	}
	next, err := current.withChange(change)
	if err != nil {
		return Head{}, nil, err
	}
	if next.hasChangesSinceSnapshot() {
		return next, nil, nil
	}
	return next.withSnapshot(current, config, change)
}

// withChange returns the head after one more change, with as many inline changes as the bounds
// allow. When these no longer reach back to the snapshot, hasChangesSinceSnapshot is false.
func (h Head) withChange(change Change) (Head, error) {
	next := h
	next.Revision = change.Revision
	next.Recent = append(slices.Clone(h.Recent), ChangeRef{ID: change.ID, Revision: change.Revision, Author: change.Author})
	next.Recent = next.Recent[max(0, len(next.Recent)-MaxRecentIDs):]
	changes, err := trimChanges(append(slices.Clone(h.Changes), change))
	next.Changes = changes
	return next, err
}

// trimChanges returns the latest changes that fit the bounds of a head.
func trimChanges(changes []Change) ([]Change, error) {
	kept := len(changes)
	size := 0
	for kept > 0 && len(changes)-kept < MaxInlineChanges {
		data, err := encoding.Marshal(changes[kept-1])
		if err != nil {
			return nil, fmt.Errorf("encode change of revision %d: %w", changes[kept-1].Revision, err)
		}
		size += len(data)
		if size > MaxInlineBytes {
			break
		}
		kept--
	}
	return slices.Clone(changes[kept:]), nil // A subslice would keep the whole array in memory.
}

// withSnapshot returns the head with a snapshot of the configuration, and the shards that differ
// from the previous snapshot's.
func (h Head) withSnapshot(previous Head, config *Config, change Change) (Head, []Shard, error) {
	changed := changedBuckets(previous, change)
	shards, err := encodeShards(config, ShardCount, func(bucket int) bool { return changed[bucket] })
	if err != nil {
		return Head{}, nil, err
	}
	h.SnapshotRevision = config.Revision
	h.Shards = make([]Digest, ShardCount)
	copy(h.Shards, previous.Shards)
	var updated []Shard
	for bucket, s := range shards {
		if changed[bucket] {
			h.Shards[bucket] = s.Digest
			updated = append(updated, s)
		}
	}
	return h, updated, nil
}

// changedBuckets returns the buckets whose content differs from a head's snapshot: all of
// them when it has no snapshot of ShardCount shards.
func changedBuckets(previous Head, change Change) [ShardCount]bool {
	var changed [ShardCount]bool
	if len(previous.Shards) != ShardCount {
		for b := range changed {
			changed[b] = true
		}
		return changed
	}
	for _, c := range previous.Changes {
		if c.Revision > previous.SnapshotRevision {
			c.markBuckets(&changed)
		}
	}
	change.markBuckets(&changed)
	return changed
}

func (c Change) markBuckets(changed *[ShardCount]bool) {
	for _, t := range c.Services {
		changed[bucketOf(string(t.Name), ShardCount)] = true
	}
	for _, name := range c.RemoveServices {
		changed[bucketOf(string(name), ShardCount)] = true
	}
	for _, t := range c.Accounts {
		changed[bucketOf(string(t.Name), ShardCount)] = true
	}
	for _, name := range c.RemoveAccounts {
		changed[bucketOf(string(name), ShardCount)] = true
	}
}

// RetiredShards returns the shards that previous references and next does not.
func RetiredShards(previous, next Head) []Digest {
	kept := make(map[Digest]bool, len(next.Shards))
	for _, d := range next.Shards {
		kept[d] = true
	}
	var retired []Digest
	for _, d := range previous.Shards {
		if !kept[d] {
			retired = append(retired, d)
		}
	}
	return retired
}

// nextRevision returns the revision after a configuration's, which may be nil.
func nextRevision(c *Config) fleet.Revision {
	if c == nil {
		return 1
	}
	return c.Revision + 1
}
