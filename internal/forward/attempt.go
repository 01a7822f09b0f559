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

// ending is how one attempt ended.
type ending uint8

const (
	endedServed   ending = iota + 1 // An answer to deliver.
	endedFailed                     // The endpoint ran it and answered with a failure of its own.
	endedNotRun                     // The endpoint says that it did not run it.
	endedNotSent                    // No byte left.
	endedBroken                     // It may have run; no whole answer came.
	endedTimedOut                   // It may have run; no answer came in time.
	endedLeft                       // The caller left.
)

var endingNames = map[ending]string{
	endedServed: "served", endedFailed: "failed", endedNotRun: "not-run", endedNotSent: "not-sent",
	endedBroken: "broken", endedTimedOut: "timed-out", endedLeft: "caller-left",
}

func (e ending) String() string { return endingNames[e] }

// attempt is one sending of a request to one endpoint.
type attempt struct {
	grant   dispatch.Grant
	started time.Time
	took    time.Duration
	ending  ending
	reused  bool // An idle connection was used.
	err     error
	resp    *fasthttp.Response // Set where an answer came.
	stream  *stream            // The answer's body where it is still coming.
	release func(whole bool)   // Gives the connection back once the stream has ended.
}

// maxStrays bounds the answers of other requests that are skipped on a connection.
const maxStrays = 4

// send sends a request to the granted endpoint and reads its answer. ctx ends the attempt.
func (f *Forwarder) send(ctx context.Context, r *request, req *fasthttp.Request, a *attempt) {
	to := target{id: a.grant.Endpoint.ID, addr: a.grant.Endpoint.Address}
	conn := f.pool.take(to, a.started)
	a.reused = conn != nil
	if conn == nil {
		var err error
		if conn, err = httpconn.Dial(to.addr, min(dialTimeout, time.Until(r.deadline)), unackedTimeout); err != nil {
			a.ending, a.err = endedNotSent, err
			return
		}
		f.metrics.dials.Add(1)
	}
	if err := conn.Probe(false); err != nil {
		_ = conn.Close()
		a.ending, a.err = endedNotSent, err
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if ctx.Err() != nil {
		stop()
		_ = conn.Close()
		a.ending, a.err = endedNotSent, ctx.Err()
		return
	}
	if pause.Elapsed(a.started, time.Now()) >= pause.MinPause {
		stop()
		_ = conn.Close()
		a.ending, a.err = endedNotSent, errPaused
		return
	}
	f.exchange(r, req, a, conn)
	a.release = func(whole bool) {
		stop()
		if !whole {
			_ = conn.Close()
			return
		}
		f.pool.put(to, conn, a.resp, time.Now())
	}
	if a.stream != nil {
		return
	}
	if ctx.Err() != nil && a.ending == endedBroken {
		a.ending = endedLeft
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.ending = endedTimedOut
		}
	}
	a.release(a.ending == endedServed || a.ending == endedFailed || a.ending == endedNotRun)
}

// exchange sends the request on a connection and sorts out what comes back.
func (f *Forwarder) exchange(r *request, req *fasthttp.Request, a *attempt, conn *httpconn.Conn) {
	prepare(&req.Header)
	platform.SetUpstreamHeaders(&req.Header, time.Until(r.deadline), a.grant.Endpoint.Name)
	sent, err := conn.Send(req, r.deadline)
	if !sent {
		a.ending, a.err = endedNotSent, err
		return
	}
	// An endpoint may refuse a long request before it has read it all: its answer counts.
	a.resp = fasthttp.AcquireResponse()
	a.resp.SkipBody = req.Header.IsHead()
	var answer platform.ResponseInfo
	var rest *httpconn.Body
	for strays := 0; ; strays++ {
		var recvErr error
		if rest, recvErr = conn.ReceiveHead(a.resp, f.gatherBytes()); recvErr != nil {
			a.ending, a.err = endedBroken, errors.Join(err, recvErr)
			if errors.Is(recvErr, httpconn.ErrTimedOut) {
				a.ending = endedTimedOut
			}
			return
		}
		answer = platform.ReadResponseInfo(&a.resp.Header)
		if answer.RequestID == r.ID || answer.RequestID == "" && !a.reused && strays == 0 {
			break
		}
		f.metrics.strays.Add(1)
		if strays >= maxStrays || rest != nil || a.resp.ConnectionClose() {
			a.ending, a.err = endedBroken, errStray
			return
		}
	}
	if err != nil {
		a.resp.SetConnectionClose()
	}
	a.ending, a.err = classify(a.resp.StatusCode(), answer)
	if rest == nil {
		return
	}
	if a.ending == endedServed || a.ending == endedFailed {
		a.err = r.passOn(a, rest)
	}
	if a.stream == nil {
		// What is left of it is not worth reading.
		a.resp.SetConnectionClose()
	}
	if a.err != nil {
		a.ending = endedBroken
	}
}

var (
	errPaused   = errors.New("the process has stood still since the upstream was chosen")
	errStray    = errors.New("the answer belongs to another request")
	errUnsigned = errors.New("the answer bears no upstream's signature")
	errEncoded  = errors.New("the answer's body is encoded")
)

// classify tells what an answer that came whole means.
func classify(status int, answer platform.ResponseInfo) (ending, error) {
	switch {
	case answer.NotExecuted:
		return endedNotRun, nil
	case !answer.Signed:
		return endedBroken, errUnsigned
	case answer.Encoded:
		return endedBroken, errEncoded
	case status >= fasthttp.StatusInternalServerError:
		return endedFailed, nil
	default:
		return endedServed, nil
	}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
}

// prepare takes a caller's connection out of a request's head.
func prepare(h *fasthttp.RequestHeader) {
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.SetNoDefaultContentType(true)
	h.SetProtocol("HTTP/1.1")
}

// eventOf returns what an attempt tells of its endpoint.
func (a *attempt) eventOf() dispatch.EventKind {
	switch a.ending {
	case endedServed:
		return dispatch.EndedServed
	case endedFailed:
		return dispatch.EndedFailed
	case endedNotRun:
		return dispatch.EndedRefused
	case endedBroken, endedTimedOut:
		return dispatch.EndedBroken
	default:
		return dispatch.EndedUnknown
	}
}

// size returns the size of the answer's body, or what is known to be its least.
func (a *attempt) size() int {
	if a.stream != nil {
		return max(a.stream.body.Size(), gatherMost)
	}
	return len(a.resp.Body())
}

// report returns the attempt as the log shows it.
func (a *attempt) report() Attempt {
	out := Attempt{
		Upstream: a.grant.Endpoint.Name, Ending: a.ending.String(), Millis: a.took.Milliseconds(),
		Chance: a.grant.Chance, InFlight: a.grant.InFlight, Reused: a.reused,
	}
	if a.err != nil {
		out.Error = a.err.Error()
	}
	return out
}
