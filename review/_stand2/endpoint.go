package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached an endpoint.
type arrival struct {
	id, endpoint string
	at           time.Time
	ran          bool
}

// endpoint is a stand-in of one endpoint of a service.
type endpoint struct {
	fleet     *fleet
	id        string
	service   string
	zone      string
	address   string
	work      time.Duration
	born      time.Time
	server    *http.Server
	slots     chan struct{}
	waiting   atomic.Int64
	record    *record
	stopBeats chan struct{}

	mu       sync.Mutex
	sequence int
	gone     bool
	removed  time.Time // When the store acknowledged that its entry was removed.
}

const (
	slotCount  = 4
	queueLimit = 16
)

func (f *fleet) startEndpoint(r *record, id, service, zone string, work time.Duration) (*endpoint, error) {
	l, err := net.Listen("tcp4", f.net+".250:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		fleet: f, id: id, service: service, zone: zone, address: l.Addr().String(), work: work, born: time.Now(),
		slots: make(chan struct{}, slotCount), record: r, stopBeats: make(chan struct{}),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	e.beat()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-e.stopBeats:
				return
			case <-tick.C:
				e.beat()
			}
		}
	}()
	return e, nil
}

// beat writes the endpoint's entry, unless it has left.
func (e *endpoint) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return
	}
	e.sequence++
	_, _ = e.fleet.store.PutJSON("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity": slotCount, "state": "ready",
		"warmup_left": "0ms", "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
}

// leave removes the endpoint's entry without a report that it drains; it serves on for a time and exits.
func (e *endpoint) leave(serve time.Duration) {
	e.mu.Lock()
	e.gone = true
	close(e.stopBeats)
	e.removed = e.fleet.store.Delete("servers/" + e.id)
	e.mu.Unlock()
	e.record.line("endpoint %s: its entry is removed", e.id)
	time.AfterFunc(serve, func() {
		e.record.line("endpoint %s ends", e.id)
		_ = e.server.Close()
	})
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	h.Set("Request-Id", id)
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(e.slots), e.waiting.Load(), slotCount))
	a := arrival{id: id, endpoint: e.id, at: time.Now()}
	if len(e.slots) == slotCount && e.waiting.Load() >= queueLimit {
		e.record.arrived(a)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.waiting.Add(1)
	e.slots <- struct{}{}
	e.waiting.Add(-1)
	defer func() { <-e.slots }()
	a.ran = true
	e.record.arrived(a)
	time.Sleep(e.work)
	h.Set("Server-Stamp", "stamp-"+e.id)
	_, _ = io.WriteString(w, "done by "+e.id)
}
