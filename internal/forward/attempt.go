package forward

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/pause"
	"github.com/damaskcove/damaskcove/internal/httpconn"
	"github.com/damaskcove/damaskcove/platform"
)

// outcome is the result of one attempt.
type outcome uint8

const (
	outcomeServed     outcome = iota + 1 // The answer can be delivered.
	outcomeFailed                        // The endpoint ran the request and answered with a server error.
	outcomeNotRun                        // The endpoint reports that it did not run the request.
	outcomeNotSent                       // No byte of the request was sent.
	outcomeIncomplete                    // The request may have run; no complete, valid answer arrived.
	outcomeTimedOut                      // The request may have run; no answer arrived before the deadline.
	outcomeCallerLeft                    // The caller disconnected.
)

var outcomeNames = map[outcome]string{
	outcomeServed: "served", outcomeFailed: "failed", outcomeNotRun: "not-run", outcomeNotSent: "not-sent",
	outcomeIncomplete: "broken", outcomeTimedOut: "timed-out", outcomeCallerLeft: "caller-left",
}

func (o outcome) String() string { return outcomeNames[o] }

// attempt is one try to send a request to one endpoint.
type attempt struct {
	grant     dispatch.Grant
	started   time.Time
	elapsed   time.Duration
	outcome   outcome
	reused    bool // An idle connection was reused.
	leaving   bool // The endpoint announced in its answer that it is leaving.
	announced bool // The answer may announce something of the endpoint.
	limit     platform.Limit
	holdOff   time.Duration // How long the endpoint wants no requests, by its answer.
	ignored   []string      // Invalid announcements in its answer.
	account   string        // Client account that it was sent for.
	err       error
	resp      *fasthttp.Response  // Nil if no answer arrived.
	stream    *stream             // The answer's body, if it is streamed.
	release   func(reusable bool) // Returns the connection to the pool, or closes it.
}

// maxMismatched is the number of answers to other requests that are skipped on a connection
// before the attempt fails.
const maxMismatched = 4

// send sends a request to the granted endpoint and reads its answer. Cancelling ctx aborts the
// attempt by closing its connection.
func (f *Forwarder) send(ctx context.Context, r *request, req *fasthttp.Request, a *attempt) {
	to := target{id: a.grant.Endpoint.ID, addr: a.grant.Endpoint.Address}
	conn := f.pool.get(to, a.started)
	a.reused = conn != nil
	if conn == nil {
		var err error
		if conn, err = httpconn.Dial(to.addr, min(dialTimeout, time.Until(r.deadline)), unackedTimeout); err != nil {
			a.outcome, a.err = outcomeNotSent, err
			return
		}
		f.metrics.dials.Add(1)
	}
	if err := conn.SetKeepAlive(false); err != nil {
		_ = conn.Close()
		a.outcome, a.err = outcomeNotSent, err
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if ctx.Err() != nil {
		stop()
		_ = conn.Close()
		a.outcome, a.err = outcomeNotSent, ctx.Err()
		return
	}
	if pause.Elapsed(a.started, time.Now()) >= pause.MinPause {
		stop()
		_ = conn.Close()
		a.outcome, a.err = outcomeNotSent, errPaused
		return
	}
	f.roundTrip(r, req, a, conn)
	a.release = func(reusable bool) {
		stop()
		if !reusable {
			_ = conn.Close()
			return
		}
		f.pool.put(to, conn, a.resp, time.Now())
	}
	if a.stream != nil {
		return
	}
	if ctx.Err() != nil && a.outcome == outcomeIncomplete {
		a.outcome = outcomeCallerLeft
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.outcome = outcomeTimedOut
		}
	}
	a.release(a.outcome == outcomeServed || a.outcome == outcomeFailed || a.outcome == outcomeNotRun)
}

// roundTrip sends the request on a connection, reads the answer and sets the attempt's outcome.
func (f *Forwarder) roundTrip(r *request, req *fasthttp.Request, a *attempt, conn *httpconn.Conn) {
	prepareHeader(&req.Header)
	identity, unauthorized := r.identify()
	if unauthorized != nil {
		a.outcome, a.err = outcomeNotSent, unauthorized
		return
	}
	if identity.Accounts {
		platform.SetAccount(&req.Header, identity.Account)
		a.account = identity.Account
	}
	platform.SetUpstreamHeaders(&req.Header, time.Until(r.deadline), a.grant.Endpoint.Name)
	if platform.HasCredential(&req.Header) {
		f.metrics.credentials.Add(1)
	}
	sent, err := conn.SendBody(&req.Header, r.Body.Segments(), r.deadline)
	if !sent {
		a.outcome, a.err = outcomeNotSent, err
		return
	}
	// An endpoint may reject a long request before it has read all of it, which makes the write
	// fail. Its answer is still read.
	a.resp = fasthttp.AcquireResponse()
	a.resp.SkipBody = req.Header.IsHead()
	var answer platform.ResponseInfo
	var body *httpconn.Body
	for mismatched := 0; ; mismatched++ {
		var recvErr error
		if body, recvErr = conn.ReceiveBuffered(a.resp, f.bufferLimit()); recvErr != nil {
			a.outcome, a.err = outcomeIncomplete, errors.Join(err, recvErr)
			if errors.Is(recvErr, httpconn.ErrTimedOut) {
				a.outcome = outcomeTimedOut
			}
			return
		}
		answer = platform.ReadResponseInfo(&a.resp.Header)
		if answer.RequestID == r.ID {
			break
		}
		f.metrics.mismatched.Add(1)
		firstWithoutID := answer.RequestID == "" && !a.reused && mismatched == 0 // No earlier request can have caused it.
		if firstWithoutID || mismatched >= maxMismatched || body != nil || a.resp.ConnectionClose() {
			a.outcome, a.err = outcomeIncomplete, errMismatched
			return
		}
	}
	if err != nil {
		a.resp.SetConnectionClose()
	}
	a.outcome, a.err = classify(a.resp.StatusCode(), answer)
	f.readAnnouncement(a)
	if body == nil {
		return
	}
	if a.outcome == outcomeServed || a.outcome == outcomeFailed {
		a.err = r.startStream(a, body)
	}
	if a.stream == nil {
		// The rest of the body is discarded with its connection.
		a.resp.SetConnectionClose()
	}
	if a.err != nil {
		a.outcome = outcomeIncomplete
	}
}

// readAnnouncement reads what the endpoint says of itself in an answer to the attempt's request. An
// invalid answer announces nothing, nor does one of another endpoint at the same address.
func (f *Forwarder) readAnnouncement(a *attempt) {
	if a.outcome == outcomeIncomplete || a.resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return
	}
	announced := platform.ReadAnnouncement(&a.resp.Header)
	a.announced = true
	a.leaving, a.limit, a.holdOff, a.ignored = announced.Leaving, announced.Limit, announced.HoldOff, announced.Ignored
	if a.leaving {
		f.metrics.leaving.Add(1)
	}
	if a.limit.State == platform.LimitNamed {
		f.metrics.limited.Add(1)
	}
	if a.holdOff > 0 {
		f.metrics.heldOff.Add(1)
	}
	if len(a.ignored) > 0 {
		f.metrics.invalidAnnouncements.Add(1)
	}
}

// Errors of an attempt. All but errPaused are written into the answer to the caller.
var (
	errPaused     = errors.New("the process was paused after the endpoint was chosen; the request was not sent")
	errMismatched = errors.New("the answer belongs to another request")
	errUnsigned   = errors.New("the answer bears no upstream's signature")
	errEncoded    = errors.New("the answer's body is encoded")
	errUnproven   = errors.New("the answer's status and headers disagree on whether the request has run")
)

// classify returns the outcome of an attempt from the answer's status and headers.
func classify(status int, answer platform.ResponseInfo) (outcome, error) {
	switch {
	case answer.NotExecuted && status < fasthttp.StatusBadRequest, answer.Promise && !answer.NotExecuted:
		return outcomeIncomplete, errUnproven
	case answer.NotExecuted:
		return outcomeNotRun, nil
	case !answer.Signed:
		return outcomeIncomplete, errUnsigned
	case answer.Encoded:
		return outcomeIncomplete, errEncoded
	case status >= fasthttp.StatusInternalServerError:
		return outcomeFailed, nil
	default:
		return outcomeServed, nil
	}
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
}

// prepareHeader removes hop-by-hop headers from a request and sets HTTP/1.1.
func prepareHeader(h *fasthttp.RequestHeader) {
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.SetNoDefaultContentType(true)
	h.SetProtocol("HTTP/1.1")
}

// eventKind returns the event that is recorded for the attempt's endpoint. An endpoint that holds off this
// instance says nothing of its health.
func (a *attempt) eventKind() dispatch.EventKind {
	if a.holdOff > 0 {
		return dispatch.EndedUnknown
	}
	switch a.outcome {
	case outcomeServed:
		return dispatch.EndedServed
	case outcomeFailed:
		return dispatch.EndedFailed
	case outcomeNotRun:
		return dispatch.EndedRefused
	case outcomeIncomplete, outcomeTimedOut:
		return dispatch.EndedBroken
	default:
		return dispatch.EndedUnknown
	}
}

// bodySize returns the size of the answer's body in bytes, or a lower bound if it is streamed
// without a length.
func (a *attempt) bodySize() int {
	if a.stream != nil {
		return max(a.stream.body.Size(), maxBuffered)
	}
	return len(a.resp.Body())
}

// logRecord returns the attempt in the form that is logged.
func (a *attempt) logRecord() Attempt {
	out := Attempt{
		Upstream: a.grant.Endpoint.Name, Outcome: a.outcome.String(), Millis: a.elapsed.Milliseconds(),
		Chance: a.grant.Chance, InFlight: a.grant.InFlight, Reused: a.reused, Leaving: a.leaving, HoldOff: a.holdOff.Milliseconds(), Ignored: a.ignored,
	}
	if a.limit.State == platform.LimitNamed {
		out.Limit = &a.limit.Rate
	}
	if a.err != nil {
		out.Error = a.err.Error()
	}
	return out
}
