package replica

import "time"

// maxWaiting bounds the confirmations that wait for their revision.
const maxWaiting = 4

// Freshness tracks the time at which a copy was last known to hold what the store held, by its own reads and by what
// others report of theirs. The zero value is that of a copy that was never confirmed.
type Freshness[R Revision] struct {
	at      time.Time
	waiting []confirmation[R] // Of revisions that the copy has not reached; both times and revisions rise.
}

type confirmation[R Revision] struct {
	at       time.Time
	revision R
}

// Confirm records that the store had no change after a revision at a time, to be counted once the copy holds that
// revision or a later one. held is the copy's revision now.
func (f *Freshness[R]) Confirm(at time.Time, revision, held R) {
	if revision <= held {
		f.count(at)
		return
	}
	last := len(f.waiting) - 1
	switch {
	case last < 0 || revision > f.waiting[last].revision && at.After(f.waiting[last].at):
		f.waiting = append(f.waiting, confirmation[R]{at, revision})
	case revision == f.waiting[last].revision && at.After(f.waiting[last].at):
		f.waiting[last].at = at
	}
	if len(f.waiting) > maxWaiting {
		f.waiting = append(f.waiting[:maxWaiting-1], f.waiting[maxWaiting]) // The first is reached next, the last is the freshest.
	}
}

// Moved records the copy's revision after it has changed.
func (f *Freshness[R]) Moved(held R) {
	for len(f.waiting) > 0 && f.waiting[0].revision <= held {
		f.count(f.waiting[0].at)
		f.waiting = f.waiting[1:]
	}
}

// At returns the time; zero if there is none.
func (f *Freshness[R]) At() time.Time { return f.at }

func (f *Freshness[R]) count(at time.Time) {
	if at.After(f.at) {
		f.at = at
	}
}
