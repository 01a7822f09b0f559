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

// Status is the health of all services as one instance sees it.
type Status struct {
	At       time.Time       `json:"at"`
	Services []ServiceStatus `json:"services"`
	// DroppedAttempts counts the attempts that came faster than control took them.
	DroppedAttempts uint64 `json:"dropped_attempts"`
}

// ServiceStatus is the health of one service as one instance sees it.
type ServiceStatus struct {
	Service          fleet.Service         `json:"service"`
	Carrying         bool                  `json:"carrying"`
	Evaluating       bool                  `json:"judging"`
	Evaluator        fleet.Ref             `json:"judge"`
	FloorSlots       int                   `json:"floor_slots"`
	ReadySlots       int                   `json:"ready_slots"`
	BudgetSlots      int                   `json:"budget_slots"`   // That the judge may hold in ejections; of a judge only.
	CarrierVotes     int                   `json:"heard_carriers"` // Of a judge only.
	Carriers         int                   `json:"carriers"`
	Endpoints        []EndpointStatus      `json:"endpoints"`
	Evaluated        []health.EndpointView `json:"judged,omitempty"` // Of a judge only.
	DroppedEvidence  uint64                `json:"dropped_evidence"`
	DroppedDecisions uint64                `json:"dropped_verdicts"`
}

// EndpointStatus is one endpoint in a carrier's view, with what the platform lists.
type EndpointStatus struct {
	health.EndpointView
	Zone   fleet.Zone          `json:"zone"`
	Slots  int                 `json:"slots"`
	Listed fleet.UpstreamState `json:"listed"`
}

// Status returns the latest snapshot. It is immutable; any goroutine may call it.
func (d *Manager) Status() *Status {
	return d.status.Load()
}

func (d *Manager) refreshStatus(now time.Time) {
	if now.Sub(d.statusAt) < statusInterval {
		return
	}
	d.statusAt = now
	status := &Status{At: now, DroppedAttempts: d.Dropped()}
	for _, s := range d.services {
		if s.carrying || s.judging {
			status.Services = append(status.Services, s.status(now))
		}
	}
	slices.SortFunc(status.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	d.status.Store(status)
}

func (s *service) status(now time.Time) ServiceStatus {
	status := ServiceStatus{
		Service:    s.name,
		Carrying:   s.carrying,
		Evaluating: s.judging,
		Evaluator:  s.assigned.Ref,
		FloorSlots: s.template.FloorSlots,
		Carriers:   len(s.carriers),
	}
	for _, u := range s.upstreams {
		if u.State == fleet.UpstreamReady {
			status.ReadySlots += u.Slots
		}
	}
	if s.judging {
		status.BudgetSlots, status.CarrierVotes = s.judge.Budget(now)
		status.Evaluated = s.judge.Explain(now)
		status.DroppedEvidence = s.judge.Dropped
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

// report logs and traces the decisions that a service's judge has made.
func (d *Manager) report(s *service) {
	if s.judge == nil {
		return
	}
	for _, decision := range s.judge.Transitions() {
		d.logDecision(decision)
		d.traceDecision(decision)
	}
}

func (d *Manager) logDecision(x health.Transition) {
	d.options.Log.Info("endpoint "+string(x.Action),
		"service", x.Service,
		"endpoint", x.Endpoint,
		"cause", x.Cause,
		"zones", x.Zones,
		"score", x.Score,
		"limit", x.Limit,
		"budget_slots", x.Budget,
		"heard", x.Votes,
		"carriers", x.Carriers,
		"hold_ms", x.Hold.Milliseconds(),
		"may_return", x.MayReturn,
	)
}

func (d *Manager) traceDecision(x health.Transition) {
	_, span := d.options.Tracer.Start(context.Background(), "health decision", trace.WithTimestamp(x.At))
	span.AddEvent(string(x.Action), trace.WithTimestamp(x.At), trace.WithAttributes(
		attribute.String("service", string(x.Service)),
		attribute.String("endpoint", string(x.Endpoint)),
		attribute.String("cause", x.Cause),
		attribute.Float64("score", x.Score),
		attribute.Float64("limit", x.Limit),
		attribute.Int("budget_slots", x.Budget),
		attribute.Int("heard", x.Votes),
		attribute.Int("carriers", x.Carriers),
		attribute.Int64("hold_ms", x.Hold.Milliseconds()),
	))
	span.End(trace.WithTimestamp(x.At))
}
