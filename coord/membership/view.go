package membership

import "github.com/damaskcove/damaskcove/coord/fleet"

// Members returns every instance of the roster with its status. The slice must not be modified.
func (m *Machine) Members() []Member {
	return m.members
}

// available reports whether a member is reachable, running and not leaving, and may therefore be a writer.
func (m Member) available() bool {
	return m.Reachable && (m.Status == StatusAlive || m.Status == StatusSuspect)
}

// computeMembers derives the members from the roster and the facts.
func (m *Machine) computeMembers() []Member {
	members := make([]Member, len(m.roster.Instances))
	var reached map[fleet.Ref]bool
	if m.join.joined && len(m.facts.unreachableVotes) > 0 {
		reached = m.reachable()
	}
	for k, i := range m.roster.Instances {
		members[k] = Member{Instance: i, Status: m.status(i.Ref), Reachable: reached == nil || reached[i.Ref]}
		if l := m.links[i.Ref]; l != nil {
			members[k].Revision = l.revision
		}
	}
	return members
}

func (m *Machine) status(r fleet.Ref) Status {
	votes := m.facts.unreachableVotes[r]
	switch {
	case m.facts.has(FactStopped, r):
		return StatusDead
	case votes > 0 && 2*votes > len(m.overlay.neighboursOf(r)):
		return StatusDead
	case m.facts.has(FactLeaving, r):
		return StatusLeaving
	case votes > 0:
		return StatusSuspect
	default:
		return StatusAlive
	}
}

// reachable returns the instances that can be reached from this one over working overlay links.
func (m *Machine) reachable() map[fleet.Ref]bool {
	reached := make(map[fleet.Ref]bool, len(m.roster.Instances))
	reached[m.self.Ref] = true
	queue := []fleet.Ref{m.self.Ref}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, n := range m.overlay.neighboursOf(at) {
			if !reached[n.Ref] && m.connected(at, n.Ref) {
				reached[n.Ref] = true
				queue = append(queue, n.Ref)
			}
		}
	}
	return reached
}

// connected reports whether neither of two neighbours votes the other unreachable.
func (m *Machine) connected(a, b fleet.Ref) bool {
	if m.facts.unreachableVotes[a]+m.facts.unreachableVotes[b] == 0 {
		return true
	}
	return !m.facts.votedUnreachable(a, b) && !m.facts.votedUnreachable(b, a)
}

// updateMissing records when each member became dead or unreachable.
func (m *Machine) updateMissing() {
	for _, member := range m.members {
		ref := member.Instance.Ref
		if member.Status != StatusDead && member.Reachable {
			delete(m.missingSince, ref)
			continue
		}
		if _, recorded := m.missingSince[ref]; !recorded {
			m.missingSince[ref] = m.now
		}
	}
	for ref := range m.missingSince {
		if !m.roster.Has(ref) {
			delete(m.missingSince, ref)
		}
	}
}
