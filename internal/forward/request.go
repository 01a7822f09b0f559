package forward

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/result"
)

// await returns the next attempt that ends, or nil when it is time for another beside it.
func (r *request) await(hedge bool, delay time.Duration) *attempt {
	if !hedge {
		return <-r.endings
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-r.endings:
		return a
	case <-timer.C:
		return nil
	}
}

// take takes in the end of an attempt, and of those beside it where they may still be
// served, and tells whether the request has its answer.
func (r *request) take(a *attempt, resp *fasthttp.Response) (done bool, _ *refusal) {
	for {
		r.open--
		r.attempts = append(r.attempts, a)
		switch a.ending {
		case endedServed:
			r.deliver(a, resp)
			return true, nil
		case endedFailed:
			r.keepFailure(a)
		case endedNotSent:
			r.sent--
		}
		if r.mayRepeat(a) {
			return false, nil
		}
		if r.open == 0 {
			return true, r.giveUp(nil, resp)
		}
		a = <-r.endings
	}
}

const (
	// hedgeFactor is the multiple of an endpoint's usual time after which an idempotent request
	// is also sent elsewhere: two or three in a hundred take longer.
	hedgeFactor = 2.5
	// hedgeFloor is the least multiple, where the objective is near.
	hedgeFloor = 1.5
)

// hedgeDelay returns how long an attempt may take before another is made beside it: so
// that the other can still meet the objective, where that leaves the first a fair time.
func hedgeDelay(r *request, grant dispatch.Grant) time.Duration {
	usual := float64(grant.BaselineLatency)
	untilObjective := float64(time.Until(r.Arrived.Add(r.Route.Objective)) - grant.BaselineLatency)
	return time.Duration(max(min(hedgeFactor*usual, untilObjective), hedgeFloor*usual))
}

// mayHedge tells whether another attempt may be made beside the ones under way.
func (r *request) mayHedge() bool {
	return r.Route.Idempotent && r.open == 1 && r.sent < r.Route.MaxAttempts
}

// mayRepeat tells whether a request may be sent again after an attempt.
func (r *request) mayRepeat(a *attempt) bool {
	if r.sent >= r.Route.MaxAttempts || !time.Now().Before(r.deadline) {
		return false
	}
	switch a.ending {
	case endedNotSent, endedNotRun:
		return true
	case endedFailed, endedBroken:
		return r.Route.Idempotent
	default:
		return false
	}
}

// keepFailure keeps an endpoint's own failure; the caller gets it when nothing better comes.
func (r *request) keepFailure(a *attempt) {
	if r.failure != nil && r.failure.stream == nil {
		fasthttp.ReleaseResponse(r.failure.resp)
	}
	r.failure = a
}

// deliver copies an endpoint's answer, without what concerns its connection.
func (r *request) deliver(a *attempt, resp *fasthttp.Response) {
	if a.stream != nil {
		r.deliverStream(a, resp)
	} else {
		a.resp.CopyTo(resp)
		fasthttp.ReleaseResponse(a.resp)
	}
	for _, name := range hopByHop {
		resp.Header.Del(name)
	}
	resp.Header.ResetConnectionClose()
	resp.Header.SetNoDefaultContentType(true)
	r.report.Code = result.CodeAnswered
}

// giveUp ends a request that was not served: with an endpoint's own failure where there is
// one, else with a refusal.
func (r *request) giveUp(cause error, resp *fasthttp.Response) *refusal {
	if r.failure != nil {
		r.deliver(r.failure, resp)
		return nil
	}
	return r.refusalFor(cause)
}

// refusalFor returns the refusal that is true of the attempts made.
func (r *request) refusalFor(cause error) *refusal {
	for _, a := range r.attempts {
		switch a.ending {
		case endedBroken:
			return &refusal{code: result.CodeAnswerCutOff, detail: a.err.Error()}
		case endedTimedOut, endedLeft:
			return &refusal{code: result.CodeAnswerTimedOut}
		}
	}
	var rejected *Rejected
	switch {
	case errors.As(cause, &rejected) && rejected.Reason == dispatch.NoEndpoint:
		return &refusal{code: result.CodeNoEndpoint, retryAfter: rejected.RetryAfter}
	case errors.As(cause, &rejected) && rejected.Reason == dispatch.Overloaded:
		detail := fmt.Sprintf("an answer is expected in %s, %s are left", rejected.ExpectedLatency, rejected.TimeLeft)
		return &refusal{code: result.CodeShedQueueFull, detail: detail, retryAfter: rejected.RetryAfter}
	case len(r.attempts) > 0:
		return &refusal{code: result.CodeUpstreamRefused, retryAfter: refusedRetryAfter}
	default:
		return &refusal{code: result.CodeShedDeadline, retryAfter: refusedRetryAfter}
	}
}

// refusedRetryAfter is when a caller may come back whose request no endpoint took: about
// the time of one request.
const refusedRetryAfter = 300 * time.Millisecond
