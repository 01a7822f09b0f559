package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	largeBody     = 8 << 20
	largeTimeout  = "60000ms"
	heapTolerance = 4 << 20 // Of connections, goroutines and small requests.
)

// heldUpstream reads the bodies of requests completely and then answers once release is closed.
type heldUpstream struct {
	started chan int64 // Body sizes.
	mu      sync.Mutex
	release chan struct{}
}

func (u *heldUpstream) hold() (release func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.release = make(chan struct{})
	return sync.OnceFunc(func() { close(u.release) })
}

func (u *heldUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	release := u.release
	u.mu.Unlock()
	u.started <- n
	<-release
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "3e."+r.Header.Get("Expect-Instance"))
	_, _ = fmt.Fprint(w, n)
}

// startHeldFleet starts an instance and four upstreams of a service that takes large bodies.
func startHeldFleet(t *testing.T, memoryMB int) (*instance, *heldUpstream) {
	t.Helper()
	fleet := newTestFleet(t)
	fleet.memoryMB = memoryMB
	in := fleet.startInstance("one", "a")
	u := &heldUpstream{started: make(chan int64, 1000)}
	u.hold()()
	for i := range 4 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: u}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		fleet.register(&upstream{id: fmt.Sprint("i-", i), addr: l.Addr().String()}, "orders", "ready")
	}
	value, err := json.Marshal(map[string]any{
		"version": "00000001",
		"routes": map[string]any{"unsafe": map[string]any{"host": "h.example", "path_prefix": "/", "route_kind": "unsafe", "timeout": largeTimeout,
			"target_latency": largeTimeout, "priority": 1, "service": "orders", "max_attempts": 2}},
		"services": map[string]any{"orders": map[string]any{"health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 8192, "max_body_bytes": 64 << 20, "header_timeout": largeTimeout, "idle_timeout": largeTimeout},
	})
	if err != nil {
		t.Fatal(err)
	}
	fleet.store.Put("op/config", value)
	eventually(t, "served", func() bool { return post(t, in, strings.NewReader("small"), 5) == http.StatusOK })
	for len(u.started) > 0 {
		<-u.started
	}
	return in, u
}

// post sends an order on a new connection; a negative size sends the body in chunks.
func post(t *testing.T, in *instance, body io.Reader, size int64) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+in.gateway.current().Listen.Callers+"/x", body)
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength, req.Host, req.Close = size, "h.example", true
	req.Header.Set("Request-Id", fmt.Sprint("r", nextRequest.Add(1)))
	req.Header.Set("Deadline-Ms", "60000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// postAll sends orders concurrently and returns a function that waits for their statuses.
func postAll(t *testing.T, in *instance, n int, size int64) (wait func() map[int]int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range n {
		wg.Go(func() {
			status := post(t, in, io.LimitReader(zeros{}, size), size)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	return func() map[int]int { wg.Wait(); return statuses }
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// heapInUse returns the bytes that are still referenced.
func heapInUse() int64 {
	var m runtime.MemStats
	for range 3 { // Empties pools too.
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// The memory of an instance grew with each large body: requests came back from the pool with the
// buffers of earlier ones, and each attempt copied the body.
func TestLargeBodiesDoNotStayInMemory(t *testing.T) {
	const large, small = 6, 12
	in, u := startHeldFleet(t, 512)
	before := heapInUse()
	release := u.hold()
	defer release()
	wait := postAll(t, in, large, largeBody)
	for range large {
		receiveStarted(t, u)
	}
	if grown := heapInUse() - before; grown > large*largeBody+heapTolerance {
		t.Errorf("%d bodies of %d MB in service take %d MB", large, largeBody>>20, grown>>20)
	}
	release()
	if got := wait(); got[http.StatusOK] != large {
		t.Errorf("statuses of large orders: %v", got)
	}
	releaseSmall := u.hold()
	defer releaseSmall()
	waitSmall := postAll(t, in, small, 1200)
	for range small {
		receiveStarted(t, u)
	}
	eventually(t, "large bodies are released", func() bool { return in.gateway.bodies.Counts().Reserved < largeBody })
	if grown := heapInUse() - before; grown > heapTolerance {
		t.Errorf("small orders hold %d MB after large ones", grown>>20)
	}
	releaseSmall()
	if got := waitSmall(); got[http.StatusOK] != small {
		t.Errorf("statuses of small orders: %v", got)
	}
}

func receiveStarted(t *testing.T, u *heldUpstream) {
	t.Helper()
	select {
	case <-u.started:
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for a request at an upstream")
	}
}

// sendPart sends the head of an order, with its framing, and the first part of its body.
func sendPart(t *testing.T, in *instance, framing, part string) *bufio.Reader {
	t.Helper()
	c, err := net.Dial("tcp4", in.gateway.current().Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\n%s\r\n\r\n%s", nextRequest.Add(1), framing, part); err != nil {
		t.Fatal(err)
	}
	return bufio.NewReader(c)
}

// readRefusal reads the answer to an order that was not run for want of memory.
func readRefusal(t *testing.T, br *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !strings.Contains(string(text), "1022") {
		t.Errorf("status %d, %v: %s, %v", resp.StatusCode, resp.Header, text, err)
	}
}

func TestBodiesBeyondMemoryAreRefusedUnread(t *testing.T) {
	in, u := startHeldFleet(t, 48) // 16 MB for bodies, of which large ones use 14 MB.
	release := u.hold()
	defer release()
	wait := postAll(t, in, 1, largeBody)
	receiveStarted(t, u)
	readRefusal(t, sendPart(t, in, fmt.Sprint("Content-Length: ", largeBody), ""))
	waitSmall := postAll(t, in, 4, 1200)
	for range 4 {
		receiveStarted(t, u)
	}
	release()
	if got := waitSmall(); got[http.StatusOK] != 4 {
		t.Errorf("small orders beside a large one: %v", got)
	}
	if got := wait(); got[http.StatusOK] != 1 {
		t.Errorf("the large order: %v", got)
	}
	if len(u.started) != 0 {
		t.Error("a refused order ran")
	}
	eventually(t, "all bytes are released", func() bool { return in.gateway.bodies.Counts().Reserved == 0 })
	if got := in.gateway.bodies.Counts(); got.Peak > got.Limit || got.Refused != 1 {
		t.Errorf("%+v", got)
	}
}

// A caller that announces a large body and sends it slowly must not keep others out.
func TestSlowBodiesYieldToOthers(t *testing.T) {
	in, _ := startHeldFleet(t, 48)
	slow := sendPart(t, in, fmt.Sprint("Content-Length: ", largeBody), "part")
	eventually(t, "the slow body's bytes are reserved", func() bool { return in.gateway.bodies.Counts().Reserved >= largeBody })
	eventually(t, "another large order is served", func() bool {
		return post(t, in, io.LimitReader(zeros{}, largeBody), largeBody) == http.StatusOK
	})
	readRefusal(t, slow)
	if got := in.gateway.bodies.Counts(); got.Yielded != 1 {
		t.Errorf("%+v", got)
	}
}
