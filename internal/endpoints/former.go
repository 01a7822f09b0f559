package endpoints

import (
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// formerSetTTL is how long an instance may still act on a set of carriers after a newer one has replaced it.
const formerSetTTL = 15 * time.Minute

// maxFormerSets bounds the former sets of carriers of one service.
const maxFormerSets = 16

// formerSet is a replaced set of carriers that some instances may still act on.
type formerSet struct {
	carriers []fleet.Instance
	until    time.Time
}

// setCarriers replaces the set of carriers and keeps the previous one for formerSetTTL.
func (s *service) setCarriers(now time.Time, carriers []fleet.Instance) {
	if sameRefs(s.carriers, carriers) {
		s.carriers = carriers
		return
	}
	if s.carriers != nil {
		s.former = append(s.former, formerSet{carriers: s.carriers, until: now.Add(formerSetTTL)})
	}
	s.carriers = carriers
	s.former = slices.DeleteFunc(s.former, func(f formerSet) bool { return sameRefs(f.carriers, carriers) })
	if len(s.former) > maxFormerSets {
		s.former = s.former[len(s.former)-maxFormerSets:]
	}
}

func (s *service) formerCarriers() [][]fleet.Instance {
	var sets [][]fleet.Instance
	for _, f := range s.former {
		sets = append(sets, f.carriers)
	}
	return sets
}

// expireFormer drops the former sets that no instance acts on any more, and from the other
// sets the incarnations whose votes have expired. It reports whether anything was dropped.
func (s *service) expireFormer(now time.Time, ended *endedIncarnations) bool {
	changed := false
	for i := range s.former {
		f := &s.former[i]
		remaining := ended.withoutExpired(now, f.carriers)
		changed = changed || len(remaining) < len(f.carriers)
		f.carriers = remaining
	}
	before := len(s.former)
	s.former = slices.DeleteFunc(s.former, func(f formerSet) bool {
		return !now.Before(f.until) || len(f.carriers) == 0
	})
	return changed || len(s.former) < before
}

// endedIncarnations records the carriers' incarnations that have certainly ended: the roster
// lists a later incarnation of the same instance.
//
// An ended incarnation votes for no evaluator. An evaluator may have received its evidence
// just before, so it counts as a possible carrier until the lease of its last vote has expired.
type endedIncarnations struct {
	voteLease time.Duration           // Includes the margin for clock drift.
	endedAt   map[fleet.Ref]time.Time // When a later incarnation was first found on the roster.
}

func newEndedIncarnations(voteLease time.Duration) *endedIncarnations {
	return &endedIncarnations{voteLease: voteLease, endedAt: make(map[fleet.Ref]time.Time)}
}

// record adds the carriers that the roster lists with a later incarnation.
func (e *endedIncarnations) record(now time.Time, p Placement, carriers []fleet.Instance) {
	for _, c := range carriers {
		current, ok := p.Incarnation(c.Ref.ID)
		if _, recorded := e.endedAt[c.Ref]; !recorded && ok && current > c.Ref.Incarnation {
			e.endedAt[c.Ref] = now
		}
	}
}

// withoutExpired returns the carriers whose last vote may still be valid.
func (e *endedIncarnations) withoutExpired(now time.Time, carriers []fleet.Instance) []fleet.Instance {
	expired := func(c fleet.Instance) bool {
		at, ended := e.endedAt[c.Ref]
		return ended && now.Sub(at) >= e.voteLease
	}
	if !slices.ContainsFunc(carriers, expired) {
		return carriers
	}
	return slices.DeleteFunc(slices.Clone(carriers), expired)
}

// prune drops the incarnations that no former set can contain any more.
func (e *endedIncarnations) prune(now time.Time) {
	for ref, at := range e.endedAt {
		if now.Sub(at) > formerSetTTL+e.voteLease {
			delete(e.endedAt, ref)
		}
	}
}
