package replica

import (
	"cmp"
	"maps"
	"slices"
)

// Outcome is what a Copy makes of a Batch.
type Outcome uint8

const (
	Unread  Outcome = iota // Nothing: the copy has not been read yet.
	Stale                  // Nothing: the batch leads to no later revision.
	Gap                    // Nothing: changes before the batch are missing and have to be fetched.
	Applied                // The copy is at the batch's revision.
)

// Result is the outcome of a Batch. If it was applied, the caller applies the changes of these indices, in order, and
// then removes the keys in Gone.
type Result struct {
	Outcome Outcome
	Changes []int
	Gone    []string // Keys that no longer exist at the batch's revision, although it has no change of theirs.
}

// Copy tracks which state of the store an instance holds. The caller keeps the values.
type Copy[R Revision] struct {
	read     bool
	revision R
	exact    R            // From this revision on, no key is ahead of the copy's revision.
	keys     map[string]R // The revision of each key's value.
}

// NewCopy returns a Copy that has not been read yet.
func NewCopy[R Revision]() *Copy[R] {
	return &Copy[R]{keys: make(map[string]R)}
}

// Read reports whether all keys were read at least once.
func (c *Copy[R]) Read() bool { return c.read }

// Revision returns the revision whose state the copy holds.
func (c *Copy[R]) Revision() R { return c.revision }

// Items returns the keys of the copy with the revisions of their values, sorted by key.
func (c *Copy[R]) Items() []Item[R] {
	items := make([]Item[R], 0, len(c.keys))
	for _, key := range slices.Sorted(maps.Keys(c.keys)) {
		items = append(items, Item[R]{Key: key, Revision: c.keys[key]})
	}
	return items
}

// Receive decides on a batch, whether it comes from another instance or from a read of the copy's own.
func (c *Copy[R]) Receive(b Batch[R]) Result {
	switch {
	case !c.read:
		return Result{Outcome: Unread}
	case b.At <= c.revision:
		return Result{Outcome: Stale}
	case !b.LeadsFrom(c.revision), b.After.Era() < b.At.Era() && c.revision < c.exact:
		return Result{Outcome: Gap}
	}
	gone := c.gone(b)
	var apply []int
	for i, change := range b.Changes {
		if c.apply(change) {
			apply = append(apply, i)
		}
	}
	for _, key := range gone {
		delete(c.keys, key)
	}
	c.revision, c.exact = b.At, max(c.exact, b.End)
	return Result{Outcome: Applied, Changes: apply, Gone: gone}
}

// gone returns the keys that a Difference shows to have been deleted although the state that it begins with lacks them:
// they were written after that and, as they are not in the batch, deleted before its end.
func (c *Copy[R]) gone(b Batch[R]) []string {
	if b.Coverage != Difference || b.After.Era() < b.At.Era() {
		return nil
	}
	listed := make(map[string]bool, len(b.Changes))
	for _, change := range b.Changes {
		listed[change.Key] = true
	}
	var gone []string
	for key, at := range c.keys {
		if at > b.After && at <= b.At && !listed[key] {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	return gone
}

// apply records a change that is newer than the copy and than the key's value, and reports whether it is.
func (c *Copy[R]) apply(change Change[R]) bool {
	held, ok := c.keys[change.Key]
	if change.Revision <= c.revision || ok && change.Revision <= held {
		return false
	}
	if change.Deleted {
		delete(c.keys, change.Key)
		return ok
	}
	c.keys[change.Key] = change.Revision
	return true
}

// Item is a key that a read of all keys returned.
type Item[R Revision] struct {
	Key      string
	Revision R
	Same     bool // The caller holds this value already.
}

// ReadResult is the outcome of a read of all keys.
type ReadResult[R Revision] struct {
	Applied    bool // False if the copy has a later revision already.
	First      bool
	Restored   bool      // The store was restored from a copy since the revision before.
	Missing    []string  // Keys that the copy held and the read lacks, sorted.
	Difference *Batch[R] // What other copies may lack, to be sent to them; nil if it cannot be told or there is nothing.
}

// ReadAll applies a read of all keys, of which the first page was at a revision and the last one at end. The caller
// applies all items of an applied read, and handles the missing ones.
func (c *Copy[R]) ReadAll(at, end R, items []Item[R]) ReadResult[R] {
	if c.read && at < c.revision {
		return ReadResult[R]{}
	}
	result := ReadResult[R]{Applied: true, First: !c.read, Restored: c.read && at.Era() > c.revision.Era()}
	keys := make(map[string]R, len(items))
	for _, item := range items {
		keys[item.Key] = item.Revision
	}
	for key := range c.keys {
		if _, ok := keys[key]; !ok {
			result.Missing = append(result.Missing, key)
		}
	}
	slices.Sort(result.Missing)
	if c.read && at > c.revision && c.revision >= c.exact {
		result.Difference = difference(c.revision, at, items, result)
		result.Difference.End = max(at, end)
	}
	c.read, c.revision, c.exact, c.keys = true, at, max(at, end), keys
	return result
}

// difference returns the batch that leads from a revision to a read of all keys. Across a restoration it leaves out the
// values that did not change, although the store gave them new revisions.
func difference[R Revision](after, at R, items []Item[R], read ReadResult[R]) *Batch[R] {
	b := &Batch[R]{Coverage: Difference, After: after, At: at}
	for _, item := range items {
		if item.Revision > after && !(read.Restored && item.Same) {
			b.Changes = append(b.Changes, Change[R]{Key: item.Key, Revision: item.Revision})
		}
	}
	for _, key := range read.Missing {
		b.Changes = append(b.Changes, Change[R]{Key: key, Revision: at, Deleted: true})
	}
	slices.SortStableFunc(b.Changes, func(x, y Change[R]) int { return cmp.Compare(x.Revision, y.Revision) })
	return b
}
