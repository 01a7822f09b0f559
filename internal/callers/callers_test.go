package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/body"
)

const testTimeout = 10 * time.Second

// echoHandler answers with the request's path and body. A path that begins with /wait is answered
// after release is closed.
type echoHandler struct {
	limits       Limits
	started      chan string
	disconnected chan string
	release      chan struct{}
}

func newEchoHandler() *echoHandler {
	return &echoHandler{
		limits:  Limits{HeadBytes: 8 << 10, BodyBytes: 1000, HeadTimeout: testTimeout, IdleTimeout: testTimeout},
		started: make(chan string, 100), disconnected: make(chan string, 100), release: make(chan struct{}),
	}
}

func (e *echoHandler) Limits() Limits { return e.limits }

func (e *echoHandler) Expects(*fasthttp.RequestHeader) bool { return true }

func (e *echoHandler) Reject(code result.Code, _ string, resp *fasthttp.Response) {
	entry, _ := result.Lookup(code)
	resp.SetStatusCode(entry.Status)
}

func (e *echoHandler) Serve(ctx context.Context, r Request, resp *fasthttp.Response) {
	path := string(r.HTTP.Header.RequestURI())
	r.SetInfo("", path)
	e.started <- path
	if strings.HasPrefix(path, "/wait") {
		select {
		case <-ctx.Done():
			e.disconnected <- path
		case <-e.release:
		}
	}
	resp.SetBodyString(path + " " + r.Body.String())
}

func serve(t *testing.T, e *echoHandler) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", e, Options{})
	if err != nil {
		t.Fatal(err)
	}
	run(t, s)
	return s
}

// run runs a server until the end of the test.
func run(t *testing.T, s *Server) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = s.Shutdown(ctx)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func dial(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func readAnswer(t *testing.T, br *bufio.Reader) (int, string) {
	t.Helper()
	var resp fasthttp.Response
	if err := resp.Read(br); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body())
}

func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for: %s", what)
		panic("unreachable")
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := serve(t, newEchoHandler())
	c, br := dial(t, s)
	var all strings.Builder
	for i := range 20 {
		fmt.Fprintf(&all, "POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", i)
	}
	send(t, c, all.String())
	for i := range 20 {
		if status, body := readAnswer(t, br); status != 200 || body != fmt.Sprintf("/%d abc", i) {
			t.Fatalf("answer %d: %d %q", i, status, body)
		}
	}
}

func TestAmbiguousRequestsAreRejected(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, head := range map[string]string{
		"two lengths":          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 36\r\n\r\n",
		"same length twice":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
		"length and chunks":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"another coding":       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"bare line feeds":      "POST / HTTP/1.1\nHost: h\nContent-Length: 0\n\n",
		"one bare line feed":   "POST / HTTP/1.1\r\nX-A: b\nContent-Length: 36\r\nHost: h\r\n\r\n",
		"folded header":        "POST / HTTP/1.1\r\nHost: h\r\nX-A: b\r\n Content-Length: 36\r\n\r\n",
		"space before colon":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 36\r\n\r\n",
		"length with a sign":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +36\r\n\r\n",
		"length out of bounds": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"two hosts":            "GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
		"no host":              "GET / HTTP/1.1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEchoHandler()
			s := serve(t, e)
			c, br := dial(t, s)
			send(t, c, head+smuggled)
			if status, _ := readAnswer(t, br); status != 400 {
				t.Errorf("status %d", status)
			}
			if _, err := br.ReadByte(); err != io.EOF {
				t.Errorf("the connection stays open: %v", err)
			}
			if len(e.started) != 0 {
				t.Errorf("served %q", <-e.started)
			}
		})
	}
}

func TestRequestLimits(t *testing.T) {
	for name, tc := range map[string]struct {
		request string
		status  int
	}{
		"head":           {"GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 9000) + "\r\n\r\n", 431},
		"head in bounds": {"GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 7000) + "\r\n\r\n", 200},
		"length":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413},
		"chunks":         {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("a", 1001) + "\r\n0\r\n\r\n", 413},
		"body in bounds": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("a", 1000), 200},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, newEchoHandler())
			c, br := dial(t, s)
			send(t, c, tc.request)
			if status, _ := readAnswer(t, br); status != tc.status {
				t.Errorf("status %d, want %d", status, tc.status)
			}
		})
	}
}

func TestSlowHeadTimesOut(t *testing.T) {
	e := newEchoHandler()
	e.limits.HeadTimeout = 50 * time.Millisecond
	s := serve(t, e)
	c, br := dial(t, s)
	send(t, c, "GET / HTTP/1.1\r\nHost: h\r\nX-")
	if status, _ := readAnswer(t, br); status != 408 {
		t.Errorf("status %d", status)
	}
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	e := newEchoHandler()
	s := serve(t, e)
	c, _ := dial(t, s)
	send(t, c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, "the start of the request", e.started)
	_ = c.Close()
	receive(t, "the request's context is cancelled", e.disconnected)
}

func TestPipelinedRequestIsNotADisconnect(t *testing.T) {
	e := newEchoHandler()
	s := serve(t, e)
	c, br := dial(t, s)
	send(t, c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, "the start of the request", e.started)
	send(t, c, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	close(e.release)
	for _, want := range []string{"/wait ", "/next "} {
		if status, body := readAnswer(t, br); status != 200 || body != want {
			t.Errorf("%d %q, want %q", status, body, want)
		}
	}
	if len(e.disconnected) != 0 {
		t.Error("the request's context was cancelled")
	}
}

func TestShutdownCompletesRequests(t *testing.T) {
	e := newEchoHandler()
	s := serve(t, e)
	busy, busyReader := dial(t, s)
	idle, idleReader := dial(t, s)
	send(t, idle, "GET /idle HTTP/1.1\r\nHost: h\r\n\r\n")
	readAnswer(t, idleReader)
	<-e.started
	send(t, busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, "the start of the request", e.started)
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		done <- s.Shutdown(ctx)
	}()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	close(e.release)
	var resp fasthttp.Response
	if err := resp.Read(busyReader); err != nil || resp.StatusCode() != 200 || !resp.ConnectionClose() {
		t.Errorf("status %d, close %v, %v", resp.StatusCode(), resp.ConnectionClose(), err)
	}
	if err := receive(t, "the end of Shutdown", done); err != nil {
		t.Error(err)
	}
}

func TestInServiceListsUnansweredRequests(t *testing.T) {
	e := newEchoHandler()
	s := serve(t, e)
	for i := range 3 {
		c, _ := dial(t, s)
		send(t, c, fmt.Sprintf("GET /wait%d HTTP/1.1\r\nHost: h\r\n\r\n", i))
		receive(t, "the start of the request", e.started)
	}
	var routes []string
	for _, r := range s.InService() {
		routes = append(routes, r.Route)
	}
	if want := []string{"/wait0", "/wait1", "/wait2"}; !slices.Equal(routes, want) {
		t.Errorf("in service: %v, want %v", routes, want)
	}
	close(e.release)
	for deadline := time.Now().Add(testTimeout); len(s.InService()) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("in service after the answers: %v", s.InService())
		}
	}
}

func TestHeadRequestGetsNoBody(t *testing.T) {
	s := serve(t, newEchoHandler())
	c, br := dial(t, s)
	send(t, c, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	var resp fasthttp.Response
	resp.SkipBody = true
	if err := resp.Read(br); err != nil {
		t.Fatal(err)
	}
	if status, body := readAnswer(t, br); status != 200 || body != "/b " {
		t.Errorf("%d %q", status, body)
	}
}

func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := peekHead(bufio.NewReaderSize(strings.NewReader(string(data)), 8<<10), 8<<10)
		if err != nil || checkHead(head) != nil {
			return
		}
		var req fasthttp.Request
		if err := req.Header.Read(bufio.NewReader(strings.NewReader(string(head)))); err != nil {
			return
		}
		if len(req.Header.PeekAll(fasthttp.HeaderContentLength)) > 1 {
			t.Errorf("two lengths are accepted: %q", head)
		}
	})
}

// Callers that connected just before a shutdown have sent their requests and wait in the listener's
// backlog. All of them must be answered.
func TestShutdownAnswersBacklog(t *testing.T) {
	s := serve(t, newEchoHandler())
	s.mu.Lock() // Blocks Run while it registers the first connection.
	var readers []*bufio.Reader
	for range 12 {
		c, br := dial(t, s)
		send(t, c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		readers = append(readers, br)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	for !s.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	s.mu.Unlock()
	for i, br := range readers {
		var resp fasthttp.Response
		if err := resp.Read(br); err != nil || resp.StatusCode() != 200 || !resp.ConnectionClose() {
			t.Errorf("caller %d: status %d, %v", i, resp.StatusCode(), err)
		}
	}
	if err := receive(t, "the end of Shutdown", stopped); err != nil {
		t.Error(err)
	}
}

// countedConn counts the bytes that the server reads.
type countedConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// A request on a kept-alive connection may arrive while the server closes it, at a planned stop or
// after the idle timeout. It must get a complete answer or not be read: one that was read and
// discarded would be lost.
func TestRequestsDuringCloseAreAnsweredOrNotRead(t *testing.T) {
	const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, idle := range map[string]time.Duration{"planned stop": testTimeout, "idle": 4 * time.Millisecond} {
		for round := range 10 {
			e := newEchoHandler()
			e.started = make(chan string, 100_000)
			e.limits.IdleTimeout = idle
			s := serve(t, e)
			var bytesRead atomic.Int64
			const callers = 40
			var ready, done sync.WaitGroup
			ready.Add(callers)
			for i := range callers {
				done.Add(1)
				go func() {
					defer done.Done()
					defer ready.Done()
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = l.Close() }()
					c, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						t.Error(err)
						return
					}
					server, err := l.Accept()
					if err != nil {
						t.Error(err)
						return
					}
					s.serve(countedConn{server.(*net.TCPConn), &bytesRead})
					done.Add(1)
					go func() {
						defer done.Done()
						defer func() { _ = c.Close() }()
						_ = c.SetDeadline(time.Now().Add(testTimeout))
						br := bufio.NewReader(c)
						for k := 0; ; k++ {
							if _, err := io.WriteString(c, request); err != nil {
								return
							}
							if _, err := br.Peek(1); err != nil {
								return // Closed without an answer: the request must not have been read.
							}
							var resp fasthttp.Response
							if err := resp.Read(br); err != nil {
								t.Errorf("%s, round %d, caller %d: incomplete answer: %v", name, round, i, err)
							}
							if resp.ConnectionClose() || k > 200 {
								return
							}
							time.Sleep(min(idle, time.Millisecond*4) - time.Duration(k%3)*100*time.Microsecond)
						}
					}()
				}()
			}
			ready.Wait()
			time.Sleep(10 * time.Millisecond)
			if err := s.Shutdown(t.Context()); err != nil {
				t.Error(err)
			}
			done.Wait()
			if served := int64(len(e.started)); bytesRead.Load() != served*int64(len(request)) {
				t.Errorf("%s, round %d: %d bytes read, %d requests of %d bytes served", name, round, bytesRead.Load(), served, len(request))
			}
		}
	}
}

// Callers send requests behind others while the server drains and shuts down. Every request that is
// served gets its complete answer, also when its caller reads late.
func TestPipelinedRequestsDuringShutdownAreAnsweredOrNotServed(t *testing.T) {
	for round := range 5 {
		e := newEchoHandler()
		e.started = make(chan string, 100_000)
		s := serve(t, e)
		const callers, most = 40, 4
		var answered atomic.Int64
		var done sync.WaitGroup
		for i := range callers {
			done.Go(func() {
				for k := 0; ; k++ {
					c, err := net.Dial("tcp", s.Addr())
					if err != nil {
						return // The server has ended.
					}
					_ = c.SetDeadline(time.Now().Add(testTimeout))
					for j := range 1 + (i+k)%most {
						if _, err := fmt.Fprintf(c, "GET /%d/%d/%d HTTP/1.1\r\nHost: h\r\n\r\n", i, k, j); err != nil {
							break
						}
						time.Sleep(time.Duration((i*j)%3) * 300 * time.Microsecond)
					}
					time.Sleep(time.Duration(i%5) * time.Millisecond)
					br := bufio.NewReader(c)
					for range 1 + (i+k)%most {
						if _, err := br.Peek(1); err != nil {
							break
						}
						var resp fasthttp.Response
						if err := resp.Read(br); err != nil {
							t.Errorf("round %d, caller %d: incomplete answer: %v", round, i, err)
							break
						}
						answered.Add(1)
					}
					_ = c.Close()
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		s.Drain()
		time.Sleep(10 * time.Millisecond)
		if err := s.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
		done.Wait()
		if served := int64(len(e.started)); served != answered.Load() {
			t.Errorf("round %d: %d requests served, %d answers received", round, served, answered.Load())
		}
	}
}

// Callers took all descriptors, and none was left for readiness checks and upstreams.
func TestCallersLeaveDescriptorsForUpstreams(t *testing.T) {
	const descriptors = 80 // Of which 70 are for callers and upstreams.
	e := newEchoHandler()
	e.started = make(chan string, 4*descriptors)
	s, err := Listen("127.0.0.1:0", e, Options{Descriptors: descriptors})
	if err != nil {
		t.Fatal(err)
	}
	run(t, s)
	busy, busyReader := dial(t, s)
	send(t, busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, "the start of the request", e.started)
	var readers []*bufio.Reader
	for range 3 * descriptors {
		c, br := dial(t, s)
		send(t, c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		if status, _ := readAnswer(t, br); status != 200 {
			t.Fatalf("status %d", status)
		}
		readers = append(readers, br)
		if counted, limit := s.Descriptors(); counted > limit {
			t.Fatalf("%d descriptors, limit %d", counted, limit)
		}
	}
	if _, err := readers[0].ReadByte(); err != io.EOF {
		t.Errorf("the connection that is idle for longest: %v", err)
	}
	close(e.release)
	if status, _ := readAnswer(t, busyReader); status != 200 {
		t.Errorf("the request in flight: status %d", status)
	}
	if got := s.Retired(); got < 2*descriptors {
		t.Errorf("%d connections closed", got)
	}
}

// New callers wait while all connections have requests.
func TestBusyConnectionsAreNotClosedForOthers(t *testing.T) {
	e := newEchoHandler()
	s, err := Listen("127.0.0.1:0", e, Options{Descriptors: 16}) // Seven callers with requests.
	if err != nil {
		t.Fatal(err)
	}
	run(t, s)
	var readers []*bufio.Reader
	for range 12 {
		c, br := dial(t, s)
		send(t, c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		readers = append(readers, br)
	}
	for range 7 {
		receive(t, "the start of a request", e.started)
	}
	if counted, limit := s.Descriptors(); counted > limit {
		t.Errorf("%d descriptors, limit %d", counted, limit)
	}
	close(e.release)
	for i, br := range readers {
		if status, _ := readAnswer(t, br); status != 200 {
			t.Errorf("caller %d: status %d", i, status)
		}
	}
}

// A caller that does not read its answer must not keep its request's bytes counted.
func TestSlowReaderDoesNotHoldItsBody(t *testing.T) {
	const size = 16 << 20 // More than the sockets of both sides hold.
	e := newEchoHandler()
	e.limits.BodyBytes = size
	bodies := body.NewBudget(4 * size)
	s, err := Listen("127.0.0.1:0", e, Options{Bodies: bodies})
	if err != nil {
		t.Fatal(err)
	}
	run(t, s)
	c, br := dial(t, s)
	send(t, c, fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
	receive(t, "the start of the request", e.started)
	for deadline := time.Now().Add(testTimeout); bodies.Counts().Reserved > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are reserved while the answer is not read", bodies.Counts().Reserved)
		}
	}
	if status, text := readAnswer(t, br); status != 200 || len(text) != size+len("/x ") {
		t.Errorf("status %d, %d bytes", status, len(text))
	}
}

// Guards against work for callers that gave up while their connection waited to be accepted.
func TestRequestOfACallerThatHasGoneIsNotServed(t *testing.T) {
	e := newEchoHandler()
	s, err := Listen("127.0.0.1:0", e, Options{})
	if err != nil {
		t.Fatal(err)
	}
	const request = "POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for i := range 3 {
		c, _ := dial(t, s)
		send(t, c, fmt.Sprintf(request, fmt.Sprint("gone", i)))
		_ = c.Close()
	}
	c, br := dial(t, s)
	send(t, c, fmt.Sprintf(request, "stays"))
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	if status, text := readAnswer(t, br); status != 200 || text != "/stays body" {
		t.Errorf("status %d, %q", status, text)
	}
	_ = c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_ = s.Shutdown(ctx) // All connections have ended.
	if err := <-done; err != nil {
		t.Error(err)
	}
	for len(e.started) > 0 {
		if got := <-e.started; got != "/stays" {
			t.Errorf("served %s", got)
		}
	}
}
