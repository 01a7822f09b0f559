package forward

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/dispatch"
)

// answerWith writes a signed answer with further header lines.
func answerWith(c net.Conn, id string, status int, lines string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Stamp: 3e.07\r\nContent-Length: 0\r\n%s\r\n", status, id, lines)
	return err == nil
}

// Only a valid answer to the request itself, of the endpoint that was meant, announces anything.
func TestAnnouncementsThatCount(t *testing.T) {
	const leaving = "Server-Leaving: 1\r\n"
	for name, tc := range map[string]struct {
		script func(id string, c net.Conn) bool
		counts int64
	}{
		"served":       {func(id string, c net.Conn) bool { return answerWith(c, id, 200, leaving) }, 1},
		"failed":       {func(id string, c net.Conn) bool { return answerWith(c, id, 500, leaving) }, 1},
		"not executed": {func(id string, c net.Conn) bool { return answerWith(c, id, 503, leaving+"Not-Executed: 1\r\n") }, 1},
		"of another endpoint at the address": {func(id string, c net.Conn) bool {
			return answerWith(c, id, 421, leaving+"Not-Executed: 1\r\n")
		}, 0},
		"another request's answer first": {func(id string, c net.Conn) bool {
			return answerWith(c, "another", 200, leaving) && answerWith(c, id, 200, "")
		}, 0},
		"unsigned": {func(id string, c net.Conn) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n\r\n", id, leaving)
			return err == nil
		}, 0},
		"refused without proof": {func(id string, c net.Conn) bool { return answerWith(c, id, 503, leaving) }, 0},
		"cut in its body": {func(id string, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: 3e.07\r\n%sContent-Length: 9\r\n\r\nx", id, leaving)
			return false
		}, 0},
		"invalid": {func(id string, c net.Conn) bool { return answerWith(c, id, 200, "Server-Leaving: yes\r\n") }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
				return tc.script(string(req.Header.Peek("Request-Id")), c)
			})
			f := New(newSequentialDispatcher(u.listener.Addr().String()))
			nonIdempotentCall.serveSent(t, f, "r1")
			if got := f.Counts().LeavingAnswers; got != tc.counts {
				t.Errorf("%d answers announce a leaving, want %d", got, tc.counts)
			}
		})
	}
}

// A limit, or that there is none any more, is announced by valid answers only; an invalid value announces neither.
func TestLimitsThatCount(t *testing.T) {
	const limit = "Server-Limit: 2.5\r\n"
	for name, tc := range map[string]struct {
		status int
		lines  string
		want   []string
	}{
		"named":                              {200, limit, []string{"i-1 2.5"}},
		"named in a failure":                 {500, limit, []string{"i-1 2.5"}},
		"named where nothing ran":            {503, limit + "Not-Executed: 1\r\n", []string{"i-1 2.5"}},
		"zero":                               {200, "Server-Limit: 0\r\n", []string{"i-1 0"}},
		"none":                               {200, "", []string{"i-1 none"}},
		"invalid":                            {200, "Server-Limit: -1\r\n", nil},
		"empty":                              {200, "Server-Limit:\r\n", nil},
		"of another endpoint at the address": {421, limit + "Not-Executed: 1\r\n", nil},
		"refused without proof":              {503, limit, nil},
		"none, refused without proof":        {503, "", nil},
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
				return answerWith(c, string(req.Header.Peek("Request-Id")), tc.status, tc.lines)
			})
			d := newSequentialDispatcher(u.listener.Addr().String())
			d.limited = true
			nonIdempotentCall.serveSent(t, New(d), "r1")
			d.mu.Lock()
			defer d.mu.Unlock()
			if !slices.Equal(d.limits, tc.want) {
				t.Errorf("announced %q, want %q", d.limits, tc.want)
			}
		})
	}
}

// A hold-off reaches the dispatcher before the request is tried elsewhere, and is no sign of the endpoint's health.
func TestHoldOffIsRecordedBeforeTheRetry(t *testing.T) {
	busy := startUpstream(t, func(_ int, req *fasthttp.Request, c net.Conn) bool {
		return answerWith(c, string(req.Header.Peek("Request-Id")), 503, "Not-Executed: 1\r\nRetry-After: 2\r\n")
	})
	ok := startUpstream(t, serveOK)
	d := newSequentialDispatcher(busy.listener.Addr().String(), ok.listener.Addr().String())
	resp, report := nonIdempotentCall.serveSent(t, New(d), "r1")
	if resp.StatusCode() != 200 || len(report.Attempts) != 2 || report.Attempts[0].HoldOff != 2000 {
		t.Fatalf("status %d, report %+v", resp.StatusCode(), report)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.heldOff) != 1 || d.heldOff[0] != "i-1 2s" || d.events[0] != dispatch.EndedUnknown {
		t.Errorf("held off %v, events %v", d.heldOff, d.events)
	}
}

// waitingDispatcher rejects the first request with a time to wait, and grants the next.
type waitingDispatcher struct {
	*sequentialDispatcher
	wait     time.Duration
	rejected atomic.Bool
}

func (d *waitingDispatcher) Acquire(r dispatch.Request) (dispatch.Grant, error) {
	if d.rejected.CompareAndSwap(false, true) {
		return dispatch.Grant{}, &Rejected{dispatch.Rejection{Reason: dispatch.NoEndpoint, RetryAfter: time.Second, HeldOff: 1, Wait: d.wait}}
	}
	return d.sequentialDispatcher.Acquire(r)
}

func TestRequestWaitsForAnEndpointToReturn(t *testing.T) {
	ok := startUpstream(t, serveOK).listener.Addr().String()
	for name, tc := range map[string]struct {
		wait   time.Duration
		status int
		waits  int64
	}{
		"it can wait":            {50 * time.Millisecond, 200, 1},
		"it is rejected at once": {0, 503, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(&waitingDispatcher{sequentialDispatcher: newSequentialDispatcher(ok), wait: tc.wait})
			began := time.Now()
			resp, report := nonIdempotentCall.serve(t, f, "r1")
			if resp.StatusCode() != tc.status || time.Since(began) < tc.wait {
				t.Errorf("status %d after %s, report %+v", resp.StatusCode(), time.Since(began), report)
			}
			if waits := f.Counts().Waits; waits != tc.waits {
				t.Errorf("%d waits", waits)
			}
			if tc.status == 503 && !strings.Contains(report.Detail, "1 endpoints hold off") {
				t.Errorf("detail %q", report.Detail)
			}
		})
	}
}
