package health

import (
	"errors"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

var (
	self   = fleet.Instance{Ref: fleet.Ref{ID: "i0", Incarnation: 1}, Zone: "a"}
	first  = fleet.Ref{ID: "j1", Incarnation: 1}
	second = fleet.Ref{ID: "j2", Incarnation: 1}
)

func newTestCarrier(now time.Time, evaluator fleet.Ref) *Carrier {
	c := NewCarrier(self, DefaultConfig())
	configure(c, now, evaluator)
	return c
}

func configure(c *Carrier, now time.Time, evaluator fleet.Ref) {
	upstreams := []fleet.Upstream{
		{Endpoint: endpointName(0), Slots: 3, State: fleet.UpstreamReady},
		{Endpoint: endpointName(1), Slots: 3, State: fleet.UpstreamReady},
	}
	p := Parameters{Service: "s", Revision: 1, FloorSlots: 3}
	c.Configure(now, p, Assignment{Evaluator: evaluator, Carriers: []fleet.Instance{self}}, upstreams)
}

func send(t *testing.T, c *Carrier, now time.Time) *Evidence {
	t.Helper()
	sends := c.Tick(now)
	if len(sends) != 1 {
		t.Fatalf("carrier sends %d messages, want 1", len(sends))
	}
	return sends[0].Evidence
}

func eject(sequence uint64, endpoints ...int) *Decision {
	d := &Decision{Sequence: sequence, Number: 1}
	for _, e := range endpoints {
		d.Removals = append(d.Removals, Removal{Endpoint: KeyOf(endpointName(e)), State: StateEjected})
	}
	return d
}

func TestCarrierVotesForOneEvaluatorAtATime(t *testing.T) {
	cfg := DefaultConfig()
	now := time.Unix(1000, 0)
	c := newTestCarrier(now, first)
	if send(t, c, now).Vote {
		t.Fatal("a new incarnation votes while a vote of the earlier one may be valid")
	}
	now = now.Add(cfg.VoteLease + cfg.DriftMargin)
	if !send(t, c, now).Vote {
		t.Fatal("the carrier does not vote for its evaluator")
	}
	configure(c, now, second)
	for _, wait := range []time.Duration{cfg.VoteLease / 2, cfg.VoteLease/2 - time.Millisecond} {
		now = now.Add(wait)
		if send(t, c, now).Vote {
			t.Fatalf("the carrier votes for a second evaluator %v after its first vote", wait)
		}
	}
	now = now.Add(cfg.KeepAlive)
	if !send(t, c, now).Vote {
		t.Fatal("the carrier does not vote for its new evaluator")
	}
}

func TestLeaseStartsWhenCarrierSendsEvidence(t *testing.T) {
	cfg := DefaultConfig()
	start := time.Unix(1000, 0)
	c := newTestCarrier(start, first)
	e := send(t, c, start)
	late := start.Add(cfg.Lease - time.Millisecond)
	if err := c.Deliver(late, first, eject(e.Sequence, 0)); err != nil {
		t.Fatal(err)
	}
	if got := c.View(late)[0].State; got != StateEjected {
		t.Fatalf("state %d, want ejected", got)
	}
	if got := c.View(start.Add(cfg.Lease))[0].State; got != StateInService {
		t.Fatalf("state %d one lease after the evidence, want in service", got)
	}
}

func TestCarrierDropsInvalidDecisions(t *testing.T) {
	cfg := DefaultConfig()
	start := time.Unix(1000, 0)
	c := newTestCarrier(start, first)
	one := send(t, c, start)
	two := send(t, c, start.Add(cfg.KeepAlive))
	now := start.Add(time.Second)
	if err := c.Deliver(now, first, eject(two.Sequence)); err != nil {
		t.Fatal(err)
	}
	for name, f := range map[string]func() error{
		"replayed":             func() error { return c.Deliver(now, first, eject(two.Sequence, 0)) },
		"older":                func() error { return c.Deliver(now, first, eject(one.Sequence, 0)) },
		"of another evaluator": func() error { return c.Deliver(now, second, eject(two.Sequence, 0)) },
		"without evidence":     func() error { return c.Deliver(now, first, eject(77, 0)) },
		"late": func() error {
			return c.Deliver(start.Add(cfg.KeepAlive+cfg.Lease), first, eject(two.Sequence, 0))
		},
	} {
		if err := f(); !errors.Is(err, ErrDecisionDropped) {
			t.Errorf("decision %s: error %v, want %v", name, err, ErrDecisionDropped)
		}
	}
	if c.Dropped != 5 || c.View(now)[0].State != StateInService {
		t.Fatalf("dropped %d decisions, want 5; state %d, want in service", c.Dropped, c.View(now)[0].State)
	}
}

func TestCarrierKeepsFloorDespiteDecision(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCarrier(now, first)
	e := send(t, c, now)
	if err := c.Deliver(now, first, eject(e.Sequence, 0, 1)); err != nil {
		t.Fatal(err)
	}
	views := c.View(now)
	if views[0].State != StateEjected || views[1].State != StateInService || !views[1].AtFloor {
		t.Fatalf("views %+v, want the first ejected and the second kept in service by the floor", views)
	}
}
