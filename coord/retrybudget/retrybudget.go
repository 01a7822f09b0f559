// Package retrybudget limits the retries of a service over all instances.
//
// Instances report each first attempt and each retry to each other, so that a sliding window
// counts both for the whole fleet. An instance that receives no reports falls back to its own
// share of the bound.
//
// An instance has no count of the retries before its start, which may have spent the whole
// budget: for its first window it uses only the margin that earlier instances left unspent, unless it
// adopts the counts of one that has run for longer.
//
// This guards against retry storms: a service fails all at once, every instance retries every
// request, and the retries prolong the outage.
package retrybudget

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/internal/window"
)

// Bound limits the retries in any window: to Ratio of the requests, plus Extra.
type Bound struct {
	Window time.Duration
	Ratio  float64
	Extra  float64
}

const (
	// slices is the number of slices of the window; a count leaves the window at most one slice late.
	slices = 20
	// spendable is the part of the bound that is spent. The rest is a margin for retries that
	// other instances have sent but not yet reported, and for a window in which all instances restart.
	spendable = 0.85
)

// Budget is the retry budget of one service. It is not safe for concurrent use.
type Budget struct {
	bound   Bound
	started time.Time
	sent    window.Pair // First attempts and retries.
}

// New returns an empty budget of an instance that started at a time.
func New(bound Bound, started time.Time) *Budget {
	return &Budget{bound: bound, started: started, sent: window.New(slices, bound.Window/slices)}
}

// Sent counts an attempt by any instance.
func (b *Budget) Sent(now time.Time, retry bool) {
	b.sent.Add(now, retry)
}

// Counts returns the first attempts and retries by slice of the window, the newest slice first.
func (b *Budget) Counts(now time.Time) [][2]int {
	return b.sent.Slices(now)
}

// Adopt takes over the counts of an instance that has counted since a time, so that this one need
// not wait for a window. What both have counted is counted once.
func (b *Budget) Adopt(now, since time.Time, counts [][2]int) {
	b.sent.Raise(now, counts)
	if since.Before(b.started) {
		b.started = since
	}
}

// Allows reports whether one more retry is within the bound. share is the part of Extra that
// this instance may use: 1 while it receives the reports of all others, less if it does not.
func (b *Budget) Allows(now time.Time, share float64) bool {
	requests, retries := b.sent.Sums(now)
	part := spendable
	if now.Sub(b.started) < b.bound.Window {
		part = 1 - spendable
	}
	return float64(retries+1) <= part*(b.bound.Ratio*float64(requests)+share*b.bound.Extra)
}
