package membership

import (
	"github.com/damaskcove/damaskcove/coord/fleet"
)

// mergeFacts takes the facts of a neighbour.
func (m *Machine) mergeFacts(from fleet.Ref, list []Fact) {
	for _, f := range list {
		if !m.valid(f) {
			continue
		}
		if f.Kind == FactVote && f.Voter == m.self.Ref {
			m.correct(f)
			continue
		}
		m.learn(from, f)
	}
}

// correct takes back a vote in this instance's name that is not what it says now.
func (m *Machine) correct(f Fact) {
	held := m.facts.byKey[f.key()]
	if f.Count < held.Count || f == held {
		return
	}
	m.counts[f.Subject] = max(m.counts[f.Subject], f.Count)
	m.cast(f.Subject, held.Silent)
}

// learn merges a fact and passes it on, or tells its sender of a later one.
func (m *Machine) learn(from fleet.Ref, f Fact) {
	if m.facts.merge(f) {
		m.stale = true
		m.pass(from, f)
		return
	}
	if held, ok := m.facts.byKey[f.key()]; ok && held.Count > f.Count {
		m.outbox[from] = append(m.outbox[from], held)
	}
}

// pass queues a fact for every neighbour but the one that sent it.
func (m *Machine) pass(from fleet.Ref, f Fact) {
	for _, n := range m.Neighbours() {
		if n.Ref != from && n.Ref != f.Voter {
			m.outbox[n.Ref] = append(m.outbox[n.Ref], f)
		}
	}
}

// valid reports whether a fact can still matter under the roster held.
func (m *Machine) valid(f Fact) bool {
	switch f.Kind {
	case FactVote:
		return m.roster.Has(f.Subject) && m.overlay.adjacent(f.Subject, f.Voter)
	case FactLeaving, FactGone:
		return m.roster.Has(f.Subject)
	case FactJoin:
		return f.Instance != nil && f.Instance.Ref == f.Subject && m.mayJoin(*f.Instance)
	default:
		m.counters.Malformed++
		return false
	}
}

// mayJoin reports whether an instance is newer than what the roster has of its ID.
func (m *Machine) mayJoin(i fleet.Instance) bool {
	held, ok := m.roster.Find(i.Ref.ID)
	return i.Ref.ID != "" && (!ok || held.Ref.Incarnation < i.Ref.Incarnation)
}

// sendFacts sends each neighbour some of what is queued for it.
func (m *Machine) sendFacts() {
	for _, n := range m.Neighbours() {
		queue := m.outbox[n.Ref]
		if len(queue) == 0 {
			continue
		}
		count := min(len(queue), maxFactsPerMessage)
		m.sendTo(n, Message{Facts: queue[:count:count]})
		m.outbox[n.Ref] = queue[count:]
	}
	for ref := range m.outbox {
		if m.links[ref] == nil || len(m.outbox[ref]) == 0 {
			delete(m.outbox, ref)
		}
	}
}
