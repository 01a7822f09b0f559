package forward

import (
	"context"
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
	// Acquire gives a request an endpoint. The error is a *Rejected where it is turned away.
	Acquire(a dispatch.Request) (dispatch.Grant, error)
	// Ended tells how a granted request ended.
	Ended(g dispatch.Grant, kind dispatch.EventKind, took time.Duration)
	// Unreachable tells that a granted request could not be sent.
	Unreachable(g dispatch.Grant)
	// Answered tells the size of the body of an answer to a request of a class.
	Answered(class string, bytes int)
	// RunsLong tells that a granted request has no answer for many times the usual time.
	RunsLong(g dispatch.Grant)
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
	metrics    metrics
	inService  func() int64 // Nil where it is not known.
}

type metrics struct {
	dials, strays, brokenStreams atomic.Int64
}

// New returns a Forwarder.
func New(d Dispatcher) *Forwarder {
	return &Forwarder{dispatcher: d, pool: newPool()}
}

// Counts are the Forwarder's counters since its start.
type Counts struct {
	Dials         int64 // Connections opened to upstreams.
	Strays        int64 // Answers to other requests, skipped.
	BrokenStreams int64 // Answers that broke off while they were passed on.
}

// Counts returns the counters.
func (f *Forwarder) Counts() Counts {
	return Counts{Dials: f.metrics.dials.Load(), Strays: f.metrics.strays.Load(), BrokenStreams: f.metrics.brokenStreams.Load()}
}

// Sweep closes upstream connections that have been idle for too long.
func (f *Forwarder) Sweep(now time.Time) {
	f.pool.sweep(now)
}

// DropIdle closes the idle connections to upstreams, whose other sides may have given them up.
func (f *Forwarder) DropIdle() {
	f.pool.clear()
}

// answerMargin is kept to a deadline, so that the answer is there before the caller gives up.
const answerMargin = 15 * time.Millisecond

// maxOpen is the most attempts of one request that are under way at a time.
const maxOpen = 2

// overdueFactor is the multiple of an endpoint's usual time after which a request runs long.
const overdueFactor = 4

// request is one request on its way.
type request struct {
	Request
	deadline time.Time // When its final answer is due.
	tried    []dispatch.EndpointID
	attempts []*attempt // That have ended.
	sent     int        // Attempts of which a byte may have left.
	open     int        // Attempts under way.
	endings  chan *attempt
	report   Report
	failure  *attempt // The last one that an endpoint answered with a failure.

	cancel    context.CancelFunc
	streaming bool // The answer is passed on while it comes; the request ends with it.
}

// Serve carries a request through and fills in its answer.
func (f *Forwarder) Serve(ctx context.Context, in Request, resp *fasthttp.Response) Report {
	r := &request{Request: in, deadline: in.Deadline.Add(-answerMargin), endings: make(chan *attempt, maxOpen)}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	r.cancel = cancel
	defer func() {
		if !r.streaming {
			cancel()
		}
	}()
	refusal := f.run(ctx, r, resp)
	if refusal != nil {
		r.report.Code, r.report.Detail = refusal.code, refusal.detail
		refusal.write(r.ID, resp)
	}
	r.report.Status = resp.StatusCode()
	for _, a := range r.attempts {
		r.report.Attempts = append(r.report.Attempts, a.report())
	}
	return r.report
}

// run makes attempts until one is served or none is left to make.
func (f *Forwarder) run(ctx context.Context, r *request, resp *fasthttp.Response) *refusal {
	for {
		grant, err := f.acquire(ctx, r)
		if err == nil {
			f.launch(ctx, r, grant)
		}
		if r.open == 0 {
			return r.giveUp(err, resp)
		}
		a := r.await(err == nil && r.mayHedge(), hedgeDelay(r, grant))
		if a == nil {
			continue // The attempt under way takes long: another is made beside it.
		}
		if done, refusal := r.take(a, resp); done {
			return refusal
		}
	}
}

func (f *Forwarder) acquire(ctx context.Context, r *request) (dispatch.Grant, error) {
	if err := ctx.Err(); err != nil {
		return dispatch.Grant{}, err
	}
	return f.dispatcher.Acquire(dispatch.Request{
		Service:       r.Service,
		SizeClass:     r.Route.Name,
		LargeResponse: r.Route.LargeResponses,
		Idempotent:    r.Route.Idempotent,
		Retry:         r.sent > 0,
		Hedge:         r.open > 0,
		Objective:     r.Arrived.Add(r.Route.Objective),
		Deadline:      r.deadline,
		Tried:         r.tried,
	})
}

// launch sends the request to the granted endpoint. Its attempt comes to r.endings.
func (f *Forwarder) launch(ctx context.Context, r *request, grant dispatch.Grant) {
	r.tried = append(r.tried, grant.Endpoint.ID)
	r.sent++
	r.open++
	req := fasthttp.AcquireRequest()
	r.HTTP.CopyTo(req)
	go func() {
		defer fasthttp.ReleaseRequest(req)
		a := f.attempt(ctx, r, req, grant)
		r.endings <- a
		if a.stream != nil {
			f.finish(ctx, a)
		}
	}()
}

// attempt sends a copy of the request to the granted endpoint.
func (f *Forwarder) attempt(ctx context.Context, r *request, req *fasthttp.Request, grant dispatch.Grant) *attempt {
	a := &attempt{grant: grant, started: time.Now()}
	overdue := time.AfterFunc(grant.BaselineLatency*overdueFactor, func() { f.dispatcher.RunsLong(grant) })
	f.send(f.sendContext(ctx, r), r, req, a)
	overdue.Stop()
	a.took = time.Since(a.started)
	if a.ending == endedServed {
		f.dispatcher.Answered(r.Route.Name, a.size())
	}
	if a.stream != nil {
		return a
	}
	if a.ending == endedNotSent && ctx.Err() == nil {
		f.dispatcher.Unreachable(grant)
	} else {
		f.dispatcher.Ended(grant, a.eventOf(), a.took)
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
