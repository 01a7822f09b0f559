package routing

import "time"

// attempt is one attempt of a request.
type attempt struct {
	endpoint *endpoint
	result   AttemptResult // Zero while it runs.
	hedge    bool
	trial    bool
	canceled bool // CancelAttempt was returned for it.
}

func (a *attempt) running() bool { return a.result == 0 }

// neverRan reports whether the upstream is known not to have started the request.
func (r AttemptResult) neverRan() bool {
	return r == AttemptNotSent || r == AttemptRefused
}

// worth orders results by what they tell the caller.
func (r AttemptResult) worth() int {
	switch r {
	case AttemptAnswered:
		return 5
	case AttemptFailed:
		return 4
	case AttemptBroken, AttemptCancelled:
		return 3
	case AttemptRefused:
		return 2
	default:
		return 1
	}
}

// request is a request that has not ended, or that has ended with attempts still under way.
type request struct {
	Request
	attempts []attempt
	running  int
	ended    bool // Deliver was returned; attempts are still under way.
	stopped  bool // Its caller is gone or its deadline has passed: nothing more is sent.
	hedgeAt  time.Time

	waitsIn       *accountQueue // Nil unless it waits for its first attempt.
	waitsToRetry  bool
	before, after *request // Neighbors in the account's queue.

	wakeAt    time.Time
	wakeIndex int // Position in the wake heap; -1 when absent.
}

// waits reports whether the request waits for an endpoint.
func (r *request) waits() bool { return r.waitsIn != nil || r.waitsToRetry }

// tried reports whether an attempt of the request went to e.
func (r *request) tried(e *endpoint) bool {
	for i := range r.attempts {
		if r.attempts[i].endpoint == e {
			return true
		}
	}
	return false
}

// neverRan reports whether no attempt of the request can have run.
func (r *request) neverRan() bool {
	for i := range r.attempts {
		if !r.attempts[i].result.neverRan() {
			return false
		}
	}
	return true
}

// best returns the number of the finished attempt that tells the caller most.
func (r *request) best() int {
	best := 0
	for i := range r.attempts {
		if r.attempts[i].running() {
			continue
		}
		if best == 0 || r.attempts[i].result.worth() > r.attempts[best-1].result.worth() {
			best = i + 1
		}
	}
	return best
}
