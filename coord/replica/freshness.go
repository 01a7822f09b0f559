package replica

import "time"

// Freshness tracks the time at which a copy was last known to hold what the store held, by its own reads and by what
// others report of theirs. The zero value is that of a copy that was never confirmed.
type Freshness[R Revision] struct {
	at      time.Time
	waiting confirmation[R] // Of a revision that the copy has not reached; the latest one.
}

type confirmation[R Revision] struct {
	at       time.Time
	revision R
}

// Confirm records that the store had no change after a revision at a time, to be counted once the copy holds that
// revision or a later one. held is the copy's revision now.
func (f *Freshness[R]) Confirm(at time.Time, revision, held R) {
	switch {
	case revision <= held:
		f.count(at)
	case at.After(f.waiting.at):
		f.waiting = confirmation[R]{at, revision}
	}
}

// Moved records the copy's revision after it has changed.
func (f *Freshness[R]) Moved(held R) {
	if !f.waiting.at.IsZero() && f.waiting.revision <= held {
		f.count(f.waiting.at)
		f.waiting = confirmation[R]{}
	}
}

// At returns the time; zero if there is none.
func (f *Freshness[R]) At() time.Time { return f.at }

func (f *Freshness[R]) count(at time.Time) {
	if at.After(f.at) {
		f.at = at
	}
}
