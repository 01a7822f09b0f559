package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// answer returns the verdict that answers one evidence of an instance.
func (j *Judge) answer(now time.Time, to fleet.Ref, sequence uint64) *Verdict {
	j.number++
	j.loans[to].sent(now, j.number)
	v := &Verdict{Sequence: sequence, Number: j.number}
	removed := j.issue(now)
	carrier, ok := j.carriers[to]
	if !ok {
		return v
	}
	for _, t := range removed {
		if j.outFor(t, j.zoneOf[carrier]) {
			v.Removals = append(v.Removals, j.removalFor(now, t, carrier))
		}
	}
	return v
}

// issue names the removed endpoints that the budget lets the verdicts of this moment name.
// It returns all removed ones: first those named, the worst first.
func (j *Judge) issue(now time.Time) []*tracked {
	j.ledger.expire(now)
	removed := j.removed()
	if len(removed) == 0 {
		j.ledger.last = nil
		return nil
	}
	allowance, _ := j.Budget(now)
	issue := j.ledger.begin(allowance)
	for _, t := range removed {
		t.removal.atFloor = !issue.add(t.key, t.readySlots(), j.zonesOf(t))
	}
	issue.end(now, j.cfg.spentFor())
	slices.SortStableFunc(removed, func(a, b *tracked) int {
		return cmp.Compare(order(a.removal.atFloor), order(b.removal.atFloor))
	})
	return removed
}

// removed returns the removed endpoints: those that the last verdict named first, then the worst first.
func (j *Judge) removed() []*tracked {
	var removed []*tracked
	for _, t := range j.endpoints {
		if t.removed() {
			removed = append(removed, t)
		}
	}
	slices.SortStableFunc(removed, func(a, b *tracked) int {
		if c := cmp.Compare(order(!j.namedLast(a)), order(!j.namedLast(b))); c != 0 {
			return c
		}
		return cmp.Compare(b.removal.score, a.removal.score)
	})
	return removed
}

func (j *Judge) namedLast(t *tracked) bool {
	for _, named := range j.ledger.last {
		if _, ok := named[t.key]; ok {
			return true
		}
	}
	return false
}

func order(later bool) int {
	if later {
		return 1
	}
	return 0
}

// zonesOf returns the zones whose carriers a removal concerns.
func (j *Judge) zonesOf(t *tracked) []fleet.Zone {
	if t.removal.zones == nil {
		return j.zones
	}
	return t.removal.zones
}

func (j *Judge) removalFor(now time.Time, t *tracked, carrier int) Removal {
	state := t.removal.state
	switch {
	case t.removal.atFloor:
		state = StateOpen
	case state == StateTrial && !j.takesTrials(now, t, carrier):
		state = StateEjected
	}
	return Removal{
		Endpoint: t.key,
		State:    state,
		Score:    float32(t.removal.score),
		Limit:    float32(j.operating.Limit),
		ReturnIn: uint32(max(t.removal.mayReturn.Sub(now), 0).Milliseconds()),
	}
}

// Explain returns every endpoint as the judge sees it.
func (j *Judge) Explain(now time.Time) []EndpointView {
	views := make([]EndpointView, 0, len(j.endpoints))
	for _, t := range j.endpoints {
		v := EndpointView{
			Endpoint: t.upstream.Endpoint,
			State:    t.removal.state,
			Judge:    j.self.Ref,
			Score:    t.score(),
			Limit:    j.operating.Limit,
			AtFloor:  t.removal.atFloor,
		}
		if t.removed() {
			v.Score = t.removal.score
			v.MayReturn = t.removal.mayReturn
			v.Until = now.Add(j.cfg.Lease)
		}
		if v.AtFloor {
			v.State = StateOpen
		}
		views = append(views, v)
	}
	return views
}
