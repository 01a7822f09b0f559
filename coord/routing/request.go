package routing

import "time"

type attempt struct {
	endpoint  *endpoint
	result    AttemptResult // Zero while it is running.
	hedge     bool
	trial     bool
	cancelled bool // A CancelAttempt effect was issued.
}

func (a *attempt) running() bool { return a.result == 0 }

// neverRan reports whether the upstream is known not to have run the request.
func (r AttemptResult) neverRan() bool {
	return r == AttemptNotSent || r == AttemptRefused
}

// precedence ranks results for delivery to the caller: of several attempts, the one with
// the most informative result has the highest precedence and is delivered.
func (r AttemptResult) precedence() int {
	switch r {
	case AttemptSucceeded:
		return 5
	case AttemptServerError:
		return 4
	case AttemptIncomplete, AttemptCancelled:
		return 3
	case AttemptRefused:
		return 2
	default:
		return 1
	}
}

// request is a request that has not ended, or has ended with attempts still running.
type request struct {
	Request
	attempts []attempt
	running  int
	ended    bool // A Deliver effect was issued, but attempts are still running.
	stopped  bool // Its caller disconnected or its deadline passed: no further attempt is sent.
	hedgeAt  time.Time

	queuedIn      *accountQueue // Queue in which it waits for its first attempt, or nil.
	awaitingRetry bool
	prev, next    *request // Links in queuedIn.

	wakeAt    time.Time
	wakeIndex int // Position in the wake heap; -1 when absent.
}

// isWaiting reports whether the request waits for an endpoint.
func (r *request) isWaiting() bool { return r.queuedIn != nil || r.awaitingRetry }

// tried reports whether an attempt of the request went to e.
func (r *request) tried(e *endpoint) bool {
	for i := range r.attempts {
		if r.attempts[i].endpoint == e {
			return true
		}
	}
	return false
}

// neverRan reports whether the request is known not to have run in any attempt.
func (r *request) neverRan() bool {
	for i := range r.attempts {
		if !r.attempts[i].result.neverRan() {
			return false
		}
	}
	return true
}

// bestAttempt returns the number of the ended attempt whose result has the highest
// precedence; 0 when no attempt has ended.
func (r *request) bestAttempt() int {
	best := 0
	for i := range r.attempts {
		if r.attempts[i].running() {
			continue
		}
		if best == 0 || r.attempts[i].result.precedence() > r.attempts[best-1].result.precedence() {
			best = i + 1
		}
	}
	return best
}
