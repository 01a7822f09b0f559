package endpoints

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Placement assigns services to instances. Carriers must depend on the roster's generation
// alone, so that every instance computes the same set. Evaluator may also depend on which
// instances this one considers alive.
type Placement interface {
	Carriers(s fleet.Service, count int) []fleet.Instance
	Evaluator(s fleet.Service) (fleet.Instance, bool)
	// Incarnation returns the incarnation of an instance on the roster.
	Incarnation(id fleet.InstanceID) (fleet.Incarnation, bool)
}

// Publish is called on the control goroutine whenever the targets of a service change.
// targets is nil when this instance does not carry the service.
type Publish func(service fleet.Service, targets []routing.Target, template rollout.ServiceTemplate)

// DefaultCarriers is the default number of instances that carry a service.
const DefaultCarriers = 12

// Options configure a Manager.
type Options struct {
	Health   health.Config // health.DefaultConfig when zero.
	Carriers int           // Instances that carry a service; DefaultCarriers when zero.
	Sender   control.Sender
	Publish  Publish
	Log      *slog.Logger // slog.Default when nil.
	Tracer   trace.Tracer // No tracing when nil.
}

// Manager runs the carriers and evaluators of all services at one instance.
type Manager struct {
	options      Options
	self         fleet.Instance
	generation   uint64
	placement    Placement
	fleetVersion uint64 // Counts the calls of SetFleet.
	ended        *endedIncarnations
	config       *rollout.Config
	listing      metastore.Listing
	services     map[fleet.Service]*service
	attempts     attemptBuffer
	status       atomic.Pointer[Status]
	statusAt     time.Time
}

func (o *Options) setDefaults() {
	if o.Health == (health.Config{}) {
		o.Health = health.DefaultConfig()
	}
	if o.Carriers == 0 {
		o.Carriers = DefaultCarriers
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("health")
	}
}

// NewManager returns a Manager that has no endpoints until the configuration, the fleet and
// the listing are set.
func NewManager(o Options) *Manager {
	o.setDefaults()
	m := &Manager{options: o, services: make(map[fleet.Service]*service)}
	m.ended = newEndedIncarnations(o.Health.VoteLease + o.Health.DriftMargin)
	m.status.Store(&Status{})
	return m
}

// SetConfig replaces the configuration.
func (m *Manager) SetConfig(now time.Time, c *rollout.Config) {
	m.config = c
	m.configure(now)
}

// SetFleet replaces the roster's generation, the placement of services, and this instance.
func (m *Manager) SetFleet(now time.Time, generation uint64, p Placement, self fleet.Instance) {
	m.generation = generation
	m.placement = p
	m.self = self
	m.fleetVersion++
	m.ended.prune(now)
	m.configure(now)
}

// SetListing replaces the platform's list of upstreams.
func (m *Manager) SetListing(now time.Time, l metastore.Listing) {
	m.listing = l
	m.configure(now)
}

// MarkDraining records that an endpoint announced in a response that it is draining. It gets no
// new requests from now on.
func (m *Manager) MarkDraining(now time.Time, s fleet.Service, e fleet.Endpoint) {
	if state := m.services[s]; state != nil {
		state.draining[e] = now
		m.configure(now)
		m.publish(now, state)
	}
}

// Observe buffers the result of one attempt. Any goroutine may call it; it never waits for
// the control goroutine.
func (m *Manager) Observe(s fleet.Service, a health.Attempt) {
	m.attempts.add(s, a)
}

// Dropped returns the number of attempts that Observe dropped because the buffer was full.
func (m *Manager) Dropped() uint64 {
	return m.attempts.dropped.Load()
}

// configure updates every service after a change of the configuration, the fleet or the listing.
func (m *Manager) configure(now time.Time) {
	if m.config == nil || m.placement == nil {
		return
	}
	for name := range m.services {
		if _, ok := m.config.Services[name]; !ok {
			m.options.Publish(name, nil, rollout.ServiceTemplate{Name: name})
			delete(m.services, name)
		}
	}
	for name, template := range m.config.Services {
		state := m.services[name]
		if state == nil {
			state = newService(name)
			m.services[name] = state
		}
		state.template = template
		state.upstreams = m.upstreams(now, state)
		m.assign(now, state)
	}
}

// Kinds implements control.Component.
func (m *Manager) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindEvidence, wire.KindDecision}
}

// Deliver implements control.Component. It handles evidence for this instance's evaluators
// and decisions for its carriers.
func (m *Manager) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	switch e.Kind {
	case wire.KindEvidence:
		var body ServiceEvidence
		if err := wire.DecodeBody(e, &body); err != nil {
			return err
		}
		return m.deliverEvidence(now, from, body)
	case wire.KindDecision:
		var body ServiceDecision
		if err := wire.DecodeBody(e, &body); err != nil {
			return err
		}
		return m.deliverDecisions(now, from, body)
	default:
		return fmt.Errorf("%w: kind %d is not handled by endpoint health", wire.ErrMalformed, e.Kind)
	}
}

// Tick implements control.Component. It sends due messages, advances trials and publishes changed targets.
func (m *Manager) Tick(now time.Time) {
	m.attempts.drain(func(a attempt) {
		if state := m.services[a.service]; state != nil && state.carrying {
			state.carrier.Observe(now, a.Attempt)
		}
	})
	var due outbox
	for _, state := range m.services {
		if state.expireFormer(now, m.ended) {
			m.assign(now, state)
		}
		if state.evaluator != nil {
			due.add(state.name, state.evaluator.Tick(now))
		}
		if state.carrier != nil {
			due.add(state.name, state.carrier.Tick(now))
		}
	}
	m.flush(now, due)
	for _, state := range m.services {
		m.reportTransitions(state)
		m.publish(now, state)
	}
	m.refreshStatus(now)
}
