package forward

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/result"
)

// awaitAttempt returns the next attempt that completes, or nil once it is time for a hedge.
func (r *request) awaitAttempt(hedge bool, delay time.Duration) *attempt {
	if !hedge {
		return <-r.completed
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-r.completed:
		return a
	case <-timer.C:
		return nil
	}
}

// handle records a completed attempt and reports whether the request is done. If the attempt
// allows no retry but another one is running, it waits for that one.
func (r *request) handle(a *attempt, resp *fasthttp.Response) (done bool, _ *rejection) {
	for {
		r.running--
		r.attempts = append(r.attempts, a)
		switch a.outcome {
		case outcomeServed:
			r.deliver(a, resp)
			return true, nil
		case outcomeFailed:
			r.recordFailure(a)
		case outcomeNotSent:
			r.sent--
		}
		if r.mayRetry(a) {
			return false, nil
		}
		if r.running == 0 {
			return true, r.finishUnserved(nil, resp)
		}
		a = <-r.completed
	}
}

const (
	// hedgeFactor is the multiple of an endpoint's baseline latency after which an idempotent
	// request is hedged at another endpoint: two or three requests in a hundred take longer.
	hedgeFactor = 2.5
	// minHedgeFactor is the smallest multiple, used when the latency objective is close.
	minHedgeFactor = 1.5
)

// hedgeDelay returns how long to wait for an attempt before a hedge starts: early enough that the
// hedge can still meet the route's objective, but at least minHedgeFactor baselines.
func hedgeDelay(r *request, grant dispatch.Grant) time.Duration {
	baseline := float64(grant.BaselineLatency)
	untilObjective := float64(time.Until(r.Arrived.Add(r.Route.Objective)) - grant.BaselineLatency)
	return time.Duration(max(min(hedgeFactor*baseline, untilObjective), minHedgeFactor*baseline))
}

// mayHedge reports whether a second, concurrent attempt is allowed.
func (r *request) mayHedge() bool {
	return r.Route.Idempotent && r.running == 1 && r.sent < r.Route.MaxAttempts
}

// mayRetry reports whether a request may be sent again after an attempt.
func (r *request) mayRetry(a *attempt) bool {
	if r.sent >= r.Route.MaxAttempts || !time.Now().Before(r.deadline) {
		return false
	}
	switch a.outcome {
	case outcomeNotSent, outcomeNotRun:
		return true
	case outcomeFailed, outcomeIncomplete:
		return r.Route.Idempotent
	default:
		return false
	}
}

// identify returns for whom an attempt may be sent now.
func (r *request) identify() (Identity, *Unauthorized) {
	if r.Identify == nil {
		return Identity{}, nil
	}
	return r.Identify()
}

// isUnauthorized reports whether an attempt was not sent because the request has no valid key any more, which says
// nothing of its endpoint.
func isUnauthorized(err error) bool {
	var unauthorized *Unauthorized
	return errors.As(err, &unauthorized)
}

// recordFailure keeps an endpoint's server error, which is delivered if no other attempt is served.
func (r *request) recordFailure(a *attempt) {
	if r.failure != nil && r.failure.stream == nil {
		fasthttp.ReleaseResponse(r.failure.resp)
	}
	r.failure = a
}

// deliver copies an endpoint's answer without its hop-by-hop headers.
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

// finishUnserved ends a request that was not served: with an endpoint's server error if there is
// one, otherwise with a rejection.
func (r *request) finishUnserved(cause error, resp *fasthttp.Response) *rejection {
	if r.failure != nil {
		r.deliver(r.failure, resp)
		return nil
	}
	return r.rejectionFor(cause)
}

// rejectionFor returns the rejection whose code is true of all attempts made: not-run codes only
// if no attempt may have run.
func (r *request) rejectionFor(cause error) *rejection {
	for _, a := range r.attempts {
		switch a.outcome {
		case outcomeIncomplete:
			return &rejection{code: result.CodeAnswerCutOff, detail: a.err.Error()}
		case outcomeTimedOut, outcomeCallerLeft:
			return &rejection{code: result.CodeAnswerTimedOut}
		}
	}
	var rejected *Rejected
	var unauthorized *Unauthorized
	switch {
	case errors.As(cause, &unauthorized):
		return &rejection{code: unauthorized.Code, detail: unauthorized.Detail, retryAfter: unauthorized.RetryAfter}
	case errors.Is(cause, errStopping):
		return &rejection{code: result.CodeStopping, detail: errStopping.Error(), retryAfter: StoppingRetryAfter}
	case errors.As(cause, &rejected) && rejected.Reason == dispatch.AccountLimit:
		identity, _ := r.identify()
		r.report.Account = identity.Account
		detail := fmt.Sprintf("account %s is at its limit of %g requests a second over all instances", identity.Account, rejected.LimitRate)
		return &rejection{code: result.CodeAccountLimit, detail: detail, retryAfter: rejected.RetryAfter}
	case errors.As(cause, &rejected) && rejected.Reason == dispatch.NoEndpoint:
		return &rejection{code: result.CodeNoEndpoint, detail: noEndpointDetail(rejected), retryAfter: rejected.RetryAfter, atLimit: rejected.Limited > 0}
	case errors.As(cause, &rejected) && rejected.Reason == dispatch.Overloaded:
		detail := fmt.Sprintf("an answer is expected in %s, %s are left", rejected.ExpectedLatency, rejected.TimeLeft)
		return &rejection{code: result.CodeShedQueueFull, detail: detail, retryAfter: rejected.RetryAfter}
	case len(r.attempts) > 0:
		return &rejection{code: result.CodeUpstreamRefused, retryAfter: rejectedRetryAfter}
	default:
		return &rejection{code: result.CodeShedDeadline, retryAfter: rejectedRetryAfter}
	}
}

// unchargedAccount returns the account whose limit the request has to be taken from before an attempt; 0 if there is none.
func (r *request) unchargedAccount(i Identity) accounts.ID {
	if i.Account == "" {
		return 0
	}
	if a := accounts.IDOf(i.Account); a != r.charged {
		return a
	}
	return 0
}

// mayHaveRun reports whether an endpoint may have run the request, or may still do so.
func (r *request) mayHaveRun() bool {
	return r.running > 0 || slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.outcome != outcomeNotSent && a.outcome != outcomeNotRun })
}

// noEndpointDetail tells which endpoints the service has that take no requests.
func noEndpointDetail(r *Rejected) string {
	var parts []string
	if r.Leaving > 0 {
		parts = append(parts, fmt.Sprintf("%d endpoints of the service are leaving", r.Leaving))
	}
	if r.HeldOff > 0 {
		parts = append(parts, fmt.Sprintf("%d endpoints hold off, the first until about %s from now", r.HeldOff, r.RetryAfter.Round(time.Millisecond)))
	}
	switch {
	case r.Limited > 0 && r.LimitEndpoint != "":
		parts = append(parts, fmt.Sprintf("%d endpoints are at their limits, the first to have room is %s with %g requests a second", r.Limited, r.LimitEndpoint, r.LimitRate))
	case r.Limited > 0:
		parts = append(parts, fmt.Sprintf("%d endpoints are at their limits", r.Limited))
	}
	return strings.Join(parts, "; ")
}

// errStopping is the reason for which no attempt starts.
var errStopping = errors.New("the request may not end before the instance does")

// StoppingRetryAfter is the Retry-After of a request that a stopping instance does not pass on. It is
// short, as the caller can go to another instance.
const StoppingRetryAfter = 100 * time.Millisecond

// rejectedRetryAfter is the Retry-After of a request that no endpoint accepted: about the
// duration of one request.
const rejectedRetryAfter = 300 * time.Millisecond
