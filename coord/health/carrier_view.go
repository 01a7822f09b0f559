package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// View returns every endpoint of the service, in the order of the platform's list. Removals that
// would break the floor are left out: those of newer decisions go first, and within a decision
// those that it lists first.
func (c *Carrier) View(now time.Time) []EndpointView {
	views := make([]EndpointView, len(c.upstreams))
	for i, u := range c.upstreams {
		views[i] = EndpointView{Endpoint: u.Endpoint, State: StateInService}
	}
	spare := readySlots(c.upstreams) - c.params.FloorSlots
	for _, evaluator := range c.evaluatorsByNewest(now) {
		spare = c.applyRemovals(views, evaluator, spare)
	}
	return views
}

// evaluatorsByNewest returns the evaluators with an unexpired decision, the newest decision first.
func (c *Carrier) evaluatorsByNewest(now time.Time) []fleet.Ref {
	var evaluators []fleet.Ref
	for evaluator, held := range c.decisions {
		if now.Before(held.until) {
			evaluators = append(evaluators, evaluator)
		}
	}
	slices.SortFunc(evaluators, func(a, b fleet.Ref) int {
		return cmp.Compare(c.decisions[b].sequence, c.decisions[a].sequence)
	})
	return evaluators
}

// applyRemovals marks the removals of one evaluator's decision while spare slots last, and returns the slots left.
func (c *Carrier) applyRemovals(views []EndpointView, evaluator fleet.Ref, spare int) int {
	held := c.decisions[evaluator]
	for _, r := range held.removals {
		i, ok := c.byKey[r.Endpoint]
		if !ok || views[i].State != StateInService {
			continue
		}
		v := &views[i]
		v.Evaluator = evaluator
		v.Score = float64(r.Score)
		v.Limit = float64(r.Limit)
		v.Until = held.until
		v.MayReturn = held.received.Add(time.Duration(r.ReturnIn) * time.Millisecond)
		cost := 0
		if c.upstreams[i].State == fleet.UpstreamReady {
			cost = c.upstreams[i].Slots
		}
		if !isRemoved(r.State) || cost > spare {
			v.AtFloor = true
			continue
		}
		v.State = r.State
		spare -= cost
	}
	return spare
}

// isRemoved reports whether a state takes an endpoint out of normal service.
func isRemoved(s State) bool {
	return s == StateEjected || s == StateAvoided || s == StateTrial
}
