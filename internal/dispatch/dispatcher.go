package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

// Dispatcher sends the requests for every service of this instance to upstreams.
type Dispatcher struct {
	settings Settings
	hooks    Hooks

	mu       sync.RWMutex
	services map[fleet.Service]*service
	stopping bool
	pending  sync.WaitGroup // Running calls of Execute.
}

// New returns a dispatcher without services.
func New(settings Settings, hooks Hooks) *Dispatcher {
	return &Dispatcher{
		settings: settings.withDefaults(),
		hooks:    hooks,
		services: make(map[fleet.Service]*service),
	}
}

// SetTargets replaces the settings and the endpoints of a service.
func (d *Dispatcher) SetTargets(name fleet.Service, cfg routing.Config, targets []routing.Target) {
	d.mu.Lock()
	s := d.services[name]
	if s == nil {
		s = newService(name, d.settings, d.hooks, d.random())
		d.services[name] = s
	}
	d.mu.Unlock()
	s.setTargets(cfg, targets)
}

// Execute sends a request to its service's upstreams and returns the answer. An idempotent
// request may be retried and hedged. Any other is sent again only while no earlier attempt
// can have run. Execute returns soon after ctx ends or the request's deadline passes.
func (d *Dispatcher) Execute(ctx context.Context, r exchange.Request) exchange.Answer {
	r.Deadline = d.deadline(ctx, r.Deadline)
	s, rejection := d.admit(r)
	if s == nil {
		return countAnswer(rejection)
	}
	defer d.pending.Done()
	counters.Add(countRequests, 1)
	return countAnswer(s.execute(ctx, r))
}

// Drain rejects new requests, waits for the running ones and closes the connections. It
// returns ctx's error if ctx ends first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		d.pending.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		d.closeAll()
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain the dispatcher: %w", ctx.Err())
	}
}

// admit adds a request to pending and returns its service, or a rejection if the service is
// unknown or the instance is stopping.
func (d *Dispatcher) admit(r exchange.Request) (*service, exchange.Answer) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	mayOutliveStop := r.Key == "" && d.hooks.MayStart != nil && !d.hooks.MayStart(time.Now(), r.Deadline)
	if d.stopping || mayOutliveStop {
		return nil, exchange.Rejection(result.CodeStopping, "")
	}
	s := d.services[r.Service]
	if s == nil {
		return nil, exchange.Rejection(result.CodeNoEndpoint, fmt.Sprintf("Service %q.", r.Service))
	}
	d.pending.Add(1)
	return s, exchange.Answer{}
}

// deadline returns the earlier of the request's deadline (the default if it has none) and ctx's.
func (d *Dispatcher) deadline(ctx context.Context, requested time.Time) time.Time {
	if requested.IsZero() {
		requested = time.Now().Add(d.settings.Deadline)
	}
	if at, ok := ctx.Deadline(); ok && at.Before(requested) {
		return at
	}
	return requested
}

func (d *Dispatcher) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		s.close()
	}
}

func (d *Dispatcher) random() *rand.Rand {
	if d.settings.Seed == 0 {
		return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return rand.New(rand.NewPCG(d.settings.Seed, uint64(len(d.services))))
}

// countAnswer counts an answer by its result code and returns it.
func countAnswer(a exchange.Answer) exchange.Answer {
	counters.Add(codeCounter(a.Code), 1)
	return a
}

// codeCounter returns the name of a result code's counter.
func codeCounter(code result.Code) string {
	if entry, ok := result.Lookup(code); ok {
		return countCodePrefix + entry.Name
	}
	return countCodePrefix + "unlisted"
}
