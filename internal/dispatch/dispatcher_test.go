package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/coord/shutdown"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n"

// closedEndpoint returns an address on which nothing listens.
func closedEndpoint(t *testing.T) fleet.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return fleet.Endpoint(l.Addr().String())
}

func TestConnectionIsReused(t *testing.T) {
	u := newRawUpstream(t, always(ok("a")))
	d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
	for range 5 {
		if a := d.Execute(context.Background(), post("x")); a.Code != result.CodeAnswered {
			t.Fatalf("answer %+v", a)
		}
	}
	if u.connections() != 1 {
		t.Fatalf("%d connections for requests one after the other", u.connections())
	}
}

func TestIdleConnectionClosedByUpstreamIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 8)
	u := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
		_, _ = io.WriteString(conn, ok("a"))
		_ = conn.Close()
		closed <- struct{}{}
	})
	d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
	for range 3 {
		if a := d.Execute(context.Background(), post("x")); a.Code != result.CodeAnswered {
			t.Fatalf("answer %+v, body %q", a, a.Body)
		}
		<-closed
	}
}

func TestConnectionClosedDuringPostIsUnknown(t *testing.T) {
	u := newRawUpstream(t, func(conn net.Conn, number int, _ *http.Request) {
		if number == 2 {
			_ = conn.Close()
			return
		}
		_, _ = io.WriteString(conn, ok("a"))
	})
	d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
	d.Execute(context.Background(), post("first"))
	a := d.Execute(context.Background(), post("second"))
	if a.Code != result.CodeAnswerCutOff || a.Execution != result.Unknown {
		t.Fatalf("answer %+v", a)
	}
	if u.count() != 2 {
		t.Fatalf("two requests reached the upstream %d times", u.count())
	}
}

func TestUnexpectedBytesOnIdleConnectionAreDiscarded(t *testing.T) {
	answered, sent := make(chan struct{}), make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, number int, _ *http.Request) {
		_, _ = io.WriteString(conn, ok("own"))
		if number > 1 {
			return
		}
		go func() {
			<-answered
			_, _ = io.WriteString(conn, ok("of another"))
			close(sent)
		}()
	})
	d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
	first := d.Execute(context.Background(), get("/"))
	close(answered)
	<-sent
	second := d.Execute(context.Background(), get("/"))
	if string(second.Body) != "own" {
		t.Fatalf("answers %q, %q", first.Body, second.Body)
	}
}

func TestLateAnswerIsDiscarded(t *testing.T) {
	release := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, number int, _ *http.Request) {
		if number == 1 {
			go func() {
				<-release
				_, _ = io.WriteString(conn, ok("late"))
			}()
			return
		}
		_, _ = io.WriteString(conn, ok("own"))
	})
	r := newRecorder()
	d := testDispatcher(t, r, targetsOf(1, u.endpoint()))
	slow := post("slow")
	slow.Deadline = time.Now().Add(30 * time.Millisecond)
	a := d.Execute(context.Background(), slow)
	if a.Code != result.CodeAnswerTimedOut || a.Execution != result.Unknown {
		t.Fatalf("answer %+v", a)
	}
	if seen := <-r.observed; !seen.Failed {
		t.Fatalf("observed %+v", seen)
	}
	close(release)
	if a := d.Execute(context.Background(), get("/")); string(a.Body) != "own" {
		t.Fatalf("answer %q", a.Body)
	}
}

func TestRefusedRequestRunsOnAnotherEndpoint(t *testing.T) {
	full := newRawUpstream(t, always(refusal))
	free := newRawUpstream(t, always(ok("done")))
	d := testDispatcher(t, newRecorder(), targetsOf(1, full.endpoint(), free.endpoint()))
	for range 4 {
		if a := d.Execute(context.Background(), post("x")); a.Code != result.CodeAnswered {
			t.Fatalf("answer %+v, body %q", a, a.Body)
		}
	}
	if free.count() != 4 {
		t.Fatalf("4 requests ran %d times", free.count())
	}
}

func TestRefusedRequestIsNotRun(t *testing.T) {
	full := newRawUpstream(t, always(refusal))
	r := newRecorder()
	d := testDispatcher(t, r, targetsOf(1, full.endpoint()))
	a := d.Execute(context.Background(), post("x"))
	if a.Code != result.CodeUpstreamRefused || a.Execution != result.NotRun {
		t.Fatalf("answer %+v", a)
	}
	if len(r.observed) != 0 {
		t.Fatalf("a truthful refusal was observed: %+v", <-r.observed)
	}
}

func TestPlain503IsNotARefusal(t *testing.T) {
	failing := newRawUpstream(t, always("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	other := newRawUpstream(t, always(ok("done")))
	d := testDispatcher(t, newRecorder(), targetsOf(1, failing.endpoint(), other.endpoint()))
	requests := 4
	for range requests {
		if a := d.Execute(context.Background(), post("x")); a.Execution != result.Ran {
			t.Fatalf("answer %+v", a)
		}
	}
	if sent := failing.count() + other.count(); sent != requests {
		t.Fatalf("%d requests were sent %d times", requests, sent)
	}
}

func TestUnreachableEndpoint(t *testing.T) {
	closed := closedEndpoint(t)
	r := newRecorder()
	d := testDispatcher(t, r, targetsOf(1, closed))
	a := d.Execute(context.Background(), post("x"))
	if a.Code != result.CodeNotSent || a.Execution != result.NotRun {
		t.Fatalf("answer %+v", a)
	}
	if seen := <-r.observed; !seen.Failed || seen.Endpoint != closed {
		t.Fatalf("observed %+v", seen)
	}
	free := newRawUpstream(t, always(ok("done")))
	d.SetTargets(testService, routing.Config{RetryShare: 1, HedgeQuantile: -1}, targetsOf(1, closed, free.endpoint()))
	for range 4 {
		if a := d.Execute(context.Background(), post("x")); a.Code != result.CodeAnswered {
			t.Fatalf("answer %+v, body %q", a, a.Body)
		}
	}
	if free.count() != 4 {
		t.Fatalf("4 requests ran %d times", free.count())
	}
}

func TestFailedGetIsRetriedOnAnotherEndpoint(t *testing.T) {
	failing := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) { _ = conn.Close() })
	healthy := newRawUpstream(t, always(ok("stock")))
	d := testDispatcher(t, newRecorder(), targetsOf(1, failing.endpoint(), healthy.endpoint()))
	for range 4 {
		if a := d.Execute(context.Background(), get("/stock")); string(a.Body) != "stock" {
			t.Fatalf("answer %+v", a)
		}
	}
}

func TestCallerDisconnectClosesUpstreamConnection(t *testing.T) {
	started := make(chan struct{})
	closed := make(chan error, 1)
	u := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
		close(started)
		_, err := conn.Read(make([]byte, 1))
		closed <- err
	})
	r := newRecorder()
	d := testDispatcher(t, r, targetsOf(1, u.endpoint()))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	a := d.Execute(ctx, post("x"))
	if a.Code != result.CodeCallerGone || a.Execution != result.Unknown {
		t.Fatalf("answer %+v", a)
	}
	if err := <-closed; !errors.Is(err, io.EOF) && !errors.As(err, new(*net.OpError)) {
		t.Fatalf("upstream read: %v", err)
	}
	if len(r.observed) != 0 {
		t.Fatalf("a cancelled attempt was observed: %+v", <-r.observed)
	}
}

func TestCallerDisconnectWhileQueued(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(conn, ok("a"))
	})
	d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
	first := make(chan result.Code, 1)
	go func() { first <- d.Execute(context.Background(), post("x")).Code }()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a := d.Execute(ctx, post("y"))
	if a.Code != result.CodeCallerGone || a.Execution != result.NotRun {
		t.Fatalf("answer %+v", a)
	}
	close(release)
	if code := <-first; code != result.CodeAnswered {
		t.Fatalf("the first request ended with %d", code)
	}
}

func TestDeadlineWhileQueued(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(conn, ok("a"))
	})
	d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
	first := make(chan result.Code, 1)
	go func() { first <- d.Execute(context.Background(), post("x")).Code }()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	a := d.Execute(ctx, post("y"))
	if a.Code != result.CodeShedDeadline || a.Execution != result.NotRun {
		t.Fatalf("answer %+v", a)
	}
	close(release)
	if code := <-first; code != result.CodeAnswered {
		t.Fatalf("the first request ended with %d", code)
	}
}

func TestTrialIsHedgedAndNotCancelled(t *testing.T) {
	release := make(chan struct{})
	trial := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
		<-release
		_, _ = io.WriteString(conn, ok("trial"))
	})
	healthy := newRawUpstream(t, always(ok("healthy")))
	r := newRecorder()
	targets := targetsOf(2, trial.endpoint(), healthy.endpoint())
	targets[0].State = routing.StateTrial
	d := testDispatcher(t, r, targets)
	if a := d.Execute(context.Background(), get("/")); string(a.Body) != "healthy" {
		t.Fatalf("answer %+v", a)
	}
	<-r.observed
	close(release)
	if seen := <-r.observed; !seen.Trial || seen.Failed || seen.Endpoint != trial.endpoint() {
		t.Fatalf("observed %+v", seen)
	}
}

func TestDrainingHeaderStopsNewRequests(t *testing.T) {
	draining := newRawUpstream(t, always("HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"))
	r := newRecorder()
	d := testDispatcher(t, r, targetsOf(1, draining.endpoint()))
	if a := d.Execute(context.Background(), post("x")); a.Code != result.CodeAnswered {
		t.Fatalf("answer %+v", a)
	}
	if e := <-r.draining; e != draining.endpoint() {
		t.Fatalf("draining %s", e)
	}
	// The platform's list is stale and still names the endpoint as available.
	d.SetTargets(testService, routing.Config{}, targetsOf(1, draining.endpoint()))
	a := d.Execute(context.Background(), post("y"))
	if a.Code != result.CodeNoEndpoint || draining.count() != 1 {
		t.Fatalf("answer %+v, %d requests", a, draining.count())
	}
}

func TestUnknownServiceAndDrain(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	u := newRawUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(conn, ok("whole"))
	})
	d := New(Settings{Seed: 1}, Hooks{})
	d.SetTargets(testService, routing.Config{}, targetsOf(1, u.endpoint()))
	other := get("/")
	other.Service = "unknown"
	if a := d.Execute(context.Background(), other); a.Code != result.CodeNoEndpoint {
		t.Fatalf("answer %+v", a)
	}
	body := make(chan string, 1)
	go func() { body <- string(d.Execute(context.Background(), post("x")).Body) }()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := d.Drain(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("drain with a request in flight: %v", err)
	}
	if a := d.Execute(context.Background(), get("/")); a.Code != result.CodeStopping || a.Execution != result.NotRun {
		t.Fatalf("answer %+v", a)
	}
	close(release)
	if err := d.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := <-body; got != "whole" {
		t.Fatalf("the request in flight got %q", got)
	}
}

// A stop whose callers never fall silent lasts for all of its time, and what is in flight then is cut off.
func TestRequestsThatOutliveAPlannedStopAreNotRun(t *testing.T) {
	u := newRawUpstream(t, always(ok("whole")))
	const timeout, passed = 60 * time.Second, 40 * time.Second
	requested := time.Now().Add(-passed)
	plan := shutdown.NewPlan(shutdown.Requested{After: requested, By: requested}, shutdown.Promises{StopWithin: timeout, DiscoveryTTL: timeout})
	d := testDispatcher(t, newRecorder(), targetsOf(1, u.endpoint()))
	d.hooks.MayStart = plan.Admits
	long := get("/")
	long.Deadline = time.Now().Add(timeout - passed)
	if a := d.Execute(context.Background(), long); a.Code != result.CodeStopping || a.Execution != result.NotRun || u.count() != 0 {
		t.Errorf("a request that may not end in time: answer %+v, %d requests at the upstream", a, u.count())
	}
	keyed := long
	keyed.Key = "order-1"
	if a := d.Execute(context.Background(), keyed); a.Code != result.CodeAnswered {
		t.Errorf("a request with a key: answer %+v", a)
	}
	short := get("/")
	short.Deadline = time.Now().Add((timeout - passed) / 2)
	if a := d.Execute(context.Background(), short); a.Code != result.CodeAnswered {
		t.Errorf("a request that ends in time: answer %+v", a)
	}
}
