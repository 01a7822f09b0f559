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

// Placement says which instances carry and judge a service. Carriers must follow from
// the roster's generation alone, the same at every instance; Judge may also follow from
// what this instance takes to be alive.
type Placement interface {
	Carriers(s fleet.Service, count int) []fleet.Instance
	Evaluator(s fleet.Service) (fleet.Instance, bool)
	// Incarnation returns the incarnation of an instance on the roster.
	Incarnation(id fleet.InstanceID) (fleet.Incarnation, bool)
}

// Publish is told the targets of a service whenever they change; nil when the service is not carried.
// It runs on the control goroutine.
type Publish func(service fleet.Service, targets []routing.Target, template rollout.ServiceTemplate)

// DefaultCarriers is the number of instances that carry a service.
const DefaultCarriers = 12

// Options are what a Duty is built from.
type Options struct {
	Health   health.Config // DefaultConfig when zero.
	Carriers int           // Instances that carry a service; DefaultCarriers when 0.
	Sender   control.Sender
	Publish  Publish
	Log      *slog.Logger // The default logger when nil.
	Tracer   trace.Tracer // None when nil.
}

// Manager is the health of all services at one instance.
type Manager struct {
	options    Options
	self       fleet.Instance
	generation uint64
	placement  Placement
	placed     uint64 // Counts the calls of SetFleet.
	ended      *endedLives
	config     *rollout.Config
	listing    metastore.Listing
	services   map[fleet.Service]*service
	attempts   attempts
	status     atomic.Pointer[Status]
	statusAt   time.Time
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

// NewManager returns a duty that holds nothing until it has a configuration, a fleet and a listing.
func NewManager(o Options) *Manager {
	o.setDefaults()
	d := &Manager{options: o, services: make(map[fleet.Service]*service)}
	d.ended = newEndedLives(o.Health.VoteLease + o.Health.DriftMargin)
	d.status.Store(&Status{})
	return d
}

// SetConfig takes a newer configuration.
func (d *Manager) SetConfig(now time.Time, c *rollout.Config) {
	d.config = c
	d.configure(now)
}

// SetFleet takes the roster's generation, who carries and judges what, and this instance.
func (d *Manager) SetFleet(now time.Time, generation uint64, p Placement, self fleet.Instance) {
	d.generation = generation
	d.placement = p
	d.self = self
	d.placed++
	d.ended.forget(now)
	d.configure(now)
}

// SetListing takes a newer list of the platform.
func (d *Manager) SetListing(now time.Time, l metastore.Listing) {
	d.listing = l
	d.configure(now)
}

// MarkLeaving notes that an upstream endpoint itself said that it is leaving. It gets no new work at once.
func (d *Manager) MarkLeaving(now time.Time, s fleet.Service, e fleet.Endpoint) {
	if state := d.services[s]; state != nil {
		state.leaving[e] = now
		d.configure(now)
		d.publish(now, state)
	}
}

// Observe takes one attempt. Any goroutine may call it; it never waits for control.
func (d *Manager) Observe(s fleet.Service, a health.Attempt) {
	d.attempts.add(s, a)
}

// Dropped returns the number of attempts that Observe dropped because too many waited.
func (d *Manager) Dropped() uint64 {
	return d.attempts.dropped.Load()
}

// configure brings every service in line with the configuration, the fleet and the listing.
func (d *Manager) configure(now time.Time) {
	if d.config == nil || d.placement == nil {
		return
	}
	for name := range d.services {
		if _, ok := d.config.Services[name]; !ok {
			d.options.Publish(name, nil, rollout.ServiceTemplate{Name: name})
			delete(d.services, name)
		}
	}
	for name, template := range d.config.Services {
		state := d.services[name]
		if state == nil {
			state = newService(name)
			d.services[name] = state
		}
		state.template = template
		state.upstreams = d.upstreams(now, state)
		d.assign(now, state)
	}
}

// Kinds lists the messages that the duty takes.
func (d *Manager) Kinds() []wire.Kind {
	return []wire.Kind{wire.KindEvidence, wire.KindDecision}
}

// Deliver takes evidence for the judges or verdicts for the carriers of this instance.
func (d *Manager) Deliver(now time.Time, from fleet.Ref, e wire.Envelope) error {
	switch e.Kind {
	case wire.KindEvidence:
		var body ServiceEvidence
		if err := wire.DecodeBody(e, &body); err != nil {
			return err
		}
		return d.deliverEvidence(now, from, body)
	case wire.KindDecision:
		var body ServiceDecision
		if err := wire.DecodeBody(e, &body); err != nil {
			return err
		}
		return d.deliverVerdicts(now, from, body)
	default:
		return fmt.Errorf("%w: kind %d is not of the health duty", wire.ErrMalformed, e.Kind)
	}
}

// Tick sends what is due, moves probation on and publishes changed targets.
func (d *Manager) Tick(now time.Time) {
	d.attempts.take(func(a attempt) {
		if state := d.services[a.service]; state != nil && state.carrying {
			state.carrier.Observe(now, a.Attempt)
		}
	})
	var due outbox
	for _, state := range d.services {
		if state.expireFormer(now, d.ended) {
			d.assign(now, state)
		}
		if state.judge != nil {
			due.add(state.name, state.judge.Tick(now))
		}
		if state.carrier != nil {
			due.add(state.name, state.carrier.Tick(now))
		}
	}
	d.flush(now, due)
	for _, state := range d.services {
		d.report(state)
		d.publish(now, state)
	}
	d.refreshStatus(now)
}
