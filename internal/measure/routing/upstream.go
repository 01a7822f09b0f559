package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/routing"
)

// upstream is one endpoint: it runs as many requests at once as it has slots, lets others
// wait up to a bound, and refuses the rest before starting them.
type upstream struct {
	queue    *eventQueue
	random   *rand.Rand
	slots    int
	maxWait  int
	mean     time.Duration // Mean time to run a request.
	failures float64       // Share of requests that fail.
	busy     int
	waiting  []*job
}

// job is one attempt at an upstream.
type job struct {
	attempt attemptKey
	done    func(routing.AttemptResult)
	started bool
	ended   bool
}

// arrive takes one attempt.
func (u *upstream) arrive(j *job) {
	if j.ended {
		return
	}
	if u.busy < u.slots {
		u.start(j)
		return
	}
	if len(u.waiting) >= u.maxWait {
		j.end(routing.AttemptRefused)
		return
	}
	u.waiting = append(u.waiting, j)
}

// start runs an attempt for an exponentially distributed time.
func (u *upstream) start(j *job) {
	u.busy++
	j.started = true
	u.queue.after(time.Duration(u.random.ExpFloat64()*float64(u.mean)), func() { u.finish(j) })
}

func (u *upstream) finish(j *job) {
	if j.ended {
		return
	}
	result := routing.AttemptSucceeded
	if u.random.Float64() < u.failures {
		result = routing.AttemptServerError
	}
	j.end(result)
	u.freeSlot()
}

// cancel stops an attempt and frees its slot.
func (u *upstream) cancel(j *job) {
	if j.ended {
		return
	}
	j.end(routing.AttemptCancelled)
	if j.started {
		u.freeSlot()
		return
	}
	u.waiting = slices.DeleteFunc(u.waiting, func(w *job) bool { return w == j })
}

func (u *upstream) freeSlot() {
	u.busy--
	if len(u.waiting) == 0 {
		return
	}
	next := u.waiting[0]
	u.waiting = u.waiting[1:]
	u.start(next)
}

// load returns the share of the slots in use, as the endpoint reports it.
func (u *upstream) load() float64 {
	return float64(u.busy) / float64(u.slots)
}

func (j *job) end(result routing.AttemptResult) {
	j.ended = true
	j.done(result)
}
