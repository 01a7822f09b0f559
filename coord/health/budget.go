package health

import "github.com/damaskcove/damaskcove/coord/fleet"

// budgetShare returns how many of budget slots an evaluator may remove when it holds the
// votes of votes out of carriers instances.
//
// A carrier votes for one evaluator at a time, so the evaluators of one set of carriers hold
// disjoint sets of votes and at most one holds a majority. The one with the majority gives up
// what the others could remove together, and the others' shares are rounded down, so the
// shares add up to at most budget.
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
