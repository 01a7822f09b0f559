package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in of one endpoint of a service. It works on a request for the milliseconds in
// its "ms" query parameter and drops one whose connection closes.
type endpoint struct {
	id, service, zone string
	slots             int
	store             *store
	record            *record
	server            *http.Server
	listener          net.Listener
	running           atomic.Int64
	sequence          int
	onRun             func(e *endpoint, requestID string) // May be nil.

	mu   sync.Mutex
	runs map[string]int // Number of runs by request id.
}

func startEndpoint(s *store, r *record, id, service, zone string, slots int) (*endpoint, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, service: service, zone: zone, slots: slots, store: s, record: r, listener: l, runs: map[string]int{}}
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// register writes the endpoint's entry with a state.
func (e *endpoint) register(state string) {
	e.sequence++
	e.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "1",
		"capacity": e.slots, "state": state, "warmup_left": "0ms", "sequence": e.sequence,
	})
}

func (e *endpoint) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.running.Add(1) > int64(e.slots) {
		e.running.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	left, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.record.printf("endpoint %s (%s) runs request %s for %d ms, Deadline-Ms %d", e.id, e.service, id, ms, left)
	if e.onRun != nil {
		e.onRun(e, id)
	}
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		e.record.printf("endpoint %s: the connection of request %s closed while it was at work", e.id, id)
		return
	}
	h.Set("Server-Stamp", "stamp."+e.id+"."+id)
	body := fmt.Sprintf("%s %s %s\n", e.service, e.id, id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

func (e *endpoint) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *endpoint) close() { _ = e.server.Close() }
