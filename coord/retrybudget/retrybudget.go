// Package retrybudget bounds how often requests of a service are sent again, over all instances.
//
// Instances tell each other of each first sending and each repeat, so that one window
// counts both for the whole fleet. An instance that hears of no other falls back to its
// own share of the bound.
//
// What was spent before an instance started is not known to it, and may have been all that
// may be spent: for the first window of its life it counts on what those before it have left.
//
// The load pattern that it answers: a service fails at once, every instance wants to
// repeat every request, and the repeats would make up the outage.
package retrybudget

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/internal/window"
)

// Bound is what may be repeated in any window: Ratio of the requests, and Extra besides.
type Bound struct {
	Window time.Duration
	Ratio  float64
	Extra  float64
}

const (
	// slices divide the window; a count leaves it at most one slice late.
	slices = 20
	// margin is the part of the bound that is spent. The rest is for repeats which other
	// instances have sent but not yet told of, and for a window with a restart of all.
	margin = 0.85
)

// Budget counts one service. It is not safe for concurrent use.
type Budget struct {
	bound   Bound
	started time.Time
	sent    window.Pair // First sendings and repeats.
}

// New returns a budget without counts of an instance that started at a moment.
func New(bound Bound, started time.Time) *Budget {
	return &Budget{bound: bound, started: started, sent: window.New(slices, bound.Window/slices)}
}

// Sent counts a sending by any instance.
func (b *Budget) Sent(now time.Time, repeat bool) {
	b.sent.Add(now, repeat)
}

// Allows tells whether one more repeat is within the bound. share is the part of Extra that
// this instance may count on: 1 while it hears the others, its own part while it does not.
func (b *Budget) Allows(now time.Time, share float64) bool {
	requests, repeated := b.sent.Sums(now)
	part := margin
	if now.Sub(b.started) < b.bound.Window {
		part = 1 - margin
	}
	return float64(repeated+1) <= part*(b.bound.Ratio*float64(requests)+share*b.bound.Extra)
}
