package endpoints

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// statusInterval is the time between two snapshots for Status.
const statusInterval = 250 * time.Millisecond

// Status is this instance's view of the health of all services that it carries or evaluates.
type Status struct {
	At       time.Time       `json:"at"`
	Services []ServiceStatus `json:"services"`
	// DroppedAttempts counts the attempts dropped because the control goroutine did not drain them in time.
	DroppedAttempts uint64 `json:"dropped_attempts"`
}

// ServiceStatus is this instance's view of the health of one service.
type ServiceStatus struct {
	Service          fleet.Service         `json:"service"`
	Carrying         bool                  `json:"carrying"`
	Evaluating       bool                  `json:"judging"`
	Evaluator        fleet.Ref             `json:"judge"`
	FloorSlots       int                   `json:"floor_slots"`
	ReadySlots       int                   `json:"ready_slots"`
	BudgetSlots      int                   `json:"budget_slots"`   // Slots that the evaluator may keep ejected; set at the evaluator only.
	CarrierVotes     int                   `json:"heard_carriers"` // Carriers with a valid vote; set at the evaluator only.
	Carriers         int                   `json:"carriers"`
	Endpoints        []EndpointStatus      `json:"endpoints"`
	Evaluated        []health.EndpointView `json:"judged,omitempty"` // The evaluator's own view; set at the evaluator only.
	DroppedEvidence  uint64                `json:"dropped_evidence"`
	DroppedDecisions uint64                `json:"dropped_verdicts"`
}

// EndpointStatus is a carrier's view of one endpoint, with the zone, slots and state that the platform lists.
type EndpointStatus struct {
	health.EndpointView
	Zone   fleet.Zone          `json:"zone"`
	Slots  int                 `json:"slots"`
	Listed fleet.UpstreamState `json:"listed"`
}

// Status returns the latest snapshot, which is immutable. Any goroutine may call it.
func (m *Manager) Status() *Status {
	return m.status.Load()
}

func (m *Manager) refreshStatus(now time.Time) {
	if now.Sub(m.statusAt) < statusInterval {
		return
	}
	m.statusAt = now
	status := &Status{At: now, DroppedAttempts: m.Dropped()}
	for _, s := range m.services {
		if s.carrying || s.evaluating {
			status.Services = append(status.Services, s.status(now))
		}
	}
	slices.SortFunc(status.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	m.status.Store(status)
}

func (s *service) status(now time.Time) ServiceStatus {
	status := ServiceStatus{
		Service:    s.name,
		Carrying:   s.carrying,
		Evaluating: s.evaluating,
		Evaluator:  s.evaluatorInstance.Ref,
		FloorSlots: s.template.FloorSlots,
		Carriers:   len(s.carriers),
	}
	for _, u := range s.upstreams {
		if u.State == fleet.UpstreamReady {
			status.ReadySlots += u.Slots
		}
	}
	if s.evaluating {
		status.BudgetSlots, status.CarrierVotes = s.evaluator.Budget(now)
		status.Evaluated = s.evaluator.Explain(now)
		status.DroppedEvidence = s.evaluator.Dropped
	}
	if s.carrying {
		status.DroppedDecisions = s.carrier.Dropped
		for i, v := range s.carrier.View(now) {
			u := s.upstreams[i]
			status.Endpoints = append(status.Endpoints, EndpointStatus{EndpointView: v, Zone: u.Zone, Slots: u.Slots, Listed: u.State})
		}
	}
	return status
}

// reportTransitions logs and traces the transitions that this instance's evaluator of a service has made.
func (m *Manager) reportTransitions(s *service) {
	if s.evaluator == nil {
		return
	}
	for _, transition := range s.evaluator.Transitions() {
		m.logTransition(transition)
		m.traceTransition(transition)
	}
}

func (m *Manager) logTransition(t health.Transition) {
	m.options.Log.Info("endpoint "+string(t.Action),
		"service", t.Service,
		"endpoint", t.Endpoint,
		"cause", t.Cause,
		"zones", t.Zones,
		"score", t.Score,
		"limit", t.Limit,
		"budget_slots", t.Budget,
		"heard", t.Votes,
		"carriers", t.Carriers,
		"hold_ms", t.Hold.Milliseconds(),
		"may_return", t.MayReturn,
	)
}

func (m *Manager) traceTransition(t health.Transition) {
	_, span := m.options.Tracer.Start(context.Background(), "health decision", trace.WithTimestamp(t.At))
	span.AddEvent(string(t.Action), trace.WithTimestamp(t.At), trace.WithAttributes(
		attribute.String("service", string(t.Service)),
		attribute.String("endpoint", string(t.Endpoint)),
		attribute.String("cause", t.Cause),
		attribute.Float64("score", t.Score),
		attribute.Float64("limit", t.Limit),
		attribute.Int("budget_slots", t.Budget),
		attribute.Int("heard", t.Votes),
		attribute.Int("carriers", t.Carriers),
		attribute.Int64("hold_ms", t.Hold.Milliseconds()),
	))
	span.End(trace.WithTimestamp(t.At))
}
