package health

import "github.com/damaskcove/damaskcove/coord/fleet"

// share returns how many of budget slots a judge may hold in ejections when it has
// heard from heard of carriers instances.
//
// Let the judges of one set of carriers hear disjoint groups. At most one group is
// larger than half; it gives up what the others could hold together, and the others
// hold their part rounded down, so the shares add up to at most budget.
func budgetShare(budget, carriers, votes int) int {
	if budget <= 0 || carriers <= 0 {
		return 0
	}
	if 2*votes > carriers {
		return budget - (carriers-votes)*budget/carriers
	}
	return votes * budget / carriers
}

// readySlots returns the slots of the endpoints that take work.
func readySlots(upstreams []fleet.Upstream) int {
	total := 0
	for _, u := range upstreams {
		if u.State == fleet.UpstreamReady {
			total += u.Slots
		}
	}
	return total
}
