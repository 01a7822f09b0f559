package dispatch

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/httpconn"
)

const statusNotStarted = fasthttp.StatusServiceUnavailable

// outcome is the result of one attempt.
type outcome struct {
	result         routing.AttemptResult
	answer         exchange.Answer
	latency        time.Duration
	endpointFailed bool // The endpoint returned an error, was unreachable or did not answer by the deadline.
	draining       bool
	load           float64
	hasLoad        bool
	reusable       bool
}

// send makes one attempt on an endpoint. It returns soon after ctx ends.
func send(ctx context.Context, pool *connPool, r *exchange.Request, traceParent string, deadline time.Time) outcome {
	started := time.Now()
	c := pool.acquire()
	if c == nil {
		return notSent(pool.endpoint, errors.New("the endpoint's connections are all in use"), false)
	}
	o := sendOn(ctx, c, pool.endpoint, r, traceParent, deadline)
	pool.release(c, o.reusable)
	o.latency = time.Since(started)
	return o
}

func sendOn(ctx context.Context, c *connClient, endpoint fleet.Endpoint, r *exchange.Request, traceParent string, deadline time.Time) outcome {
	remaining := remainingMillis(time.Now(), deadline)
	if remaining <= 0 || ctx.Err() != nil {
		return notSent(endpoint, context.DeadlineExceeded, false)
	}
	// Not taken from fasthttp's pools, since an abandoned call may still use them.
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	buildRequest(req, endpoint, r, traceParent, remaining)
	err := c.do(ctx, req, resp)
	tracked, conn := c.attemptConn()
	if err != nil {
		return failedAttempt(ctx, c, tracked, endpoint, err)
	}
	return checkAnswer(tracked, conn, endpoint, r.Method, resp)
}

// buildRequest fills req from a caller's request. Path and query are forwarded unchanged.
func buildRequest(req *fasthttp.Request, endpoint fleet.Endpoint, r *exchange.Request, traceParent string, remaining int64) {
	uri := &fasthttp.URI{DisablePathNormalizing: true}
	uri.SetScheme("http")
	uri.SetHost(string(endpoint))
	path, query, _ := strings.Cut(r.URI, "?")
	uri.SetPath(path)
	uri.SetQueryString(query)
	req.SetURI(uri)
	req.UseHostHeader = true
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(r.Method)
	req.Header.SetHost(string(endpoint))
	writeHeaders(req, r.Headers)
	if traceParent != "" {
		req.Header.Set(headerTrace, traceParent)
	}
	req.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	req.SetBodyRaw(r.Body)
}

// checkAnswer checks an answer that was received completely.
func checkAnswer(tracked *trackedConn, conn *httpconn.Conn, endpoint fleet.Endpoint, method string, resp *fasthttp.Response) outcome {
	status := resp.StatusCode()
	if tracked == nil || tracked.readErr != nil {
		return incomplete(result.CodeAnswerCutOff, endpoint, "the answer's end is not marked", true)
	}
	if status < fasthttp.StatusOK {
		return incomplete(result.CodeAnswerMalformed, endpoint, "status "+strconv.Itoa(status)+" is not final", true)
	}
	if !conn.FullyRead() {
		return incomplete(result.CodeAnswerMalformed, endpoint, "bytes follow the answer's end", true)
	}
	bodiless := method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
	o := readAnswer(endpoint, resp, bodiless)
	o.reusable = o.reusable && conn.Reusable()
	return o
}

func readAnswer(endpoint fleet.Endpoint, resp *fasthttp.Response, bodiless bool) outcome {
	status := resp.StatusCode()
	o := outcome{reusable: !resp.ConnectionClose()}
	o.draining = headerValue(resp, HeaderLeaving) == "1"
	o.load, o.hasLoad = parseLoad(headerValue(resp, HeaderLoad))
	if status == statusNotStarted && headerValue(resp, HeaderNotStarted) == "1" {
		o.result = routing.AttemptRefused
		o.answer = exchange.Rejection(result.CodeUpstreamRefused, "Endpoint "+string(endpoint)+".")
		return o
	}
	o.result = routing.AttemptSucceeded
	if status >= fasthttp.StatusInternalServerError {
		o.result = routing.AttemptServerError
		o.endpointFailed = true
	}
	o.answer = exchange.Answer{
		Status:    status,
		Headers:   readHeaders(resp, bodiless),
		Body:      bytes.Clone(resp.Body()),
		Code:      result.CodeAnswered,
		Execution: result.Ran,
	}
	return o
}

// failedAttempt classifies an attempt that ended without an answer.
func failedAttempt(ctx context.Context, c *connClient, conn *trackedConn, endpoint fleet.Endpoint, err error) outcome {
	aborted := c.wasAborted() || ctx.Err() != nil
	if conn == nil || conn.written == 0 {
		return notSent(endpoint, err, !aborted)
	}
	switch {
	case aborted && errors.Is(context.Cause(ctx), errAttemptCancelled):
		return cancelled(endpoint)
	case aborted:
		return incomplete(result.CodeAnswerTimedOut, endpoint, "", true)
	case errors.Is(err, httpconn.ErrTooLarge):
		return incomplete(result.CodeAnswerMalformed, endpoint, "the body is over its bound", true)
	case conn.readErr != nil || !conn.hasRead:
		return incomplete(result.CodeAnswerCutOff, endpoint, err.Error(), true)
	default:
		return incomplete(result.CodeAnswerMalformed, endpoint, err.Error(), true)
	}
}

func notSent(endpoint fleet.Endpoint, err error, endpointFailed bool) outcome {
	return outcome{
		result:         routing.AttemptNotSent,
		answer:         exchange.Rejection(result.CodeNotSent, "Endpoint "+string(endpoint)+": "+err.Error()+"."),
		endpointFailed: endpointFailed,
	}
}

func cancelled(endpoint fleet.Endpoint) outcome {
	return outcome{
		result: routing.AttemptCancelled,
		answer: exchange.Rejection(result.CodeCallerGone, "Endpoint "+string(endpoint)+"."),
	}
}

func incomplete(code result.Code, endpoint fleet.Endpoint, detail string, endpointFailed bool) outcome {
	text := "Endpoint " + string(endpoint)
	if detail != "" {
		text += ": " + detail
	}
	return outcome{
		result:         routing.AttemptIncomplete,
		answer:         exchange.Rejection(code, text+"."),
		endpointFailed: endpointFailed,
	}
}

// parseLoad parses the load that an upstream reports, capped at 1.
func parseLoad(text string) (float64, bool) {
	load, err := strconv.ParseFloat(text, 64)
	if err != nil || !(load >= 0) {
		return 0, false
	}
	return min(load, 1), true
}
