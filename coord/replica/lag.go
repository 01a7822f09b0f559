package replica

import "time"

// Fetch is how an instance fetches the changes that it lacks.
type Fetch uint8

const (
	FetchNothing      Fetch = iota
	FetchFromFollower       // Ask an instance that follows the store to send its batches again.
	FetchFromStore          // Read the store.
)

// Lag tracks how long others have been ahead of a copy, and decides when and where missing changes are fetched. The
// zero value is that of a copy that is up to date.
type Lag struct {
	since time.Time // When it was first noticed, or a follower was last asked; zero while nothing is missing or a read was requested.
	first time.Time // When it was first noticed; zero while nothing is missing.
	asked bool      // A follower was asked, and the next fetch reads the store.
}

// Notice records that another instance has a later revision. began reports whether a delay begins with it.
func (l *Lag) Notice(now time.Time) (began bool) {
	if l.first.IsZero() {
		l.first = now
	}
	if began = l.since.IsZero(); began {
		l.since = now
	}
	return began
}

// Since returns when the lag that lasts was first noticed; zero if the copy is up to date.
func (l *Lag) Since() time.Time { return l.first }

// Caught records that the copy has moved to a later revision.
func (l *Lag) Caught() { *l = Lag{} }

// Next returns what to fetch once others have been ahead for a delay: by turns from a follower, if one can be asked, and
// from the store, since either may be out of reach.
func (l *Lag) Next(now time.Time, delay time.Duration, canAsk func() bool) Fetch {
	switch {
	case l.since.IsZero() || now.Sub(l.since) < delay:
		return FetchNothing
	case !l.asked && canAsk():
		l.asked, l.since = true, now
		return FetchFromFollower
	}
	l.asked, l.since = false, time.Time{}
	return FetchFromStore
}
