package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/shutdown"
	"github.com/damaskcove/damaskcove/internal/callers"
	"github.com/damaskcove/damaskcove/internal/forward"
	"github.com/damaskcove/damaskcove/platform"
)

// startingRetryAfter is the Retry-After of an instance that has no configuration yet, or was paused.
const startingRetryAfter = 200 * time.Millisecond

// unsupportedRouteRetryAfter is the Retry-After for a route that this version doesn't support. It is
// long, as only a change of the configuration helps.
const unsupportedRouteRetryAfter = 2 * time.Second

// bodiesFullRetryAfter is the Retry-After while there is no room for a request's body: others are answered
// meanwhile.
const bodiesFullRetryAfter = 300 * time.Millisecond

// handler serves callers' requests.
type handler struct {
	control   *control
	forwarder *forward.Forwarder
	metrics   *metrics
	log       *slog.Logger
	logAll    func() bool
	stop      atomic.Pointer[shutdown.Plan] // Nil until a planned stop begins.
	mayStart  func(now, deadline time.Time) bool
	bounds    func() accounts.Bounds // Of the age of the configuration that a key is looked up in.
}

// Expects implements callers.Handler. A request that a planned stop leaves no time for is rejected before its
// body arrives, so that its caller can go to another instance.
func (h *handler) Expects(head *fasthttp.RequestHeader) bool {
	left, ok := platform.TimeLeft(head)
	now := time.Now()
	return !ok || h.mayStart(now, now.Add(left))
}

// Limits implements callers.Handler.
func (h *handler) Limits() callers.Limits {
	return h.control.snapshot.Load().limits
}

// Reject implements callers.Handler.
func (h *handler) Reject(code result.Code, detail string, resp *fasthttp.Response) {
	var retryAfter time.Duration
	switch code {
	case result.CodeBodiesFull:
		retryAfter = bodiesFullRetryAfter
	case result.CodeStopping:
		retryAfter = forward.StoppingRetryAfter
	}
	forward.Reject(resp, "", code, detail, retryAfter)
	h.metrics.recordAnswer(code, 0)
	h.log.Warn("cannot read a request; it is refused", "code", code, "detail", detail)
}

// Serve implements callers.Handler.
func (h *handler) Serve(ctx context.Context, r callers.Request, resp *fasthttp.Response) {
	if platform.HasCredential(&r.HTTP.Header) {
		h.metrics.credentials.Add(1)
	}
	s := h.control.snapshot.Load()
	id := platform.RequestID(&r.HTTP.Header)
	if s.router == nil {
		h.rejectAndLog(r, id, resp, result.CodeNotReady, "", startingRetryAfter)
		return
	}
	if s.mayBeStale(time.Now()) {
		h.rejectAndLog(r, id, resp, result.CodeNotReady, "the process has stood still", startingRetryAfter)
		return
	}
	uri := string(r.HTTP.Header.RequestURI())
	host := string(r.HTTP.Header.Host())
	route, ok := s.router.find(host, uri)
	if !ok {
		h.rejectAndLog(r, id, resp, result.CodeNoRoute, "host "+host+", version "+s.Version.String(), 0)
		return
	}
	if len(route.Split) == 0 {
		h.rejectAndLog(r, id, resp, result.CodeNoEndpoint, "route "+route.Name+" is not understood", unsupportedRouteRetryAfter)
		return
	}
	identify := h.identifier(&r, route)
	identity, unauthorized := identify()
	if unauthorized != nil {
		h.rejectAndLog(r, id, resp, unauthorized.Code, unauthorized.Detail, unauthorized.RetryAfter)
		return
	}
	in := forward.Request{
		ID: id, Route: route, Service: pickService(route.Split), HTTP: r.HTTP, Body: r.Body, Arrived: r.Arrived,
		Deadline: r.Arrived.Add(route.Timeout),
	}
	if left, ok := platform.TimeLeft(&r.HTTP.Header); ok && left < route.Timeout {
		in.Deadline = r.Arrived.Add(left)
	}
	var accountsEnabled atomic.Bool // At any time since the request was read: its headers are not sent as they are.
	accountsEnabled.Store(identity.Accounts)
	in.Identify = func() (forward.Identity, *forward.Unauthorized) {
		now, unauthorized := identify()
		if now.Accounts {
			accountsEnabled.Store(true)
		}
		now.Accounts = accountsEnabled.Load()
		return now, unauthorized
	}
	in.MayStart = func(now time.Time) bool { return h.mayStart(now, in.Deadline) }
	r.SetInfo(id, route.Name)
	report := h.forwarder.Serve(ctx, in, resp)
	h.metrics.recordAnswer(report.Code, time.Since(r.Arrived))
	h.logRequest(ctx, &in, s, report)
}

func (h *handler) rejectAndLog(r callers.Request, id string, resp *fasthttp.Response, code result.Code, detail string, retryAfter time.Duration) {
	forward.Reject(resp, id, code, detail, retryAfter)
	h.metrics.recordAnswer(code, time.Since(r.Arrived))
	h.log.Info("request", "request", id, "code", code, "detail", detail, "host", string(r.HTTP.Header.Host()), "uri", string(r.HTTP.Header.RequestURI()))
}

// logRequest logs a request if the settings ask for it: all requests, or those that were rejected, got
// a server error, took more than one attempt or were answered later than their route's objective.
func (h *handler) logRequest(ctx context.Context, r *forward.Request, s *Snapshot, report forward.Report) {
	took := time.Since(r.Arrived)
	if report.Account != "" && len(report.Attempts) > 0 {
		h.metrics.withAccount.Add(1)
	}
	unremarkable := report.Code == result.CodeAnswered && report.Status < fasthttp.StatusInternalServerError && len(report.Attempts) == 1 && took <= r.Route.Objective
	if unremarkable && !h.logAll() {
		return
	}
	h.log.LogAttrs(ctx, slog.LevelInfo, "request",
		slog.String("request", r.ID),
		slog.Int("code", int(report.Code)),
		slog.Int("status", report.Status),
		slog.String("detail", report.Detail),
		slog.String("route", r.Route.Name),
		slog.String("service", r.Service),
		slog.String("account", report.Account),
		slog.String("version", s.Version.String()),
		slog.Int64("ms", took.Milliseconds()),
		slog.Bool("caller_left", ctx.Err() != nil),
		slog.Any("attempts", report.Attempts),
	)
}
