package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// callerConn is a caller's connection to an instance.
type callerConn struct {
	net.Conn
	br *bufio.Reader
}

func (in *instance) dial(t *testing.T) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp4", in.gateway.current().Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return &callerConn{Conn: c, br: bufio.NewReader(c)}
}

// request sends a request with a deadline; a path below /safe/ is idempotent.
func (c *callerConn) request(t *testing.T, id, path string, deadline time.Duration) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", path, id, deadline.Milliseconds())
	if err != nil {
		t.Fatal(err)
	}
}

// logLine returns the first log line with a message, or nil.
func (in *instance) logLine(msg string) map[string]any {
	for line := range strings.Lines(in.logs.String()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["msg"] == msg {
			return fields
		}
	}
	return nil
}

// startServing starts an instance and an upstream that serves its requests.
func (fleet *testFleet) startServing() (*instance, *upstream) {
	fleet.t.Helper()
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	u := fleet.startUpstream("i-1", "orders")
	eventually(fleet.t, "served", func() bool { status, _, _ := in.send(fleet.t, "h.example", "/x"); return status == 200 })
	return in, u
}

func TestRequestsCutOffByPlannedStopAreLogged(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.stopWithin = 2 * time.Second
	in, u := fleet.startServing()
	hold := make(chan struct{})
	defer close(hold)
	u.hold.Store(&hold)
	before := u.requests.Load()
	c := in.dial(t)
	c.request(t, "cut", "/x", 5*time.Second)
	eventually(t, "the request is at its upstream", func() bool { return u.requests.Load() > before })
	in.stop()
	eventually(t, "the end of the stop is logged", func() bool { return in.logLine("instance stopped") != nil })
	if got := in.logLine("instance stopped")["cut_off"]; got != 1.0 {
		t.Errorf("cut off: %v, want 1", got)
	}
	line := in.logLine("request cut off by the planned stop")
	if line["request"] != "cut" || line["route"] != "unsafe" {
		t.Errorf("logged %v", line)
	}
	readAfter, _ := line["read_after_ms"].(float64)
	ms, _ := line["ms"].(float64)
	if stopped := ms + readAfter; readAfter > 0 || ms <= 0 || stopped > float64(fleet.stopWithin.Milliseconds()) {
		t.Errorf("read %v ms after the start of the stop, in service for %v ms", readAfter, ms)
	}
}
