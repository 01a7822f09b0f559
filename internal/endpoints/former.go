package endpoints

import (
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// formerFor is the time for which an instance may still act on a set of carriers that is not the newest.
const formerFor = 15 * time.Minute

// maxFormer bounds the sets of carriers that are kept.
const maxFormer = 16

// formerSet is a set of carriers on which an instance may still act.
type formerSet struct {
	carriers []fleet.Instance
	until    time.Time
}

// setCarriers takes the newest set of carriers and keeps the one before for a while.
func (s *service) setCarriers(now time.Time, carriers []fleet.Instance) {
	if sameRefs(s.carriers, carriers) {
		s.carriers = carriers
		return
	}
	if s.carriers != nil {
		s.former = append(s.former, formerSet{carriers: s.carriers, until: now.Add(formerFor)})
	}
	s.carriers = carriers
	s.former = slices.DeleteFunc(s.former, func(f formerSet) bool { return sameRefs(f.carriers, carriers) })
	if len(s.former) > maxFormer {
		s.former = s.former[len(s.former)-maxFormer:]
	}
}

func (s *service) formerCarriers() [][]fleet.Instance {
	var sets [][]fleet.Instance
	for _, f := range s.former {
		sets = append(sets, f.carriers)
	}
	return sets
}

// expireFormer drops the sets of carriers on which no instance acts any more, and from
// the others the lives that have ended. It reports whether there was one.
func (s *service) expireFormer(now time.Time, ended *endedLives) bool {
	changed := false
	for i := range s.former {
		f := &s.former[i]
		left := ended.without(now, f.carriers)
		changed = changed || len(left) < len(f.carriers)
		f.carriers = left
	}
	before := len(s.former)
	s.former = slices.DeleteFunc(s.former, func(f formerSet) bool {
		return !now.Before(f.until) || len(f.carriers) == 0
	})
	return changed || len(s.former) < before
}

// endedLives knows the carriers' lives that have certainly ended: those of instances
// that are on the roster as a later life.
//
// An ended life lends itself to no judge. A judge may have heard it just before, so it
// counts as a possible carrier until its last loan has run out.
type endedLives struct {
	loan  time.Duration // With the margin for drift.
	since map[fleet.Ref]time.Time
}

func newEndedLives(loan time.Duration) *endedLives {
	return &endedLives{loan: loan, since: make(map[fleet.Ref]time.Time)}
}

// note records the lives among the carriers that a later life has followed.
func (e *endedLives) note(now time.Time, p Placement, carriers []fleet.Instance) {
	for _, c := range carriers {
		life, ok := p.Incarnation(c.Ref.ID)
		if _, known := e.since[c.Ref]; !known && ok && life > c.Ref.Incarnation {
			e.since[c.Ref] = now
		}
	}
}

// without returns the carriers whose last loan may still run.
func (e *endedLives) without(now time.Time, carriers []fleet.Instance) []fleet.Instance {
	over := func(c fleet.Instance) bool {
		at, ended := e.since[c.Ref]
		return ended && now.Sub(at) >= e.loan
	}
	if !slices.ContainsFunc(carriers, over) {
		return carriers
	}
	return slices.DeleteFunc(slices.Clone(carriers), over)
}

// forget drops what is older than any former set.
func (e *endedLives) forget(now time.Time) {
	for ref, at := range e.since {
		if now.Sub(at) > formerFor+e.loan {
			delete(e.since, ref)
		}
	}
}
