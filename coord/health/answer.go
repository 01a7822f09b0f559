package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// decisionFor returns the decision that answers one Evidence of a carrier.
func (ev *Evaluator) decisionFor(now time.Time, to fleet.Ref, sequence uint64) *Decision {
	ev.number++
	ev.voters[to].recordDecision(now, ev.number)
	d := &Decision{Sequence: sequence, Number: ev.number}
	removed := ev.selectRemovals(now)
	carrier, ok := ev.carriers[to]
	if !ok {
		return d
	}
	for _, ep := range removed {
		if ev.outForZone(ep, ev.zoneOf[carrier]) {
			d.Removals = append(d.Removals, ev.removalFor(now, ep, carrier))
		}
	}
	return d
}

// selectRemovals reserves budget for the removed endpoints, as far as it lasts, and marks the
// others as kept in service by the floor. It returns all removed endpoints: those with budget
// first, in the order of removedEndpoints.
func (ev *Evaluator) selectRemovals(now time.Time) []*endpointState {
	ev.ledger.expire(now)
	removed := ev.removedEndpoints()
	if len(removed) == 0 {
		ev.ledger.last = nil
		return nil
	}
	allowance, _ := ev.Budget(now)
	reservation := ev.ledger.begin(allowance)
	for _, ep := range removed {
		ep.removal.atFloor = !reservation.add(ep.key, ep.readySlots(), ev.removalZones(ep))
	}
	reservation.commit(now, ev.cfg.chargeDuration())
	slices.SortStableFunc(removed, func(a, b *endpointState) int {
		return cmp.Compare(sortRank(a.removal.atFloor), sortRank(b.removal.atFloor))
	})
	return removed
}

// removedEndpoints returns the removed endpoints: those in the last decision first, then by falling score.
func (ev *Evaluator) removedEndpoints() []*endpointState {
	var removed []*endpointState
	for _, ep := range ev.endpoints {
		if ep.removed() {
			removed = append(removed, ep)
		}
	}
	slices.SortStableFunc(removed, func(a, b *endpointState) int {
		if c := cmp.Compare(sortRank(!ev.inLastDecision(a)), sortRank(!ev.inLastDecision(b))); c != 0 {
			return c
		}
		return cmp.Compare(b.removal.score, a.removal.score)
	})
	return removed
}

func (ev *Evaluator) inLastDecision(ep *endpointState) bool {
	for _, named := range ev.ledger.last {
		if _, ok := named[ep.key]; ok {
			return true
		}
	}
	return false
}

func sortRank(later bool) int {
	if later {
		return 1
	}
	return 0
}

// removalZones returns the zones whose carriers a removal applies to.
func (ev *Evaluator) removalZones(ep *endpointState) []fleet.Zone {
	if ep.removal.zones == nil {
		return ev.zones
	}
	return ep.removal.zones
}

func (ev *Evaluator) removalFor(now time.Time, ep *endpointState, carrier int) Removal {
	state := ep.removal.state
	switch {
	case ep.removal.atFloor:
		state = StateInService
	case state == StateTrial && !ev.sendsTrials(now, ep, carrier):
		state = StateEjected
	}
	return Removal{
		Endpoint: ep.key,
		State:    state,
		Score:    float32(ep.removal.score),
		Limit:    float32(ev.operating.Limit),
		ReturnIn: uint32(max(ep.removal.mayReturn.Sub(now), 0).Milliseconds()),
	}
}

// Explain returns the evaluator's state of every endpoint.
func (ev *Evaluator) Explain(now time.Time) []EndpointView {
	views := make([]EndpointView, 0, len(ev.endpoints))
	for _, ep := range ev.endpoints {
		v := EndpointView{
			Endpoint:  ep.upstream.Endpoint,
			State:     ep.removal.state,
			Evaluator: ev.self.Ref,
			Score:     ep.score(),
			Limit:     ev.operating.Limit,
			AtFloor:   ep.removal.atFloor,
		}
		if ep.removed() {
			v.Score = ep.removal.score
			v.MayReturn = ep.removal.mayReturn
			v.Until = now.Add(ev.cfg.Lease)
		}
		if v.AtFloor {
			v.State = StateInService
		}
		views = append(views, v)
	}
	return views
}
