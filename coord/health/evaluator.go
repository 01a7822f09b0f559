package health

import (
	"fmt"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Evaluator decides which endpoints of one service are out of service.
type Evaluator struct {
	self          fleet.Instance
	cfg           Config
	params        Parameters
	assignment    Assignment
	operating     OperatingPoint
	noBudgetUntil time.Time // Votes of a set of carriers that is not in Assignment.Former may be valid until then.

	carriers map[fleet.Ref]int // Index among assignment.Carriers.
	voters   map[fleet.Ref]*voter
	zones    []fleet.Zone // Of the carriers.
	zoneOf   []int        // Index into zones, by carrier.

	endpoints   []*endpointState
	byKey       map[EndpointKey]*endpointState
	baselines   []baseline // By scope: all carriers, then each zone.
	baselinesAt time.Time

	ledger      ledger
	number      uint64 // Of the last decision.
	transitions []Transition

	// Dropped counts the evidence that Deliver rejected.
	Dropped uint64
}

// NewEvaluator returns the evaluator of one service at an instance.
func NewEvaluator(self fleet.Instance, cfg Config) *Evaluator {
	return &Evaluator{
		self:   self,
		cfg:    cfg,
		voters: make(map[fleet.Ref]*voter),
		ledger: newLedger(),
	}
}

// Configure sets the service's parameters, its carriers, and its endpoints as the platform lists them.
func (ev *Evaluator) Configure(now time.Time, p Parameters, a Assignment, upstreams []fleet.Upstream) {
	if ev.number == 0 {
		ev.number = uint64(now.UnixNano()) // Distinct from the numbers of an earlier evaluator of this instance.
	}
	changed := !sameCarriers(ev.assignment.Carriers, a.Carriers)
	if changed && !isFormer(a, ev.assignment.Carriers) {
		ev.noBudgetUntil = now.Add(ev.cfg.VoteLease + ev.cfg.DriftMargin)
	}
	ev.params = p
	ev.assignment = a
	ev.operating = Threshold(p, len(upstreams))
	if changed {
		ev.setCarriers()
	}
	ev.updateVoters()
	ev.setEndpoints(upstreams, changed)
	ev.updateBaselines(now)
}

// sameCarriers reports whether two lists hold the same incarnations of instances, in the same zones and order.
func sameCarriers(a, b []fleet.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Instance) bool { return x.Ref == y.Ref && x.Zone == y.Zone })
}

// isFormer reports whether a set of carriers is one of an assignment's former sets.
func isFormer(a Assignment, carriers []fleet.Instance) bool {
	if carriers == nil {
		return false
	}
	return slices.ContainsFunc(a.Former, func(f []fleet.Instance) bool { return sameCarriers(f, carriers) })
}

func (ev *Evaluator) setCarriers() {
	ev.carriers = make(map[fleet.Ref]int, len(ev.assignment.Carriers))
	ev.zones = nil
	ev.zoneOf = make([]int, len(ev.assignment.Carriers))
	for i, c := range ev.assignment.Carriers {
		ev.carriers[c.Ref] = i
		zone := slices.Index(ev.zones, c.Zone)
		if zone < 0 {
			zone = len(ev.zones)
			ev.zones = append(ev.zones, c.Zone)
		}
		ev.zoneOf[i] = zone
	}
}

// updateVoters adds the new carriers and drops the instances that are in no current or former set of carriers.
func (ev *Evaluator) updateVoters() {
	updated := make(map[fleet.Ref]*voter)
	for _, set := range append([][]fleet.Instance{ev.assignment.Carriers}, ev.assignment.Former...) {
		for _, c := range set {
			if v := ev.voters[c.Ref]; v != nil {
				updated[c.Ref] = v
			} else if updated[c.Ref] == nil {
				updated[c.Ref] = &voter{}
			}
		}
	}
	ev.voters = updated
}

// Deliver handles evidence and returns the decision that answers it. Rejected evidence returns an
// error that wraps ErrEvidenceDropped.
func (ev *Evaluator) Deliver(now time.Time, from fleet.Ref, e *Evidence) ([]Send, error) {
	v := ev.voters[from]
	if v == nil {
		return nil, ev.drop(from, "the sender is not a carrier")
	}
	if e.Revision != ev.params.Revision {
		return nil, ev.drop(from, fmt.Sprintf("its parameter revision is %d, want %d", e.Revision, ev.params.Revision))
	}
	if e.Sequence <= v.sequence {
		return nil, ev.drop(from, fmt.Sprintf("sequence %d is not above %d", e.Sequence, v.sequence))
	}
	if err := e.validate(); err != nil {
		return nil, ev.drop(from, err.Error())
	}
	v.sequence = e.Sequence
	if e.Vote {
		v.recordAck(e.Ack, ev.cfg.voteValidity())
	}
	if carrier, ok := ev.carriers[from]; ok {
		ev.observe(now, carrier, e)
	}
	return []Send{{To: from, Decision: ev.decisionFor(now, from, e.Sequence)}}, nil
}

func (ev *Evaluator) drop(from fleet.Ref, reason string) error {
	ev.Dropped++
	return fmt.Errorf("%w: from %s for service %q: %s", ErrEvidenceDropped, from, ev.params.Service, reason)
}

func (ev *Evaluator) observe(now time.Time, carrier int, e *Evidence) {
	var reported []*endpointState
	for _, r := range e.Reports {
		if ep := ev.byKey[r.Endpoint]; ep != nil && ev.observeRequests(now, ep, carrier, r) {
			reported = append(reported, ep)
		}
	}
	for _, ep := range reported { // After the loop above, so that the message's reports on the peers count.
		ev.decide(now, ep, ev.zoneOf[carrier])
	}
	for _, r := range e.Trials {
		if ep := ev.byKey[r.Endpoint]; ep != nil {
			ev.observeTrial(now, ep, carrier, r)
		}
	}
}

// Tick updates the baselines and starts and ends trial requests. Decisions are sent only as
// answers to evidence, so it returns nothing to send.
func (ev *Evaluator) Tick(now time.Time) []Send {
	if now.Sub(ev.baselinesAt) >= ev.cfg.Interval {
		ev.updateBaselines(now)
	}
	for _, ep := range ev.endpoints {
		ev.advanceProbation(now, ep)
	}
	return nil
}

// updateBaselines recomputes what a healthy request looks like, over all carriers and per zone.
func (ev *Evaluator) updateBaselines(now time.Time) {
	ev.baselinesAt = now
	ev.baselines = make([]baseline, 1+len(ev.zones))
	for i := range ev.baselines {
		fallback := defaultBaseline()
		if i > 0 {
			fallback = ev.baselines[0]
		}
		all := make([]*averages, 0, len(ev.endpoints))
		for _, ep := range ev.endpoints {
			all = append(all, &ep.scopes[i].averages)
		}
		ev.baselines[i] = baselineOf(all, fallback)
	}
}

// Budget returns the slots that this evaluator may remove now, and the carriers with a valid vote for it.
func (ev *Evaluator) Budget(now time.Time) (slots, votes int) {
	votes = ev.votes(now, ev.assignment.Carriers)
	if now.Before(ev.noBudgetUntil) {
		return 0, votes
	}
	budget := ev.readySlots() - ev.params.FloorSlots
	slots = budgetShare(budget, len(ev.assignment.Carriers), votes)
	for _, former := range ev.assignment.Former {
		slots = min(slots, budgetShare(budget, len(former), ev.votes(now, former)))
	}
	return slots, votes
}

func (ev *Evaluator) votes(now time.Time, carriers []fleet.Instance) int {
	count := 0
	for _, c := range carriers {
		if v := ev.voters[c.Ref]; v != nil && now.Before(v.voteUntil) {
			count++
		}
	}
	return count
}

func (ev *Evaluator) readySlots() int {
	total := 0
	for _, ep := range ev.endpoints {
		total += ep.readySlots()
	}
	return total
}
