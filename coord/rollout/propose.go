package rollout

import (
	"fmt"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Propose returns the head that accepts a change after current, whose configuration is base,
// and the shards that must be written before it. base is nil and current is zero but for its
// Fleet when there is no configuration yet. It returns ErrAccepted, ErrTooLarge or a FaultError.
func Propose(current Head, base *Config, change Change) (Head, []Shard, error) {
	if r, ok := current.RevisionOf(change.ID); ok {
		return Head{}, nil, fmt.Errorf("%w: %q is revision %d", ErrAccepted, change.ID, r)
	}
	if base != nil && base.Revision != current.Revision {
		return Head{}, nil, fmt.Errorf("%w: configuration of revision %d with head of revision %d", ErrMalformed, base.Revision, current.Revision)
	}
	change.Revision = current.Revision + 1
	config := base.With(change, change.Revision)
	if faults := config.Validate(); len(faults) > 0 {
		return Head{}, nil, &FaultError{Faults: faults}
	}
	next, err := current.with(change)
	if err != nil {
		return Head{}, nil, err
	}
	if next.complete() {
		return next, nil, nil
	}
	return next.fold(current, config, change)
}

// with returns the head after one more change, with as many inline changes as the bounds
// allow; complete is then false when the snapshot has become too old.
func (h Head) with(change Change) (Head, error) {
	next := h
	next.Revision = change.Revision
	next.Recent = append(slices.Clone(h.Recent), ChangeRef{ID: change.ID, Revision: change.Revision, Author: change.Author})
	next.Recent = next.Recent[max(0, len(next.Recent)-MaxRecentIDs):]
	changes, err := trim(append(slices.Clone(h.Changes), change))
	next.Changes = changes
	return next, err
}

// trim returns the latest changes that fit the bounds of a head.
func trim(changes []Change) ([]Change, error) {
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
	return slices.Clone(changes[kept:]), nil // A part of the array would hold on to the rest.
}

// fold returns the head with a snapshot of the configuration, and the shards that differ
// from the former snapshot's.
func (h Head) fold(former Head, config *Config, change Change) (Head, []Shard, error) {
	wanted := touchedBuckets(former, change)
	shards, err := encodeShards(config, ShardCount, func(bucket int) bool { return wanted[bucket] })
	if err != nil {
		return Head{}, nil, err
	}
	h.SnapshotRevision = config.Revision
	h.Shards = make([]Digest, ShardCount)
	copy(h.Shards, former.Shards)
	var fresh []Shard
	for bucket, s := range shards {
		if wanted[bucket] {
			h.Shards[bucket] = s.Digest
			fresh = append(fresh, s)
		}
	}
	return h, fresh, nil
}

// touchedBuckets returns the buckets whose content has changed since a head's snapshot; all
// of them when it has none of ShardCount shards.
func touchedBuckets(former Head, change Change) [ShardCount]bool {
	var touched [ShardCount]bool
	if len(former.Shards) != ShardCount {
		for b := range touched {
			touched[b] = true
		}
		return touched
	}
	for _, c := range former.Changes {
		if c.Revision > former.SnapshotRevision {
			c.markBuckets(&touched)
		}
	}
	change.markBuckets(&touched)
	return touched
}

func (c Change) markBuckets(touched *[ShardCount]bool) {
	for _, t := range c.Services {
		touched[bucketOf(string(t.Name), ShardCount)] = true
	}
	for _, name := range c.RemoveServices {
		touched[bucketOf(string(name), ShardCount)] = true
	}
	for _, t := range c.Accounts {
		touched[bucketOf(string(t.Name), ShardCount)] = true
	}
	for _, name := range c.RemoveAccounts {
		touched[bucketOf(string(name), ShardCount)] = true
	}
}

// Retired returns the shards that former named and next does not.
func Retired(former, next Head) []Digest {
	kept := make(map[Digest]bool, len(next.Shards))
	for _, d := range next.Shards {
		kept[d] = true
	}
	var retired []Digest
	for _, d := range former.Shards {
		if !kept[d] {
			retired = append(retired, d)
		}
	}
	return retired
}

// nextRevision is the revision after the one in force.
func nextRevision(c *Config) fleet.Revision {
	if c == nil {
		return 1
	}
	return c.Revision + 1
}
