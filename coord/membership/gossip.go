package membership

import (
	"github.com/damaskcove/damaskcove/coord/fleet"
)

// handleFacts merges the facts of a message.
func (m *Machine) handleFacts(from fleet.Ref, list []Fact) {
	for _, f := range list {
		if !m.relevant(f) {
			continue
		}
		if f.Kind == FactVote && f.Voter == m.self.Ref {
			m.reassertVote(f)
			continue
		}
		m.mergeAndForward(from, f)
	}
}

// reassertVote replaces a received vote of this instance that is not its current one, by a
// vote with a higher version.
func (m *Machine) reassertVote(f Fact) {
	stored := m.facts.byKey[f.key()]
	if f.Version < stored.Version || f == stored {
		return
	}
	m.voteVersions[f.Subject] = max(m.voteVersions[f.Subject], f.Version)
	m.castVote(f.Subject, stored.Unreachable)
}

// mergeAndForward merges a fact and forwards it, or sends the sender a stored fact of a higher version.
func (m *Machine) mergeAndForward(from fleet.Ref, f Fact) {
	if m.facts.merge(f) {
		m.membersStale = true
		m.forward(from, f)
		return
	}
	if stored, ok := m.facts.byKey[f.key()]; ok && stored.Version > f.Version {
		m.outbox[from] = append(m.outbox[from], stored)
	}
}

// forward queues a fact for every neighbour except its sender and its voter.
func (m *Machine) forward(from fleet.Ref, f Fact) {
	for _, n := range m.Neighbours() {
		if n.Ref != from && n.Ref != f.Voter {
			m.outbox[n.Ref] = append(m.outbox[n.Ref], f)
		}
	}
}

// relevant reports whether a fact can still have an effect with the current roster.
func (m *Machine) relevant(f Fact) bool {
	switch f.Kind {
	case FactVote:
		return m.roster.Has(f.Subject) && m.overlay.adjacent(f.Subject, f.Voter)
	case FactLeaving, FactStopped:
		return m.roster.Has(f.Subject)
	case FactJoin:
		return f.Instance != nil && f.Instance.Ref == f.Subject && m.isNewerIncarnation(*f.Instance)
	default:
		m.counters.Malformed++
		return false
	}
}

// isNewerIncarnation reports whether the roster has no instance with this ID, or an earlier incarnation.
func (m *Machine) isNewerIncarnation(i fleet.Instance) bool {
	entry, ok := m.roster.Find(i.Ref.ID)
	return i.Ref.ID != "" && (!ok || entry.Ref.Incarnation < i.Ref.Incarnation)
}

// sendFacts sends each neighbour up to maxFactsPerMessage of the facts queued for it.
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
