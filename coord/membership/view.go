package membership

import "github.com/damaskcove/damaskcove/coord/fleet"

// Members returns every instance of the roster with its status. The slice must not be changed.
func (m *Machine) Members() []Member {
	return m.members
}

// working reports whether a member may be given work.
func (m Member) working() bool {
	return m.Heard && (m.Status == StatusAlive || m.Status == StatusSuspect)
}

// work works out the members from the roster and the facts.
func (m *Machine) work() []Member {
	members := make([]Member, len(m.roster.Instances))
	var reached map[fleet.Ref]bool
	if m.join.done && len(m.facts.silent) > 0 {
		reached = m.reachable()
	}
	for k, i := range m.roster.Instances {
		members[k] = Member{Instance: i, Status: m.status(i.Ref), Heard: reached == nil || reached[i.Ref]}
		if l := m.links[i.Ref]; l != nil {
			members[k].Revision = l.revision
		}
	}
	return members
}

func (m *Machine) status(r fleet.Ref) Status {
	silent := m.facts.silent[r]
	switch {
	case m.facts.has(FactGone, r):
		return StatusDead
	case silent > 0 && 2*silent > len(m.overlay.of(r)):
		return StatusDead
	case m.facts.has(FactLeaving, r):
		return StatusLeaving
	case silent > 0:
		return StatusSuspect
	default:
		return StatusAlive
	}
}

// reachable returns the lives that can be reached from this instance over overlay edges of
// which neither end says that it does not hear the other.
func (m *Machine) reachable() map[fleet.Ref]bool {
	reached := make(map[fleet.Ref]bool, len(m.roster.Instances))
	reached[m.self.Ref] = true
	queue := []fleet.Ref{m.self.Ref}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, n := range m.overlay.of(at) {
			if !reached[n.Ref] && m.works(at, n.Ref) {
				reached[n.Ref] = true
				queue = append(queue, n.Ref)
			}
		}
	}
	return reached
}

// works reports whether neither of two neighbours votes against the other.
func (m *Machine) works(a, b fleet.Ref) bool {
	if m.facts.silent[a]+m.facts.silent[b] == 0 {
		return true
	}
	return !m.facts.silentVote(a, b) && !m.facts.silentVote(b, a)
}

// noteMissing records since when each member is dead or unheard.
func (m *Machine) noteMissing() {
	for _, member := range m.members {
		ref := member.Instance.Ref
		if member.Status != StatusDead && member.Heard {
			delete(m.deadAt, ref)
			continue
		}
		if _, noted := m.deadAt[ref]; !noted {
			m.deadAt[ref] = m.now
		}
	}
	for ref := range m.deadAt {
		if !m.roster.Has(ref) {
			delete(m.deadAt, ref)
		}
	}
}
