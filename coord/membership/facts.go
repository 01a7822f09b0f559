package membership

import (
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// facts is the set of gossiped facts that the roster does not reflect yet.
type facts struct {
	byKey            map[factKey]Fact
	unreachableVotes map[fleet.Ref]int // Number of unreachable votes, by subject.
	digest           uint64            // Of the active facts.
}

func newFacts() *facts {
	return &facts{byKey: make(map[factKey]Fact), unreachableVotes: make(map[fleet.Ref]int)}
}

// merge stores a fact and reports whether it was new or of a higher version.
func (s *facts) merge(f Fact) bool {
	old, exists := s.byKey[f.key()]
	if exists && old.Version >= f.Version {
		return false
	}
	if !exists && len(s.byKey) >= maxFacts {
		return false
	}
	if exists {
		s.updateTotals(old, -1)
	}
	s.byKey[f.key()] = f
	s.updateTotals(f, 1)
	return true
}

// updateTotals adds an active fact to the totals over all facts (sign 1) or subtracts it (sign -1).
func (s *facts) updateTotals(f Fact, sign int) {
	if !f.active() {
		return
	}
	s.digest ^= f.digest()
	if f.Kind != FactVote {
		return
	}
	s.unreachableVotes[f.Subject] += sign
	if s.unreachableVotes[f.Subject] == 0 {
		delete(s.unreachableVotes, f.Subject)
	}
}

// retain deletes the facts for which keep is false.
func (s *facts) retain(keep func(Fact) bool) {
	for key, f := range s.byKey {
		if !keep(f) {
			s.updateTotals(f, -1)
			delete(s.byKey, key)
		}
	}
}

func (s *facts) has(kind FactKind, subject fleet.Ref) bool {
	_, ok := s.byKey[factKey{kind: kind, subject: subject}]
	return ok
}

// votedUnreachable reports whether voter votes subject unreachable.
func (s *facts) votedUnreachable(subject, voter fleet.Ref) bool {
	return s.byKey[factKey{kind: FactVote, subject: subject, voter: voter}].Unreachable
}

// all returns every fact in a deterministic order.
func (s *facts) all() []Fact {
	list := make([]Fact, 0, len(s.byKey))
	for _, f := range s.byKey {
		list = append(list, f)
	}
	sortFacts(list)
	return list
}

// joinRequests returns the instances that request to be added to the roster, the highest incarnation of each ID.
func (s *facts) joinRequests() []fleet.Instance {
	highest := make(map[fleet.InstanceID]fleet.Instance)
	for _, f := range s.byKey {
		if f.Kind == FactJoin && f.Subject.Incarnation >= highest[f.Subject.ID].Ref.Incarnation {
			highest[f.Subject.ID] = *f.Instance
		}
	}
	list := make([]fleet.Instance, 0, len(highest))
	for _, i := range highest {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b fleet.Instance) int { return compareRefs(a.Ref, b.Ref) })
	return list
}
