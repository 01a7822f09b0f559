package upstream

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Endpoint is one endpoint of a Host. It is safe for concurrent use.
type Endpoint struct {
	spec      Spec
	addr      fleet.Endpoint
	recorder  *Recorder
	onChange  func()
	gate      *connGate
	listener  net.Listener
	server    *http.Server
	slots     chan struct{}
	started   time.Time
	warmTimer *time.Timer
	done      chan struct{}

	mu            sync.Mutex
	random        *rand.Rand
	faults        Faults
	faultsAt      time.Time
	drainingSince time.Time // Zero while it accepts work.
	queued        int
	stats         Stats
	load          *loadHistory
	starts        []time.Time
}

// Stats are the counts of an endpoint.
type Stats struct {
	Endpoint     fleet.Endpoint      `json:"endpoint"`
	Service      fleet.Service       `json:"service"`
	State        fleet.UpstreamState `json:"state"`
	Received     uint64              `json:"received"` // Requests other than health and load probes.
	Started      uint64              `json:"started"`
	Finished     uint64              `json:"finished"`
	Failed       uint64              `json:"failed"`  // Ran, and answered as a fault demands.
	Refused      uint64              `json:"refused"` // Not started: malformed, shed, past the deadline, or draining.
	Cancelled    uint64              `json:"cancelled"`
	Probes       uint64              `json:"probes"`
	InFlight     int                 `json:"in_flight"`
	PeakInFlight int                 `json:"peak_in_flight"`
	Connections  int                 `json:"connections"`
	LastStart    time.Time           `json:"last_start"`
}

func newEndpoint(spec Spec, recorder *Recorder, seed uint64, onChange func()) (*Endpoint, error) {
	spec = spec.withDefaults()
	if err := spec.validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", spec.Addr)
	if err != nil {
		return nil, fmt.Errorf("listen on endpoint address %s of service %q: %w", spec.Addr, spec.Service, err)
	}
	now := time.Now()
	e := &Endpoint{
		spec:     spec,
		addr:     fleet.Endpoint(listener.Addr().String()),
		recorder: recorder,
		onChange: onChange,
		gate:     newConnGate(),
		slots:    make(chan struct{}, spec.Slots),
		started:  now,
		done:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, seed)),
		load:     newLoadHistory(now),
	}
	e.listener = &gatedListener{Listener: listener, gate: e.gate, connectTime: spec.ConnectTime}
	e.server = &http.Server{Handler: e, IdleTimeout: spec.IdleTimeout}
	if spec.ColdStart > 0 {
		e.warmTimer = time.AfterFunc(spec.ColdStart, onChange)
	}
	go e.run()
	return e, nil
}

func (e *Endpoint) run() {
	defer close(e.done)
	_ = e.server.Serve(e.listener)
}

// Addr returns the endpoint's IP address and port.
func (e *Endpoint) Addr() fleet.Endpoint {
	return e.addr
}

// Upstream returns the endpoint as the platform's list shows it, without lag.
func (e *Endpoint) Upstream() fleet.Upstream {
	return fleet.Upstream{Endpoint: e.addr, Zone: e.spec.Zone, Slots: e.spec.Slots, State: e.State()}
}

// State returns the endpoint's state: cold, ready or draining.
func (e *Endpoint) State() fleet.UpstreamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stateLocked(time.Now())
}

func (e *Endpoint) stateLocked(now time.Time) fleet.UpstreamState {
	switch {
	case !e.drainingSince.IsZero():
		return fleet.UpstreamDraining
	case now.Sub(e.started) < e.spec.ColdStart:
		return fleet.UpstreamCold
	default:
		return fleet.UpstreamReady
	}
}

// SetFaults replaces the endpoint's faults; a flapping period starts now.
func (e *Endpoint) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return fmt.Errorf("faults of endpoint %s: %w", e.addr, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultsAt = time.Now()
	return nil
}

// Faults returns the endpoint's faults.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetConnectivity sets the connectivity by caller address; nil means ConnectivityNormal for all.
func (e *Endpoint) SetConnectivity(from ConnectivityFunc) {
	e.gate.update(func() { e.gate.connectivity = from })
}

// SetConnectivityFrom sets the connectivity from one caller's address. It takes precedence over
// SetConnectivity.
func (e *Endpoint) SetConnectivityFrom(caller netip.Addr, connectivity Connectivity) {
	e.gate.update(func() { e.gate.overrides[caller.Unmap()] = connectivity })
}

// Drain starts draining: new work is refused, running work is completed.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	if e.drainingSince.IsZero() {
		e.drainingSince = time.Now()
	}
	e.mu.Unlock()
	e.onChange()
}

// DrainingSince returns when draining started; zero before.
func (e *Endpoint) DrainingSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drainingSince
}

// Stats returns the counts so far.
func (e *Endpoint) Stats() Stats {
	connections := e.gate.connections()
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Endpoint = e.addr
	out.Service = e.spec.Service
	out.State = e.stateLocked(time.Now())
	out.InFlight = len(e.slots)
	out.Connections = connections
	return out
}

// StartsBetween returns how many requests started from a until before b.
func (e *Endpoint) StartsBetween(a, b time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.starts {
		if !at.Before(a) && at.Before(b) {
			n++
		}
	}
	return n
}

// TimeUntilQuiet returns how long after t the endpoint last started work before a period of quiet
// without any start, and whether that period has passed yet. It measures how long a faulty endpoint
// keeps receiving work.
func (e *Endpoint) TimeUntilQuiet(t time.Time, quiet time.Duration) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := t
	for _, at := range e.starts {
		if at.Before(last) {
			continue
		}
		if at.Sub(last) >= quiet {
			return last.Sub(t), true
		}
		last = at
	}
	return last.Sub(t), time.Since(last) >= quiet
}

// Close stops the endpoint immediately and aborts running work.
func (e *Endpoint) Close() error {
	if e.warmTimer != nil {
		e.warmTimer.Stop()
	}
	err := e.server.Close()
	<-e.done
	return err
}

// Shutdown starts draining, waits until running work is answered or ctx ends, and stops the endpoint.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	e.Drain()
	if err := e.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop endpoint %s: %w", e.addr, err)
	}
	<-e.done
	return nil
}

// serviceTime draws the service time of one request.
func (e *Endpoint) serviceTime(now time.Time, f Faults) time.Duration {
	e.mu.Lock()
	logarithm := e.random.NormFloat64() * e.spec.Spread
	e.mu.Unlock()
	d := float64(e.spec.Median) * math.Exp(logarithm)
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	if left := e.spec.ColdStart - now.Sub(e.started); left > 0 {
		d *= 1 + (e.spec.ColdFactor-1)*float64(left)/float64(e.spec.ColdStart)
	}
	return time.Duration(d)
}

// currentFaults returns the faults that are active now.
func (e *Endpoint) currentFaults(now time.Time) Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.active(now, e.faultsAt) {
		return Faults{Health: e.faults.Health, Load: e.faults.Load}
	}
	return e.faults
}

func (e *Endpoint) drawFault(f Faults) faultKind {
	e.mu.Lock()
	defer e.mu.Unlock()
	return f.draw(e.random.Float64())
}
