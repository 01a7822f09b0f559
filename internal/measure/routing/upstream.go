package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/routing"
)

// upstream is one endpoint. It runs as many concurrent requests as it has slots, queues up to
// maxQueue others, and rejects the rest before starting them.
type upstream struct {
	events   *eventQueue
	random   *rand.Rand
	slots    int
	maxQueue int
	mean     time.Duration // Mean service time.
	failures float64       // Fraction of requests that fail.
	running  int
	queued   []*job
}

// job is one attempt at an upstream.
type job struct {
	attempt attemptKey
	done    func(routing.AttemptResult)
	started bool
	ended   bool
}

// arrive starts, queues or rejects an attempt.
func (u *upstream) arrive(j *job) {
	if j.ended {
		return
	}
	if u.running < u.slots {
		u.start(j)
		return
	}
	if len(u.queued) >= u.maxQueue {
		j.end(routing.AttemptRefused)
		return
	}
	u.queued = append(u.queued, j)
}

// start runs an attempt for an exponentially distributed time.
func (u *upstream) start(j *job) {
	u.running++
	j.started = true
	u.events.after(time.Duration(u.random.ExpFloat64()*float64(u.mean)), func() { u.finish(j) })
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
	u.queued = slices.DeleteFunc(u.queued, func(w *job) bool { return w == j })
}

func (u *upstream) freeSlot() {
	u.running--
	if len(u.queued) == 0 {
		return
	}
	next := u.queued[0]
	u.queued = u.queued[1:]
	u.start(next)
}

// load returns the fraction of the slots in use, as the endpoint reports it.
func (u *upstream) load() float64 {
	return float64(u.running) / float64(u.slots)
}

func (j *job) end(result routing.AttemptResult) {
	j.ended = true
	j.done(result)
}
