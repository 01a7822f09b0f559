package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

// fakeBackend records the last request and returns a fixed answer.
type fakeBackend struct {
	router *Router
	last   exchange.Request
	answer exchange.Answer
	serve  func(ctx context.Context) // Runs before the answer; may be nil.
}

func (b *fakeBackend) Router() *Router { return b.router }

func (b *fakeBackend) Serve(ctx context.Context, r exchange.Request) exchange.Answer {
	b.last = r
	if b.serve != nil {
		b.serve(ctx)
	}
	return b.answer
}

func (b *fakeBackend) Outcome(_ context.Context, key string) exchange.Answer {
	return exchange.Rejection(result.CodeKeyUnknown, key)
}

func (b *fakeBackend) Discover(service fleet.Service, _ fleet.Account, _ fleet.Zone) (client.Discovery, result.Code) {
	if service != "stock" {
		return client.Discovery{}, result.CodeNoRoute
	}
	return client.Discovery{Entries: []client.Entry{{Address: "127.0.0.1:1", Zone: "z1"}}, Ticket: "t"}, result.CodeAnswered
}

func testConfig() *rollout.Config {
	return &rollout.Config{
		Revision: 3,
		Services: map[fleet.Service]rollout.ServiceTemplate{
			"stock": {Name: "stock", MaxBodyBytes: 10, Deadline: time.Minute, Routes: []rollout.Route{
				{Method: "GET", PathPrefix: "/stock", Idempotent: true},
				{Method: "HEAD", PathPrefix: "/stock", Idempotent: true},
				{Method: "POST", PathPrefix: "/stock/notes"},
			}},
			"drums": {Name: "drums", Routes: []rollout.Route{{PathPrefix: "/drums"}}},
		},
		Accounts: map[fleet.Account]rollout.AccountTemplate{
			"brewer": {Name: "brewer", Services: []fleet.Service{"stock"}},
		},
	}
}

func startServer(t *testing.T) (*Server, *fakeBackend, string) {
	t.Helper()
	b := &fakeBackend{router: NewRouter(testConfig())}
	b.answer = exchange.Answer{Status: 200, Body: []byte("whole"), Code: result.CodeAnswered, Execution: result.Ran}
	s, err := New(Config{
		Listen: "127.0.0.1:0", MaxBodyBytes: 100,
		Tracer: noop.NewTracerProvider().Tracer("test"), Log: slog.New(slog.DiscardHandler),
	}, b)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	t.Cleanup(func() {
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, b, "http://" + s.Addr()
}

func call(t *testing.T, method, url string, body []byte, headers map[string]string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(client.HeaderAccount, "brewer")
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: false}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}).Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(data)
}

func TestResultCodesOfRefusedRequests(t *testing.T) {
	_, _, base := startServer(t)
	cases := []struct {
		name, method, path string
		body               int
		account            string
		status             int
		code               string
	}{
		{"unknown account", "GET", "/stock/1", 0, "nobody", 403, "1002"},
		{"account not allowed", "GET", "/drums/1", 0, "brewer", 403, "1003"},
		{"no route", "GET", "/nothing", 0, "brewer", 404, "1001"},
		{"method without route", "DELETE", "/stock/1", 0, "brewer", 404, "1001"},
		{"prefix is by whole segments", "GET", "/stocks", 0, "brewer", 404, "1001"},
		{"dot segments", "GET", "/stock/%2E%2e/drums", 0, "brewer", 400, "1005"},
		{"body over the limit of the service", "POST", "/stock/notes", 11, "brewer", 413, "1004"},
		{"body over the limit of the instance", "POST", "/stock/notes", 101, "brewer", 413, "1004"},
		{"outcome of an unknown key", "GET", client.OutcomePath, 0, "brewer", 404, "1112"},
		{"discovery of an unknown service", "GET", client.DiscoverPath + "?service=none", 0, "brewer", 404, "1001"},
	}
	for _, c := range cases {
		response, _ := call(t, c.method, base+c.path, make([]byte, c.body), map[string]string{client.HeaderAccount: c.account})
		if response.StatusCode != c.status || response.Header.Get(client.HeaderCode) != c.code {
			t.Errorf("%s: status %d code %s, want %d %s", c.name, response.StatusCode, response.Header.Get(client.HeaderCode), c.status, c.code)
		}
	}
}

func TestRefusedBodyOfKeyedRequestLeavesExecutionUnknown(t *testing.T) {
	_, _, base := startServer(t)
	for _, size := range []int{11, 101} {
		response, _ := call(t, "POST", base+"/stock/notes", make([]byte, size), map[string]string{client.HeaderKey: "ticket.unique"})
		if response.StatusCode != 413 || response.Header.Get(client.HeaderExecution) != client.ExecutionUnknown {
			t.Errorf("%d bytes: status %d execution %q, want 413 unknown", size, response.StatusCode, response.Header.Get(client.HeaderExecution))
		}
	}
}

func TestRequestIsForwardedWithoutHopByHopHeaders(t *testing.T) {
	_, b, base := startServer(t)
	call(t, "POST", base+"/stock/notes/a%2Fb//c?lot=7&q=a%20b", []byte("0123456789"), map[string]string{
		"Connection": "X-Private", "X-Private": "1", "X-Kept": "2", "Te": "trailers", client.HeaderDeadline: "1500",
	})
	if b.last.URI != "/stock/notes/a%2Fb//c?lot=7&q=a%20b" || string(b.last.Body) != "0123456789" || b.last.Method != "POST" {
		t.Errorf("request forwarded as %s %q with body %q", b.last.Method, b.last.URI, b.last.Body)
	}
	names := map[string]string{}
	for _, h := range b.last.Headers {
		names[strings.ToLower(h.Name)] = h.Value
	}
	if names["x-kept"] != "2" {
		t.Errorf("header X-Kept was not forwarded: %v", names)
	}
	for _, dropped := range []string{"connection", "x-private", "te", "content-length"} {
		if _, ok := names[dropped]; ok {
			t.Errorf("header %s was forwarded", dropped)
		}
	}
}

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	_, b, base := startServer(t)
	b.answer = exchange.Answer{Status: 302, Code: result.CodeAnswered, Execution: result.Ran, Headers: []exchange.Header{
		{Name: "Location", Value: "/elsewhere"}, {Name: "Set-Cookie", Value: "a=1"}, {Name: "Set-Cookie", Value: "b=2"},
	}}
	response, _ := call(t, "GET", base+"/stock/1", nil, nil)
	if response.StatusCode != 302 || response.Header.Get("Location") != "/elsewhere" {
		t.Errorf("redirect forwarded as %d to %q", response.StatusCode, response.Header.Get("Location"))
	}
	if cookies := response.Header.Values("Set-Cookie"); len(cookies) != 2 {
		t.Errorf("repeated header forwarded as %v", cookies)
	}
	if response.Header.Get(client.HeaderExecution) != "ran" {
		t.Errorf("execution %q, want ran", response.Header.Get(client.HeaderExecution))
	}
	b.answer = exchange.Answer{Status: 200, Code: result.CodeAnswered, Execution: result.Ran,
		Headers: []exchange.Header{{Name: "Content-Length", Value: "1234"}}}
	response, body := call(t, "HEAD", base+"/stock/1", nil, nil)
	if response.ContentLength != 1234 || body != "" {
		t.Errorf("HEAD answered with length %d and body %q, want 1234 and none", response.ContentLength, body)
	}
}

func TestDrainingServerClosesConnections(t *testing.T) {
	s, _, base := startServer(t)
	s.Drain()
	response, body := call(t, "GET", base+"/stock/1", nil, nil)
	if !response.Close || body != "whole" {
		t.Errorf("close %v body %q, want the complete answer and Connection: close", response.Close, body)
	}
}

func TestNotReadyBeforeTheFirstConfiguration(t *testing.T) {
	_, b, base := startServer(t)
	b.router = nil
	response, _ := call(t, "GET", base+"/stock/1", nil, nil)
	if response.StatusCode != 503 || response.Header.Get(client.HeaderExecution) != "not-run" {
		t.Errorf("status %d execution %q, want 503 not-run", response.StatusCode, response.Header.Get(client.HeaderExecution))
	}
}

func TestDiscoveryReturnsJSON(t *testing.T) {
	_, _, base := startServer(t)
	_, body := call(t, "GET", base+client.DiscoverPath+"?service=stock&account=brewer", nil, nil)
	var d client.Discovery
	if err := json.Unmarshal([]byte(body), &d); err != nil || len(d.Entries) != 1 {
		t.Errorf("discovery %q: %v", body, err)
	}
}

func TestRequestIsCancelledWhenCallerDisconnects(t *testing.T) {
	_, b, base := startServer(t)
	running := make(chan struct{})
	ended := make(chan error, 1)
	b.serve = func(ctx context.Context) {
		close(running)
		<-ctx.Done()
		ended <- context.Cause(ctx)
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /stock/1 HTTP/1.1\r\nHost: x\r\n%s: brewer\r\n%s: 60000\r\n\r\n", client.HeaderAccount, client.HeaderDeadline); err != nil {
		t.Fatal(err)
	}
	<-running
	_ = conn.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, context.Canceled) {
			t.Errorf("the request ended with %v, want %v", err, context.Canceled)
		}
	case <-time.After(50 * time.Second): // Before the request's own deadline of a minute.
		t.Error("the request still runs after its caller closed the connection")
	}
}

// failingListener fails its first accepts like the listener of a process without free descriptors.
type failingListener struct {
	net.Listener
	failures int // Used by Accept alone.
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

func TestFailedAcceptDoesNotEndTheServer(t *testing.T) {
	s, err := New(Config{
		Listen: "127.0.0.1:0", MaxBodyBytes: 100,
		Tracer: noop.NewTracerProvider().Tracer("test"), Log: slog.New(slog.DiscardHandler),
		WrapListener: func(l net.Listener) net.Listener { return &failingListener{Listener: l, failures: 3} },
	}, &fakeBackend{router: NewRouter(testConfig())})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		resp, err := http.Get("http://" + s.Addr() + client.DiscoverPath + "?service=stock")
		if err != nil {
			t.Error(err)
			return
		}
		_ = resp.Body.Close()
	}()
	select {
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	case <-answered:
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
