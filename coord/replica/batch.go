package replica

// Revision is the store's revision: ordered as a number, and by the store's era first. A store that was restored from a
// copy is in a later era.
type Revision interface {
	~uint64
	Era() uint64
}

// Coverage tells which states a Batch leads from.
type Coverage uint8

const (
	// Log holds each change after After up to At, as a watch returns them. It leads to At from After and
	// from any revision in between.
	Log Coverage = iota
	// Difference holds what a read of all keys at At differs in from the state at After. Keys that were written
	// and deleted in between are in neither. It leads to At from After; within an era also from a revision
	// in between, if the keys that the receiver has from after After, and the batch lacks, are removed.
	Difference
	// Standalone leads nowhere. Its changes are of use without the ones before.
	Standalone
)

// Change is a write or a deletion of one key.
type Change[R Revision] struct {
	Key      string
	Revision R
	Deleted  bool
}

// Batch is some changes of the store, sorted by revision, and what they cover.
type Batch[R Revision] struct {
	Coverage  Coverage
	After, At R
	// End is the revision of the last page of the read that a Difference was made from. The batch has some of the
	// changes between At and End.
	End     R
	Changes []Change[R]
}

// LeadsFrom reports whether a copy at a revision may apply the batch. It is at b.At then.
func (b Batch[R]) LeadsFrom(r R) bool {
	switch {
	case b.At <= r:
		return false
	case b.Coverage == Log:
		return b.After <= r && b.After.Era() == b.At.Era()
	case b.Coverage == Difference:
		return b.After == r || b.After <= r && b.After.Era() == b.At.Era()
	}
	return false
}

// Divisible reports whether the batch may be divided into batches that cover a part of its revisions each.
func (b Batch[R]) Divisible() bool { return b.Coverage == Log }

// Resend returns those of the batches that an instance has kept, in the order in which it came by them, that it sends
// again to a copy at a revision: the first that leads on from there and all after it.
func Resend[T any, R Revision](kept []T, r R, batch func(T) Batch[R]) []T {
	for i, k := range kept {
		if batch(k).LeadsFrom(r) {
			return kept[i:]
		}
	}
	return nil
}
