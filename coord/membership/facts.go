package membership

import (
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// facts holds what instances have said and has not been settled by the roster.
type facts struct {
	byKey  map[factKey]Fact
	silent map[fleet.Ref]int // Silent votes, by subject.
	digest uint64            // Of the standing facts.
}

func newFacts() *facts {
	return &facts{byKey: make(map[factKey]Fact), silent: make(map[fleet.Ref]int)}
}

// merge takes a fact and reports whether it says more than what was held.
func (s *facts) merge(f Fact) bool {
	old, held := s.byKey[f.key()]
	if held && old.Count >= f.Count {
		return false
	}
	if !held && len(s.byKey) >= maxFacts {
		return false
	}
	if held {
		s.account(old, -1)
	}
	s.byKey[f.key()] = f
	s.account(f, 1)
	return true
}

// account adds a fact to, or takes it from, the sums over all facts.
func (s *facts) account(f Fact, sign int) {
	if !f.standing() {
		return
	}
	s.digest ^= f.digest()
	if f.Kind != FactVote {
		return
	}
	s.silent[f.Subject] += sign
	if s.silent[f.Subject] == 0 {
		delete(s.silent, f.Subject)
	}
}

// keep drops the facts for which wanted is false.
func (s *facts) keep(wanted func(Fact) bool) {
	for key, f := range s.byKey {
		if !wanted(f) {
			s.account(f, -1)
			delete(s.byKey, key)
		}
	}
}

func (s *facts) has(kind FactKind, subject fleet.Ref) bool {
	_, ok := s.byKey[factKey{kind: kind, subject: subject}]
	return ok
}

// silentVote reports whether voter says that it does not hear subject.
func (s *facts) silentVote(subject, voter fleet.Ref) bool {
	return s.byKey[factKey{kind: FactVote, subject: subject, voter: voter}].Silent
}

// all returns every fact in a fixed order.
func (s *facts) all() []Fact {
	list := make([]Fact, 0, len(s.byKey))
	for _, f := range s.byKey {
		list = append(list, f)
	}
	sortFacts(list)
	return list
}

// joins returns the instances that ask to be put on the roster, the highest incarnation of each ID.
func (s *facts) joins() []fleet.Instance {
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
