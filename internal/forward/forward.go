package forward

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/platform"
)

// Dispatcher decides where requests go.
type Dispatcher interface {
	// Acquire waits for an endpoint. The error is a *Rejected, or ctx's.
	Acquire(ctx context.Context, a dispatch.Ask) (dispatch.Grant, error)
	// Ended tells how a granted request ended.
	Ended(id dispatch.EndpointID, kind dispatch.EventKind, took time.Duration)
	// Unreachable tells that a granted request could not be sent.
	Unreachable(id dispatch.EndpointID)
	// RunsLong tells that a granted request has no answer for many times the usual time.
	RunsLong(id dispatch.EndpointID)
}

// Rejected is the error of a request that gets no endpoint.
type Rejected struct {
	dispatch.Rejection
}

func (r *Rejected) Error() string {
	return fmt.Sprintf("request is turned away for reason %d", r.Reason)
}

// Request is a routed request.
type Request struct {
	ID       string // The caller's id of this attempt.
	Route    platform.Route
	Service  string
	HTTP     *fasthttp.Request
	Arrived  time.Time
	Deadline time.Time // The caller's and the route's, whichever is earlier.
}

// Report is what became of a request, for the log.
type Report struct {
	Code     result.Code
	Status   int
	Detail   string
	Attempts []Attempt
}

// Attempt is one sending, for the log.
type Attempt struct {
	Upstream string  `json:"upstream"`
	Ending   string  `json:"ending"`
	Millis   int64   `json:"ms"`
	Chance   float64 `json:"chance"`
	InFlight int     `json:"in_flight"`
	Reused   bool    `json:"reused,omitempty"`
	Error    string  `json:"error,omitempty"`
}

// Forwarder sends requests to upstreams.
type Forwarder struct {
	dispatcher Dispatcher
	pool       *pool
	nextAsk    atomic.Uint64
	metrics    metrics
}

type metrics struct {
	dials, strays atomic.Int64
}

// New returns a Forwarder.
func New(d Dispatcher) *Forwarder {
	return &Forwarder{dispatcher: d, pool: newPool()}
}

// Counts returns the connections opened to upstreams and the stray answers skipped.
func (f *Forwarder) Counts() (dials, strays int64) {
	return f.metrics.dials.Load(), f.metrics.strays.Load()
}

// Sweep closes upstream connections that have been idle for too long.
func (f *Forwarder) Sweep(now time.Time) {
	f.pool.sweep(now)
}

// answerMargin is kept to a deadline, so that the answer is there before the caller gives up.
const answerMargin = 15 * time.Millisecond

// overdueFactor is the multiple of an endpoint's usual time after which a request runs long.
const overdueFactor = 4

// request is one request on its way.
type request struct {
	Request
	http     *fasthttp.Request
	id       string
	deadline time.Time
	tried    []dispatch.EndpointID
	attempts []*attempt
	sent     int // Attempts of which a byte may have left.
	report   Report
	failure  *attempt // The last one that an endpoint answered with a failure.
}

// Serve carries a request through and fills in its answer.
func (f *Forwarder) Serve(ctx context.Context, in Request, resp *fasthttp.Response) Report {
	r := &request{Request: in, http: in.HTTP, id: in.ID, deadline: in.Deadline.Add(-answerMargin)}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	refusal := f.run(ctx, r, resp)
	if refusal != nil {
		r.report.Code, r.report.Detail = refusal.code, refusal.detail
		refusal.write(r.id, resp)
	}
	r.report.Status = resp.StatusCode()
	for _, a := range r.attempts {
		r.report.Attempts = append(r.report.Attempts, a.report())
	}
	return r.report
}

// run makes attempts until one is answered or none is left to make.
func (f *Forwarder) run(ctx context.Context, r *request, resp *fasthttp.Response) *refusal {
	for {
		grant, err := f.acquire(ctx, r)
		if err != nil {
			return r.giveUp(err, resp)
		}
		a := f.attempt(ctx, r, grant)
		r.attempts = append(r.attempts, a)
		if a.ending == endedServed {
			r.deliver(a, resp)
			return nil
		}
		if a.ending == endedFailed {
			r.keepFailure(a)
		}
		if !r.mayRepeat(a) {
			return r.giveUp(nil, resp)
		}
	}
}

func (f *Forwarder) acquire(ctx context.Context, r *request) (dispatch.Grant, error) {
	return f.dispatcher.Acquire(ctx, dispatch.Ask{
		ID:         f.nextAsk.Add(1),
		Service:    r.Service,
		Idempotent: r.Route.Idempotent,
		Repeat:     r.sent > 0,
		Priority:   r.Route.Priority,
		Objective:  r.Arrived.Add(r.Route.Objective),
		Deadline:   r.deadline,
		Tried:      r.tried,
	})
}

// attempt sends the request to the granted endpoint.
func (f *Forwarder) attempt(ctx context.Context, r *request, grant dispatch.Grant) *attempt {
	a := &attempt{grant: grant, started: time.Now()}
	defer func() { a.took = time.Since(a.started) }()
	overdue := time.AfterFunc(grant.Usual*overdueFactor, func() { f.dispatcher.RunsLong(grant.Endpoint.ID) })
	f.send(f.sendContext(ctx, r), r, a)
	overdue.Stop()
	if a.ending == endedNotSent && ctx.Err() == nil {
		f.dispatcher.Unreachable(grant.Endpoint.ID)
	} else {
		f.dispatcher.Ended(grant.Endpoint.ID, a.eventOf(), time.Since(a.started))
	}
	r.tried = append(r.tried, grant.Endpoint.ID)
	if a.ending != endedNotSent {
		r.sent++
	}
	return a
}

// sendContext returns the context of one sending. A request that is not idempotent runs on
// when its caller leaves: breaking it off would not undo it.
func (f *Forwarder) sendContext(ctx context.Context, r *request) context.Context {
	if r.Route.Idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
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
	if r.failure != nil {
		fasthttp.ReleaseResponse(r.failure.resp)
	}
	r.failure = a
}

// deliver copies an endpoint's answer, without what concerns its connection.
func (r *request) deliver(a *attempt, resp *fasthttp.Response) {
	a.resp.CopyTo(resp)
	fasthttp.ReleaseResponse(a.resp)
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
		return &refusal{code: result.CodeShedQueueFull, retryAfter: rejected.RetryAfter}
	case len(r.attempts) > 0:
		return &refusal{code: result.CodeUpstreamRefused, retryAfter: refusedRetryAfter}
	default:
		return &refusal{code: result.CodeShedDeadline, retryAfter: refusedRetryAfter}
	}
}

// refusedRetryAfter is when a caller may come back whose request no endpoint took: about
// the time of one request.
const refusedRetryAfter = 300 * time.Millisecond
