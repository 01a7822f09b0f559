package forward

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/body"
	"github.com/damaskcove/damaskcove/platform"
)

// Dispatcher assigns requests to endpoints and records the results.
type Dispatcher interface {
	// Acquire grants a request an endpoint. The error is a *Rejected if the request is not admitted.
	Acquire(a dispatch.Request) (dispatch.Grant, error)
	// Ended records the result and the duration of a granted request.
	Ended(g dispatch.Grant, kind dispatch.EventKind, took time.Duration)
	// SendFailed records that a granted request could not be sent.
	SendFailed(g dispatch.Grant)
	// RecordResponseSize records the body size of an answer to a request of a size class.
	RecordResponseSize(class string, bytes int)
	// Overdue records that a granted request has had no answer for a multiple of the baseline latency.
	Overdue(g dispatch.Grant)
	// AnnouncedLeaving records that the endpoint of a granted request, which was sent at a time, said in its
	// answer that it is leaving. No request that is acquired after the call is granted that endpoint.
	AnnouncedLeaving(g dispatch.Grant, sent time.Time)
	// HeldOff records that the endpoint of a granted request, which was sent at a time, turned it away and wants
	// no more requests for holdOff. Until then no request that is acquired after the call is granted it.
	HeldOff(g dispatch.Grant, sent time.Time, holdOff time.Duration)
	// LimitNamed records that the endpoint of a granted request, which was sent at a time, named in its answer the
	// requests a second that it takes from all instances together.
	LimitNamed(g dispatch.Grant, sent time.Time, rate float64)
	// LimitAbsent records that the answer of an endpoint that was granted as limited named no limit.
	LimitAbsent(g dispatch.Grant, sent time.Time)
	// ReturnQuota gives back to an account's limit a granted request that has not run at any endpoint.
	ReturnQuota(a accounts.ID)
}

// Rejected is the error of a request that is granted no endpoint.
type Rejected struct {
	dispatch.Rejection
}

func (r *Rejected) Error() string {
	return fmt.Sprintf("no endpoint was granted: rejection reason %d", r.Reason)
}

// Request is a routed request.
type Request struct {
	ID       string // Request ID that the caller sent.
	Route    platform.Route
	Service  string
	HTTP     *fasthttp.Request // Head of the request.
	Body     *body.Body
	Arrived  time.Time
	Deadline time.Time // The earlier of the caller's deadline and the route's timeout.

	// MayStart reports whether an attempt may start at a time while no other is running; nil if always.
	MayStart func(now time.Time) bool

	// Identify returns for whom an attempt is sent, by the configuration in force at the time of the call. It is called
	// before each attempt is placed, and again before it is sent. Nil leaves the caller's headers as they are.
	Identify func() (Identity, *Unauthorized)
}

// Identity is for whom an attempt of a request is sent.
type Identity struct {
	Accounts bool   // The configuration has client accounts. Without, the caller's headers are sent as they are.
	Account  string // Name of the client account; empty for a request without a key.
}

// Unauthorized is the error of a request that no attempt may be sent of.
type Unauthorized struct {
	Code       result.Code
	Detail     string // For the caller and the log; holds no key.
	RetryAfter time.Duration
}

func (u *Unauthorized) Error() string { return u.Detail }

// Report is the result of a request, for the log.
type Report struct {
	Code     result.Code
	Status   int
	Detail   string
	Account  string // Client account of the last attempt; empty if there is none.
	Attempts []Attempt
}

// Attempt is one attempt of a request, for the log.
type Attempt struct {
	Upstream string  `json:"upstream"`
	Outcome  string  `json:"ending"`
	Millis   int64   `json:"ms"`
	Chance   float64 `json:"chance"`
	InFlight int     `json:"in_flight"`
	Reused   bool    `json:"reused,omitempty"`

	Leaving bool     `json:"leaving,omitempty"`     // The upstream announced in its answer that it is leaving.
	Limit   *float64 `json:"limit,omitempty"`       // Requests a second that the upstream takes from all instances, by its answer.
	HoldOff int64    `json:"hold_off_ms,omitempty"` // How long the upstream wants no requests, by its answer.
	Ignored []string `json:"ignored,omitempty"`     // Invalid announcements in its answer.
	Error   string   `json:"error,omitempty"`
}

// Forwarder sends requests to upstreams.
type Forwarder struct {
	dispatcher Dispatcher
	pool       *pool
	metrics    metrics
	inService  func() int64 // Nil if SetInServiceCount was not called.
}

type metrics struct {
	dials, mismatched, brokenStreams                                 atomic.Int64
	leaving, limited, heldOff, waited, atLimit, invalidAnnouncements atomic.Int64
	credentials                                                      atomic.Int64
}

// New returns a Forwarder.
func New(d Dispatcher) *Forwarder {
	return &Forwarder{dispatcher: d, pool: newPool()}
}

// Counts are the Forwarder's counters since its start.
type Counts struct {
	Dials             int64 // Connections opened to upstreams.
	MismatchedAnswers int64 // Answers that carried another request's ID and were skipped.
	BrokenStreams     int64 // Answers that were truncated while they were streamed to the caller.
	LeavingAnswers    int64 // Answers in which an upstream announced that it is leaving.
	LimitAnswers      int64 // Answers in which an upstream named a limit of its rate of requests.
	HoldOffAnswers    int64 // Answers in which an upstream turned a request away and wants no more for a time.
	Waits             int64 // Requests that waited for an upstream to return from a hold-off or to have room in its limit.
	LimitRejections   int64 // Requests that found no room in the limits of upstreams.

	InvalidAnnouncements int64 // Answers in which an upstream's announcement had an invalid value, which was ignored.
	Credentials          int64 // Attempts that passed a caller's credential on to an upstream.
}

func (f *Forwarder) Counts() Counts {
	return Counts{
		Dials: f.metrics.dials.Load(), MismatchedAnswers: f.metrics.mismatched.Load(), BrokenStreams: f.metrics.brokenStreams.Load(),
		LeavingAnswers: f.metrics.leaving.Load(), LimitAnswers: f.metrics.limited.Load(), HoldOffAnswers: f.metrics.heldOff.Load(), Waits: f.metrics.waited.Load(), LimitRejections: f.metrics.atLimit.Load(), InvalidAnnouncements: f.metrics.invalidAnnouncements.Load(),
		Credentials: f.metrics.credentials.Load(),
	}
}

// Sweep closes upstream connections that are past their idle timeout.
func (f *Forwarder) Sweep(now time.Time) {
	f.pool.closeExpired(now)
}

// CloseIdleConnections closes the idle connections to upstreams. The upstreams may have dropped
// their ends.
func (f *Forwarder) CloseIdleConnections() {
	f.pool.closeAll()
}

// answerMargin is subtracted from the deadline, so that the answer arrives before the caller
// times out.
const answerMargin = 15 * time.Millisecond

// maxConcurrentAttempts bounds the concurrent attempts of one request: the first and one hedge.
const maxConcurrentAttempts = 2

// waitStep is how often a request that waits for an endpoint to return asks again: another one may be added meanwhile.
const waitStep = 200 * time.Millisecond

// overdueFactor is the multiple of an endpoint's baseline latency after which an attempt is overdue.
const overdueFactor = 4

// request is the state of one request.
type request struct {
	Request
	deadline  time.Time // When the final answer is due: the caller's deadline less answerMargin.
	tried     []dispatch.EndpointID
	attempts  []*attempt // Completed attempts.
	sent      int        // Attempts of which a byte may have been sent.
	running   int        // Attempts in progress.
	completed chan *attempt
	report    Report
	failure   *attempt    // Last attempt that an endpoint answered with a server error.
	charged   accounts.ID // Account whose limit it was taken from; 0 for none.

	cancel    context.CancelFunc
	streaming bool // The answer is streamed; ctx is cancelled when the stream ends.
}

// Serve forwards a request and fills in its answer.
func (f *Forwarder) Serve(ctx context.Context, in Request, resp *fasthttp.Response) Report {
	r := &request{Request: in, deadline: in.Deadline.Add(-answerMargin), completed: make(chan *attempt, maxConcurrentAttempts)}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	r.cancel = cancel
	defer func() {
		if !r.streaming {
			cancel()
		}
	}()
	rejection := f.run(ctx, r, resp)
	f.returnQuota(r)
	if rejection != nil && rejection.atLimit {
		f.metrics.atLimit.Add(1)
	}
	if rejection != nil {
		r.report.Code, r.report.Detail = rejection.code, rejection.detail
		rejection.write(r.ID, resp)
	}
	r.report.Status = resp.StatusCode()
	for _, a := range r.attempts {
		r.report.Attempts = append(r.report.Attempts, a.logRecord())
		r.report.Account = a.account
	}
	return r.report
}

// run makes attempts until one is served or no further attempt is allowed.
func (f *Forwarder) run(ctx context.Context, r *request, resp *fasthttp.Response) *rejection {
	for {
		grant, err := f.acquire(ctx, r)
		if err == nil {
			f.startAttempt(ctx, r, grant)
		}
		if r.running == 0 {
			return r.finishUnserved(err, resp)
		}
		a := r.awaitAttempt(err == nil && r.mayHedge(), hedgeDelay(r, grant))
		if a == nil {
			continue // The hedge delay has passed: start a second, concurrent attempt.
		}
		if done, rejection := r.handle(a, resp); done {
			return rejection
		}
	}
}

// acquire acquires an endpoint. While all endpoints hold off or are at their limits, it waits for the first to return
// if the request can still meet its objective then.
func (f *Forwarder) acquire(ctx context.Context, r *request) (dispatch.Grant, error) {
	for waited := false; ; waited = true {
		grant, err := f.acquireNow(ctx, r, waited)
		var rejected *Rejected
		if !errors.As(err, &rejected) || rejected.Wait <= 0 || r.running > 0 {
			return grant, err
		}
		if !waited {
			f.metrics.waited.Add(1)
		}
		select {
		case <-time.After(min(rejected.Wait, waitStep)):
		case <-ctx.Done():
			return dispatch.Grant{}, ctx.Err()
		}
	}
}

func (f *Forwarder) acquireNow(ctx context.Context, r *request, waited bool) (dispatch.Grant, error) {
	if err := ctx.Err(); err != nil {
		return dispatch.Grant{}, err
	}
	if r.running == 0 && r.MayStart != nil && !r.MayStart(time.Now()) {
		return dispatch.Grant{}, errStopping
	}
	identity, unauthorized := r.identify()
	if unauthorized != nil {
		return dispatch.Grant{}, unauthorized
	}
	account := r.unchargedAccount(identity)
	grant, err := f.dispatcher.Acquire(dispatch.Request{
		Service:       r.Service,
		SizeClass:     r.Route.Name,
		LargeResponse: r.Route.LargeResponses,
		Idempotent:    r.Route.Idempotent,
		Retry:         r.sent > 0,
		LastAttempt:   r.sent+1 >= r.Route.MaxAttempts,
		Hedge:         r.running > 0,
		Waiting:       waited,
		Priority:      r.Route.Priority,
		Objective:     r.Arrived.Add(r.Route.Objective),
		Deadline:      r.deadline,
		Tried:         r.tried,
		Account:       account,
	})
	if err == nil && account != 0 {
		f.returnQuota(r) // Of the account that the key belonged to before.
		r.charged = account
	}
	return grant, err
}

// returnQuota gives a request that has not run back to its account's limit.
func (f *Forwarder) returnQuota(r *request) {
	if r.charged != 0 && !r.mayHaveRun() {
		f.dispatcher.ReturnQuota(r.charged)
	}
}

// startAttempt starts an attempt at the granted endpoint and sends it to r.completed when it ends.
func (f *Forwarder) startAttempt(ctx context.Context, r *request, grant dispatch.Grant) {
	r.tried = append(r.tried, grant.Endpoint.ID)
	r.sent++
	r.running++
	req := fasthttp.AcquireRequest()
	r.HTTP.Header.CopyTo(&req.Header)
	r.Body.Retain() // The attempt of a request that is not idempotent may outlast its caller.
	go func() {
		defer fasthttp.ReleaseRequest(req)
		a := f.runAttempt(ctx, r, req, grant)
		r.Body.Release() // Before a streamed answer is written, as its reader may be slow.
		r.completed <- a
		if a.stream != nil {
			f.finishStream(ctx, a)
		}
	}()
}

// runAttempt sends the request, with a header of its own, to the granted endpoint and records the result
// with the dispatcher. For a streamed answer, finishStream records it.
func (f *Forwarder) runAttempt(ctx context.Context, r *request, req *fasthttp.Request, grant dispatch.Grant) *attempt {
	a := &attempt{grant: grant, started: time.Now()}
	overdue := time.AfterFunc(grant.BaselineLatency*overdueFactor, func() { f.dispatcher.Overdue(grant) })
	f.send(f.attemptContext(ctx, r), r, req, a)
	overdue.Stop()
	a.elapsed = time.Since(a.started)
	if a.leaving { // Before the answer is passed on, as that is when the endpoint must get no more requests.
		f.dispatcher.AnnouncedLeaving(grant, a.started)
	}
	if a.holdOff > 0 {
		f.dispatcher.HeldOff(grant, a.started, a.holdOff)
	}
	switch {
	case !a.announced:
	case a.limit.State == platform.LimitNamed:
		f.dispatcher.LimitNamed(grant, a.started, a.limit.Rate)
	case a.limit.State == platform.LimitAbsent && grant.Limited:
		f.dispatcher.LimitAbsent(grant, a.started)
	}
	if a.outcome == outcomeServed {
		f.dispatcher.RecordResponseSize(r.Route.Name, a.bodySize())
	}
	if a.stream != nil {
		return a
	}
	if a.outcome == outcomeNotSent && ctx.Err() == nil && !isUnauthorized(a.err) {
		f.dispatcher.SendFailed(grant)
	} else {
		f.dispatcher.Ended(grant, a.eventKind(), a.elapsed)
	}
	return a
}

// attemptContext returns the context of one attempt. A request that is not idempotent continues
// after its caller disconnects: aborting it would not undo its effects.
func (f *Forwarder) attemptContext(ctx context.Context, r *request) context.Context {
	if r.Route.Idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}
