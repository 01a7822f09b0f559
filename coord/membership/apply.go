package membership

import (
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// handleRoster applies the roster or delta of a message and answers its roster request.
func (m *Machine) handleRoster(from fleet.Ref, msg Message) {
	if msg.Roster != nil {
		m.join.rosterReceived = true
		m.applyRoster(*msg.Roster)
	}
	if msg.Delta != nil {
		m.applyDelta(from, *msg.Delta)
	}
	if msg.RosterRequest != nil {
		m.answerRosterRequest(from, msg)
	}
}

func (m *Machine) answerRosterRequest(from fleet.Ref, msg Message) {
	to := fleet.Instance{Ref: from}
	if msg.Join != nil {
		to = *msg.Join
	}
	switch {
	case msg.RosterRequest.NewerThan >= m.roster.Generation:
	case m.delta != nil && msg.RosterRequest.NewerThan+1 == m.roster.Generation:
		m.sendTo(to, Message{Delta: m.delta})
	default:
		m.sendRoster(to)
	}
}

// applyRoster installs a whole roster if its generation is higher than the current one.
func (m *Machine) applyRoster(r Roster) {
	switch {
	case r.Fleet != m.cfg.Fleet:
		m.counters.OtherFleet++
	case r.check() != nil:
		m.counters.Malformed++
	case r.Generation < m.roster.Generation:
		m.counters.StaleRosters++
	case r.Generation > m.roster.Generation:
		delta := m.roster.deltaTo(r)
		consecutive := r.Generation == m.roster.Generation+1
		m.installRoster(r, &delta, consecutive)
	}
}

// applyDelta installs the next generation, or requests the whole roster from the sender when
// the delta does not apply to the current one.
func (m *Machine) applyDelta(from fleet.Ref, d Delta) {
	if d.Generation <= m.roster.Generation {
		return
	}
	next := m.roster.with(d.Added, d.Removed)
	if d.Generation != next.Generation || d.Digest != next.digest() || next.check() != nil {
		m.sendTo(fleet.Instance{Ref: from}, Message{RosterRequest: &RosterRequest{}})
		return
	}
	m.join.rosterReceived = true
	m.installRoster(next, &d, true)
}

// installRoster replaces the roster with one of a higher generation and propagates it.
func (m *Machine) installRoster(r Roster, delta *Delta, consecutive bool) {
	m.delta = nil
	if consecutive {
		m.delta = delta
	}
	m.roster = r
	m.membersStale = true
	m.overlay = newOverlay(r.Instances)
	m.checkOwnEntry()
	m.updateLinks()
	m.facts.retain(m.relevant)
	m.propagateDelta(consecutive)
}

// propagateDelta sends the delta that led to the roster to the neighbours that are not known to have it.
func (m *Machine) propagateDelta(consecutive bool) {
	for _, n := range m.Neighbours() {
		if m.links[n.Ref].generation >= m.roster.Generation {
			continue
		}
		if consecutive {
			m.sendTo(n, Message{Delta: m.delta})
		}
	}
}

// checkOwnEntry compares the roster with this incarnation, which may have joined, have been
// removed after it joined, or have been replaced by a higher incarnation.
func (m *Machine) checkOwnEntry() {
	entry, ok := m.roster.Find(m.self.Ref.ID)
	switch {
	case ok && entry.Ref == m.self.Ref:
		m.join.joined = true
	case ok && entry.Ref.Incarnation > m.self.Ref.Incarnation:
		m.handleHigherIncarnation(entry)
	case m.join.joined && !m.leaving:
		m.rejoin(m.self.Ref.Incarnation + 1)
	}
}

// handleHigherIncarnation handles a higher incarnation of this instance's ID on the roster.
// If this instance has been a member, a newer process has replaced it. If it is still joining,
// its clock is behind the one that the previous incarnation number was taken from.
func (m *Machine) handleHigherIncarnation(higher fleet.Instance) {
	if m.join.joined {
		m.stopped = true
		m.emit(Superseded{By: higher})
		return
	}
	m.rejoin(higher.Ref.Incarnation + 1)
}

// rejoin starts the next incarnation of this instance, which keeps no votes or pending writes of the previous one.
func (m *Machine) rejoin(next fleet.Incarnation) {
	m.counters.Rejoins++
	m.self.Ref.Incarnation = next
	m.voteVersions = make(map[fleet.Ref]uint64)
	m.writer = writerState{}
	m.beginJoin()
	m.emit(Rejoined{Self: m.self})
}

// updateLinks keeps the state of links to instances that remain neighbours and creates the others.
func (m *Machine) updateLinks() {
	previous := m.links
	m.links = make(map[fleet.Ref]*link)
	for _, n := range m.Neighbours() {
		if l := previous[n.Ref]; l != nil {
			m.links[n.Ref] = l
			continue
		}
		m.links[n.Ref] = &link{instance: n, receivedAt: m.now}
	}
	for subject := range m.voteVersions {
		if !slices.ContainsFunc(m.Neighbours(), func(n fleet.Instance) bool { return n.Ref == subject }) {
			delete(m.voteVersions, subject)
		}
	}
}
