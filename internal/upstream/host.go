package upstream

import (
	"errors"
	"fmt"
	"sync"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// HostOptions configure a Host.
type HostOptions struct {
	Seed             uint64
	RecordIdempotent bool // Records idempotent requests too, at a cost in memory for each.
	// OnChange, if not nil, is called after an endpoint was added, became warm, started draining
	// or was removed. It may call Host.Upstreams.
	OnChange func(h *Host)
}

// Host holds the endpoints of one process. It is safe for concurrent use.
type Host struct {
	options  HostOptions
	recorder *Recorder

	mu        sync.Mutex
	added     uint64
	order     []fleet.Endpoint
	endpoints map[fleet.Endpoint]*Endpoint
}

// NewHost returns a host without endpoints.
func NewHost(o HostOptions) *Host {
	return &Host{
		options:   o,
		recorder:  NewRecorder(o.RecordIdempotent),
		endpoints: make(map[fleet.Endpoint]*Endpoint),
	}
}

// Recorder returns the record of all the host's endpoints.
func (h *Host) Recorder() *Recorder {
	return h.recorder
}

// Add starts an endpoint.
func (h *Host) Add(spec Spec) (*Endpoint, error) {
	h.mu.Lock()
	h.added++
	seed := h.options.Seed<<16 + h.added
	h.mu.Unlock()
	e, err := newEndpoint(spec, h.recorder, seed, h.notifyChange)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.endpoints[e.Addr()] = e
	h.order = append(h.order, e.Addr())
	h.mu.Unlock()
	h.notifyChange()
	return e, nil
}

// Remove closes an endpoint immediately and removes it from the host.
func (h *Host) Remove(addr fleet.Endpoint) error {
	h.mu.Lock()
	e, ok := h.endpoints[addr]
	delete(h.endpoints, addr)
	h.mu.Unlock()
	if !ok {
		return fmt.Errorf("endpoint %s is not on this host", addr)
	}
	err := e.Close()
	h.notifyChange()
	return err
}

// Endpoint returns the endpoint at an address.
func (h *Host) Endpoint(addr fleet.Endpoint) (*Endpoint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.endpoints[addr]
	return e, ok
}

// Endpoints returns the endpoints in the order in which they were added.
func (h *Host) Endpoints() []*Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*Endpoint, 0, len(h.endpoints))
	for _, addr := range h.order {
		if e, ok := h.endpoints[addr]; ok {
			out = append(out, e)
		}
	}
	return out
}

// ServiceEndpoints returns the endpoints of one service in the order in which they were added.
func (h *Host) ServiceEndpoints(s fleet.Service) []*Endpoint {
	var out []*Endpoint
	for _, e := range h.Endpoints() {
		if e.spec.Service == s {
			out = append(out, e)
		}
	}
	return out
}

// Upstreams returns the endpoints as the platform's list shows them, without lag.
func (h *Host) Upstreams() map[fleet.Service][]fleet.Upstream {
	out := make(map[fleet.Service][]fleet.Upstream)
	for _, e := range h.Endpoints() {
		out[e.spec.Service] = append(out[e.spec.Service], e.Upstream())
	}
	return out
}

// Close stops every endpoint immediately.
func (h *Host) Close() error {
	var errs []error
	for _, e := range h.Endpoints() {
		errs = append(errs, e.Close())
	}
	return errors.Join(errs...)
}

func (h *Host) notifyChange() {
	if h.options.OnChange != nil {
		h.options.OnChange(h)
	}
}
