package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

const (
	testService  fleet.Service = "cutting"
	testDeadline               = 20 * time.Second // Never reached by a passing test.
)

// rawUpstream is an upstream that answers with the bytes its script writes.
type rawUpstream struct {
	listener net.Listener
	script   func(conn net.Conn, number int, r *http.Request)

	mu       sync.Mutex
	conns    []net.Conn
	requests []*http.Request
	bodies   []string
}

// newRawUpstream runs script for each request, numbered from 1 over all connections.
func newRawUpstream(t *testing.T, script func(conn net.Conn, number int, r *http.Request)) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{listener: listener, script: script}
	t.Cleanup(u.close)
	go u.accept()
	return u
}

func (u *rawUpstream) endpoint() fleet.Endpoint { return fleet.Endpoint(u.listener.Addr().String()) }

func (u *rawUpstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
}

func (u *rawUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.mu.Unlock()
		go u.serve(conn)
	}
}

func (u *rawUpstream) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.requests = append(u.requests, r)
		u.bodies = append(u.bodies, string(body))
		number := len(u.requests)
		u.mu.Unlock()
		u.script(conn, number, r)
	}
}

func (u *rawUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

func (u *rawUpstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// always answers every request with the same bytes.
func always(text string) func(net.Conn, int, *http.Request) {
	return func(conn net.Conn, _ int, _ *http.Request) { _, _ = io.WriteString(conn, text) }
}

// ok returns a complete answer with the given body.
func ok(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

// recorder records the calls of the hooks.
type recorder struct {
	draining chan fleet.Endpoint
	observed chan health.Attempt
}

func newRecorder() *recorder {
	return &recorder{draining: make(chan fleet.Endpoint, 16), observed: make(chan health.Attempt, 64)}
}

func (r *recorder) hooks() Hooks {
	return Hooks{
		Observe:  func(_ fleet.Service, a health.Attempt) { r.observed <- a },
		Draining: func(_ fleet.Service, e fleet.Endpoint) { r.draining <- e },
	}
}

// targetsOf returns available targets with the given limit.
func targetsOf(limit int, endpoints ...fleet.Endpoint) []routing.Target {
	var targets []routing.Target
	for _, e := range endpoints {
		targets = append(targets, routing.Target{Upstream: fleet.Upstream{Endpoint: e}, Limit: limit})
	}
	return targets
}

// testDispatcher returns a dispatcher with the endpoints of one service.
func testDispatcher(t *testing.T, r *recorder, targets []routing.Target) *Dispatcher {
	t.Helper()
	d := New(Settings{MaxAnswerBytes: 64 << 10, Seed: 1}, r.hooks())
	d.SetTargets(testService, routing.Config{RetryShare: 0.5, HedgeQuantile: -1}, targets)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
		defer cancel()
		if err := d.Drain(ctx); err != nil {
			t.Errorf("drain: %v", err)
		}
	})
	return d
}

func get(uri string) exchange.Request {
	return exchange.Request{
		Service:    testService,
		Account:    "shop-1",
		Method:     http.MethodGet,
		URI:        uri,
		Idempotent: true,
		Deadline:   time.Now().Add(testDeadline),
	}
}

func post(body string) exchange.Request {
	r := get("/orders")
	r.Method = http.MethodPost
	r.Idempotent = false
	r.Body = []byte(body)
	return r
}
