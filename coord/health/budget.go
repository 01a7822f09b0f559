package health

import "github.com/damaskcove/damaskcove/coord/fleet"

// budgetShare returns how many slots of a service's budget an evaluator may remove. carriers is
// the number of the service's carriers, and votes the number of those that vote for it.
//
// A carrier votes for one evaluator at a time, so the evaluators of one set of carriers hold
// disjoint sets of votes and at most one holds a majority. The one with the majority gets
// what is left when all other carriers vote for a single other evaluator. The shares of the
// others are rounded down, so all shares add up to at most budget.
func budgetShare(budget, carriers, votes int) int {
	if budget <= 0 || carriers <= 0 {
		return 0
	}
	if 2*votes > carriers {
		return budget - (carriers-votes)*budget/carriers
	}
	return votes * budget / carriers
}

// readySlots returns the total slots of the endpoints that accept requests.
func readySlots(upstreams []fleet.Upstream) int {
	total := 0
	for _, u := range upstreams {
		if u.State == fleet.UpstreamReady {
			total += u.Slots
		}
	}
	return total
}
