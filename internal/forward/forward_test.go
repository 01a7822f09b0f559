package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/body"
	"github.com/damaskcove/damaskcove/platform"
)

const testTimeout = 10 * time.Second

// scriptedUpstream is an upstream endpoint that answers its nth request by calling script with n.
type scriptedUpstream struct {
	listener net.Listener
	script   func(n int, req *fasthttp.Request, c net.Conn) bool // Reports whether the connection stays open.
	requests atomic.Int64
	conns    atomic.Int64
}

func startUpstream(t *testing.T, script func(n int, req *fasthttp.Request, c net.Conn) bool) *scriptedUpstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedUpstream{listener: l, script: script}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

func (s *scriptedUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if err := req.Read(br); err != nil {
			return
		}
		if !s.script(int(s.requests.Add(1)), &req, c) {
			return
		}
	}
}

// answer writes a signed answer to a request.
func answer(c net.Conn, req *fasthttp.Request, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Stamp: 3e.07\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		status, req.Header.Peek("Request-Id"), len(body), body)
	return err == nil
}

func serveOK(_ int, req *fasthttp.Request, c net.Conn) bool {
	return answer(c, req, 200, "fine")
}

func rejectNotExecuted(_ int, req *fasthttp.Request, c net.Conn) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Peek("Request-Id"))
	return err == nil
}

func reset(_ int, _ *fasthttp.Request, c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// sequentialDispatcher grants each request the endpoints of a list in order, each at most once.
type sequentialDispatcher struct {
	list    []dispatch.Endpoint
	limited bool // It grants the endpoints as limited.

	mu      sync.Mutex
	events  []dispatch.EventKind
	leaving []string // Names of the endpoints that announced it.
	heldOff []string // Names of the endpoints that hold off, and for how long.
	limits  []string // Names of the endpoints and the limits that they named.
	running int

	accounts []accounts.ID // Of the requests, in order.
	returned []accounts.ID // To the limits of accounts.
	atLimit  bool          // Accounts are at their limits.
}

func newSequentialDispatcher(upstreams ...string) *sequentialDispatcher {
	d := &sequentialDispatcher{}
	for i, addr := range upstreams {
		d.list = append(d.list, dispatch.Endpoint{ID: dispatch.EndpointID(i + 1), Name: fmt.Sprint("i-", i+1), Address: addr, Slots: 4})
	}
	return d
}

func (d *sequentialDispatcher) Acquire(a dispatch.Request) (dispatch.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accounts = append(d.accounts, a.Account)
	if d.atLimit && a.Account != 0 {
		return dispatch.Grant{}, &Rejected{dispatch.Rejection{Reason: dispatch.AccountLimit, RetryAfter: 700 * time.Millisecond, LimitRate: 2.5}}
	}
	for _, e := range d.list {
		if !slices.Contains(a.Tried, e.ID) {
			d.running++
			return dispatch.Grant{Endpoint: e, Limited: d.limited, BaselineLatency: 20 * time.Millisecond}, nil
		}
	}
	return dispatch.Grant{}, &Rejected{dispatch.Rejection{Reason: dispatch.NoEndpoint, RetryAfter: time.Second}}
}

func (d *sequentialDispatcher) Ended(_ dispatch.Grant, kind dispatch.EventKind, _ time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	d.events = append(d.events, kind)
}

func (d *sequentialDispatcher) SendFailed(dispatch.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
}

func (d *sequentialDispatcher) Overdue(dispatch.Grant) {}

func (d *sequentialDispatcher) AnnouncedLeaving(g dispatch.Grant, _ time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = append(d.leaving, g.Endpoint.Name)
}

func (d *sequentialDispatcher) LimitNamed(g dispatch.Grant, _ time.Time, rate float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = append(d.limits, fmt.Sprintf("%s %g", g.Endpoint.Name, rate))
}

func (d *sequentialDispatcher) LimitAbsent(g dispatch.Grant, _ time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = append(d.limits, g.Endpoint.Name+" none")
}

func (d *sequentialDispatcher) HeldOff(g dispatch.Grant, _ time.Time, holdOff time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heldOff = append(d.heldOff, fmt.Sprint(g.Endpoint.Name, " ", holdOff))
}

func (d *sequentialDispatcher) RecordResponseSize(string, int) {}

func (d *sequentialDispatcher) ReturnQuota(a accounts.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returned = append(d.returned, a)
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

type call struct {
	idempotent  bool
	maxAttempts int
	timeout     time.Duration
	method      string
	http10      bool
	mayStart    func(now time.Time) bool
	account     string // Name of the client account.
}

func (c call) serve(t *testing.T, f *Forwarder, id string) (*fasthttp.Response, Report) {
	t.Helper()
	var req fasthttp.Request
	req.Header.SetMethod(c.method)
	req.Header.SetRequestURI("/a%2Fb/../c?d=%20")
	req.Header.SetHost("h.example")
	req.Header.Set("Request-Id", id)
	req.Header.Set("Connection", "keep-alive, X-Hop")
	if c.http10 {
		req.Header.SetProtocol("HTTP/1.0")
	}
	now := time.Now()
	timeout := c.timeout
	if timeout == 0 {
		timeout = testTimeout
	}
	var resp fasthttp.Response
	report := f.Serve(t.Context(), Request{
		ID: id, Service: "s", HTTP: &req, Body: body.New([]byte("body")), Arrived: now, Deadline: now.Add(timeout), MayStart: c.mayStart, Identify: func() (Identity, *Unauthorized) { return Identity{Accounts: c.account != "", Account: c.account}, nil },
		Route: platform.Route{Idempotent: c.idempotent, MaxAttempts: c.maxAttempts, Objective: testTimeout},
	}, &resp)
	return &resp, report
}

// serveSent serves a call again until a byte of it has reached an endpoint at the first attempt: on a busy
// machine a connection may not be made in time, and the process may be paused before it sends.
func (c call) serveSent(t *testing.T, f *Forwarder, id string) (*fasthttp.Response, Report) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		resp, report := c.serve(t, f, id)
		if len(report.Attempts) > 0 && report.Attempts[0].Outcome != outcomeNotSent.String() || time.Now().After(end) {
			return resp, report
		}
	}
}

var (
	nonIdempotentCall = call{maxAttempts: 3, method: "POST"}
	idempotentCall    = call{idempotent: true, maxAttempts: 3, method: "POST"}
)

func TestRetries(t *testing.T) {
	ok := startUpstream(t, serveOK).listener.Addr().String()
	serverError := func(_ int, req *fasthttp.Request, c net.Conn) bool { return answer(c, req, 500, "server error") }
	truncated := func(_ int, req *fasthttp.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Length: 100\r\n\r\npart", req.Header.Peek("Request-Id"))
		return false
	}
	unsigned := func(_ int, req *fasthttp.Request, c net.Conn) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\nfine", req.Header.Peek("Request-Id"))
		return err == nil
	}
	encoded := func(_ int, req *fasthttp.Request, c net.Conn) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfine", req.Header.Peek("Request-Id"))
		return err == nil
	}
	notHTTP := func(_ int, _ *fasthttp.Request, c net.Conn) bool {
		_, _ = c.Write([]byte("\x00\x01 not an answer\r\n\r\n"))
		return false
	}
	misdirected := func(_ int, req *fasthttp.Request, c net.Conn) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Peek("Request-Id"))
		return err == nil
	}
	for name, tc := range map[string]struct {
		first        func(int, *fasthttp.Request, net.Conn) bool // Nil: connection refused.
		wantStatus   int
		wantCode     result.Code
		wantAttempts int
	}{
		"connection refused": {nil, 200, result.CodeAnswered, 2},
		"not executed":       {rejectNotExecuted, 200, result.CodeAnswered, 2},
		"misdirected":        {misdirected, 200, result.CodeAnswered, 2},
		"server error":       {serverError, 500, result.CodeAnswered, 2},
		"connection reset":   {reset, 502, result.CodeAnswerCutOff, 2},
		"truncated":          {truncated, 502, result.CodeAnswerCutOff, 2},
		"unsigned":           {unsigned, 502, result.CodeAnswerCutOff, 2},
		"encoded":            {encoded, 502, result.CodeAnswerCutOff, 2},
		"not HTTP":           {notHTTP, 502, result.CodeAnswerCutOff, 2},
	} {
		t.Run(name, func(t *testing.T) {
			addr := unusedAddress(t)
			if tc.first != nil {
				addr = startUpstream(t, tc.first).listener.Addr().String()
			}
			resp, report := nonIdempotentCall.serve(t, New(newSequentialDispatcher(addr, ok)), "a")
			if resp.StatusCode() != tc.wantStatus || report.Code != tc.wantCode {
				t.Errorf("non-idempotent: status %d, %+v", resp.StatusCode(), report)
			}
			resp, report = idempotentCall.serve(t, New(newSequentialDispatcher(addr, ok)), "b")
			if resp.StatusCode() != 200 || len(report.Attempts) != tc.wantAttempts {
				t.Errorf("idempotent: status %d, %+v", resp.StatusCode(), report)
			}
		})
	}
}

func TestNotRunRequiresProof(t *testing.T) {
	rejecting := startUpstream(t, rejectNotExecuted)
	addr := rejecting.listener.Addr().String()
	resp, report := nonIdempotentCall.serve(t, New(newSequentialDispatcher(addr, unusedAddress(t))), "a")
	if resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("rejected by all endpoints: status %d, %+v", resp.StatusCode(), report)
	}
	broken := startUpstream(t, reset)
	resp, report = idempotentCall.serve(t, New(newSequentialDispatcher(broken.listener.Addr().String(), addr)), "b")
	if resp.StatusCode() != 502 {
		t.Errorf("one may have run, one rejected: status %d, %+v", resp.StatusCode(), report)
	}
}

func TestMaxAttempts(t *testing.T) {
	d := newSequentialDispatcher()
	var all []*scriptedUpstream
	for i := range 5 {
		u := startUpstream(t, rejectNotExecuted)
		all = append(all, u)
		d.list = append(d.list, dispatch.Endpoint{ID: dispatch.EndpointID(i + 1), Name: fmt.Sprint(i), Address: u.listener.Addr().String(), Slots: 1})
	}
	resp, _ := nonIdempotentCall.serve(t, New(d), "a")
	sent := int64(0)
	for _, u := range all {
		sent += u.requests.Load()
	}
	if sent != int64(nonIdempotentCall.maxAttempts) || resp.StatusCode() != 503 {
		t.Errorf("sent %d times, bound %d; status %d", sent, nonIdempotentCall.maxAttempts, resp.StatusCode())
	}
}

func TestRequestArrivesUnchanged(t *testing.T) {
	var got fasthttp.Request
	u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		req.CopyTo(&got)
		return answer(c, req, 200, "")
	})
	nonIdempotentCall.serve(t, New(newSequentialDispatcher(u.listener.Addr().String())), "9c41")
	h := &got.Header
	if string(h.RequestURI()) != "/a%2Fb/../c?d=%20" || string(h.Host()) != "h.example" || string(got.Body()) != "body" || string(h.Peek("Request-Id")) != "9c41" {
		t.Errorf("got %s%s", h, got.Body())
	}
	if string(h.Peek("Expect-Instance")) != "i-1" || len(h.Peek("Deadline-Ms")) == 0 || len(h.Peek("Connection")) != 0 {
		t.Errorf("got %s", h)
	}
}

// A late answer to an earlier request may arrive on the connection on which the next one waits.
func TestMismatchedAnswerIsSkipped(t *testing.T) {
	u := startUpstream(t, func(n int, req *fasthttp.Request, c net.Conn) bool {
		if n == 2 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: first\r\nServer-Stamp: 3e\r\nContent-Length: 5\r\n\r\nstale")
		}
		return answer(c, req, 200, "fine")
	})
	f := New(newSequentialDispatcher(u.listener.Addr().String()))
	nonIdempotentCall.serve(t, f, "first")
	resp, report := nonIdempotentCall.serve(t, f, "second")
	if string(resp.Body()) != "fine" || !report.Attempts[0].Reused {
		t.Errorf("got %q, %+v", resp.Body(), report)
	}
}

// A second answer to one request arrives while the connection is idle. It must not be taken for the
// answer to the next request.
func TestConnectionWithUnsolicitedDataIsNotReused(t *testing.T) {
	u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		return answer(c, req, 200, "fine") && answer(c, req, 200, "extra")
	})
	f := New(newSequentialDispatcher(u.listener.Addr().String()))
	for i := range 3 {
		if resp, report := nonIdempotentCall.serve(t, f, fmt.Sprint("r", i)); string(resp.Body()) != "fine" {
			t.Errorf("request %d: %q, %+v", i, resp.Body(), report)
		}
	}
}

// Bytes that follow a whole answer after a while reach an idle connection, which is closed at once
// and not when it is next taken.
func TestIdleConnectionIsClosedByUnsolicitedData(t *testing.T) {
	answered, closed := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		ok := answer(c, req, 200, "fine")
		<-answered
		for ok {
			_, err := io.WriteString(c, strings.Repeat("x", 1024))
			ok = err == nil
		}
		close(closed)
		return false
	})
	f := New(newSequentialDispatcher(u.listener.Addr().String()))
	nonIdempotentCall.serve(t, f, "a")
	close(answered)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the endpoint is still sending")
	}
	runtime.KeepAlive(f) // A pool that is collected closes its connections.
}

// A connection outlives the deadline of the request that opened it.
func TestConnectionIsReusedAfterTheDeadlineOfARequest(t *testing.T) {
	u := startUpstream(t, serveOK)
	f := New(newSequentialDispatcher(u.listener.Addr().String()))
	short := nonIdempotentCall
	short.timeout = 200 * time.Millisecond
	if _, report := short.serve(t, f, "a"); report.Status != 200 {
		t.Fatalf("%+v", report)
	}
	time.Sleep(short.timeout)
	if _, report := nonIdempotentCall.serve(t, f, "b"); !report.Attempts[0].Reused {
		t.Errorf("the connection was not reused: %+v", report)
	}
}

func TestAnswerDelimitedByClose(t *testing.T) {
	write := func(req *fasthttp.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e\r\nConnection: close\r\n\r\nwhole", req.Header.Peek("Request-Id"))
	}
	u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		write(req, c)
		return false
	})
	if resp, report := nonIdempotentCall.serve(t, New(newSequentialDispatcher(u.listener.Addr().String())), "a"); string(resp.Body()) != "whole" {
		t.Errorf("closed after the body: %q, %+v", resp.Body(), report)
	}
	u = startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		write(req, c)
		time.Sleep(50 * time.Millisecond)
		return reset(0, req, c)
	})
	if resp, report := nonIdempotentCall.serve(t, New(newSequentialDispatcher(u.listener.Addr().String())), "b"); resp.StatusCode() != 502 {
		t.Errorf("reset after the body: status %d, %+v", resp.StatusCode(), report)
	}
}

func TestTimeout(t *testing.T) {
	u := startUpstream(t, func(_ int, _ *fasthttp.Request, c net.Conn) bool {
		time.Sleep(testTimeout)
		return false
	})
	silent := nonIdempotentCall
	silent.timeout = 200 * time.Millisecond
	resp, report := silent.serve(t, New(newSequentialDispatcher(u.listener.Addr().String(), startUpstream(t, serveOK).listener.Addr().String())), "a")
	if resp.StatusCode() != 504 || report.Code != result.CodeAnswerTimedOut || u.requests.Load() != 1 {
		t.Errorf("status %d, %+v", resp.StatusCode(), report)
	}
}

// An endpoint that accepts idempotent requests and never answers is hedged at another endpoint. A
// request that is not idempotent is never hedged.
func TestSlowIdempotentRequestIsHedged(t *testing.T) {
	hanging := startUpstream(t, func(_ int, _ *fasthttp.Request, c net.Conn) bool {
		time.Sleep(testTimeout)
		return false
	})
	d := newSequentialDispatcher(hanging.listener.Addr().String(), startUpstream(t, serveOK).listener.Addr().String())
	resp, report := idempotentCall.serve(t, New(d), "a")
	if resp.StatusCode() != 200 || string(resp.Body()) != "fine" {
		t.Errorf("status %d, %+v", resp.StatusCode(), report)
	}
	resp, _ = call{maxAttempts: 3, method: "POST", timeout: 300 * time.Millisecond}.serve(t, New(d), "b")
	if resp.StatusCode() != 504 {
		t.Errorf("slow non-idempotent request: status %d", resp.StatusCode())
	}
}

func TestCallerDisconnectCancelsOnlyIdempotentRequest(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		ended := make(chan bool, 1)
		started := make(chan struct{}, 1)
		u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
			started <- struct{}{}
			_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, err := c.Read(make([]byte, 1))
			timeout, ok := err.(net.Error)
			ended <- ok && timeout.Timeout()
			return answer(c, req, 200, "fine")
		})
		ctx, disconnect := context.WithCancel(t.Context())
		var req fasthttp.Request
		req.Header.SetHost("h")
		req.Header.Set("Request-Id", "a")
		now := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			New(newSequentialDispatcher(u.listener.Addr().String())).Serve(ctx, Request{
				ID: "a", HTTP: &req, Arrived: now, Deadline: now.Add(testTimeout),
				Route: platform.Route{Idempotent: idempotent, MaxAttempts: 1, Objective: testTimeout},
			}, &fasthttp.Response{})
		}()
		<-started
		disconnect()
		if stayedOpen := <-ended; stayedOpen == idempotent {
			t.Errorf("idempotent %v: upstream connection stayed open %v", idempotent, stayedOpen)
		}
		<-done
	}
}

func TestIdleTime(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                   defaultIdleTime,
		"timeout=10":         9 * time.Second,
		"max=5, timeout=2":   time.Second,
		"timeout=0":          0,
		"timeout=-1":         defaultIdleTime,
		"timeout=9999999999": defaultIdleTime,
	} {
		if got := idleTime(header); got != want {
			t.Errorf("%q: %s, want %s", header, got, want)
		}
	}
}

// During a planned stop a request may become unable to end before its instance does.
func TestNoAttemptStartsThatMayNotEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		first    func(int, *fasthttp.Request, net.Conn) bool // Nil: no attempt may start at all.
		wantCode result.Code
		status   int
	}{
		"before the first attempt": {nil, result.CodeStopping, 503},
		"not executed":             {rejectNotExecuted, result.CodeStopping, 503},
		"connection reset":         {reset, result.CodeAnswerCutOff, 502},
	} {
		t.Run(name, func(t *testing.T) {
			var stopping atomic.Bool
			stopping.Store(tc.first == nil)
			first := startUpstream(t, func(n int, req *fasthttp.Request, c net.Conn) bool {
				stopping.Store(true)
				return tc.first(n, req, c)
			})
			second := startUpstream(t, serveOK)
			f := New(newSequentialDispatcher(first.listener.Addr().String(), second.listener.Addr().String()))
			stopped := idempotentCall
			stopped.mayStart = func(time.Time) bool { return !stopping.Load() }
			resp, report := stopped.serve(t, f, "a")
			if resp.StatusCode() != tc.status || report.Code != tc.wantCode || second.requests.Load() != 0 {
				t.Errorf("status %d, %+v, %d attempts at the second endpoint", resp.StatusCode(), report, second.requests.Load())
			}
			if retry := len(resp.Header.Peek("Retry-After")) > 0; retry != (tc.status == 503) {
				t.Errorf("Retry-After is set: %v", retry)
			}
		})
	}
}

// A request that is in service is hedged until the end of a planned stop: a hedge only makes it end sooner.
func TestRequestInServiceIsHedgedDuringPlannedStop(t *testing.T) {
	var stopping atomic.Bool
	release := make(chan struct{})
	defer close(release)
	slow := startUpstream(t, func(int, *fasthttp.Request, net.Conn) bool {
		stopping.Store(true)
		<-release
		return false
	})
	ok := startUpstream(t, serveOK)
	c := idempotentCall
	c.mayStart = func(time.Time) bool { return !stopping.Load() }
	resp, report := c.serve(t, New(newSequentialDispatcher(slow.listener.Addr().String(), ok.listener.Addr().String())), "a")
	if resp.StatusCode() != 200 {
		t.Errorf("status %d, %+v", resp.StatusCode(), report)
	}
}
