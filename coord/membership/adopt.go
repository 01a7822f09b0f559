package membership

import (
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// deliverRosters takes what a message says of the roster.
func (m *Machine) deliverRosters(from fleet.Ref, msg Message) {
	if msg.Roster != nil {
		m.join.answered = true
		m.take(*msg.Roster)
	}
	if msg.Delta != nil {
		m.takeDelta(from, *msg.Delta)
	}
	if msg.Ask != nil {
		m.answerAsk(from, msg)
	}
}

func (m *Machine) answerAsk(from fleet.Ref, msg Message) {
	to := fleet.Instance{Ref: from}
	if msg.Join != nil {
		to = *msg.Join
	}
	switch {
	case msg.Ask.Have >= m.roster.Generation:
	case m.delta != nil && msg.Ask.Have+1 == m.roster.Generation:
		m.sendTo(to, Message{Delta: m.delta})
	default:
		m.sendRoster(to)
	}
}

// take adopts a whole roster if its generation is higher.
func (m *Machine) take(r Roster) {
	switch {
	case r.Fleet != m.cfg.Fleet:
		m.counters.OtherFleet++
	case r.check() != nil:
		m.counters.Malformed++
	case r.Generation < m.roster.Generation:
		m.counters.LowerRoster++
	case r.Generation > m.roster.Generation:
		delta := m.roster.deltaTo(r)
		consecutive := r.Generation == m.roster.Generation+1
		m.adopt(r, &delta, consecutive)
	}
}

// takeDelta adopts the next generation, or asks the sender for the whole roster when the
// delta does not fit the one held.
func (m *Machine) takeDelta(from fleet.Ref, d Delta) {
	if d.Generation <= m.roster.Generation {
		return
	}
	next := m.roster.with(d.Added, d.Removed)
	if d.Generation != next.Generation || d.Digest != next.digest() || next.check() != nil {
		m.sendTo(fleet.Instance{Ref: from}, Message{Ask: &Ask{}})
		return
	}
	m.join.answered = true
	m.adopt(next, &d, true)
}

// adopt takes a roster of a higher generation and passes it on.
func (m *Machine) adopt(r Roster, delta *Delta, consecutive bool) {
	m.delta = nil
	if consecutive {
		m.delta = delta
	}
	m.roster = r
	m.stale = true
	m.overlay = newOverlay(r.Instances)
	m.checkSelf()
	m.relink()
	m.facts.keep(m.valid)
	m.tell(consecutive)
}

// tell passes the roster on to the neighbours that are not known to have it.
func (m *Machine) tell(consecutive bool) {
	for _, n := range m.Neighbours() {
		if m.links[n.Ref].generation >= m.roster.Generation {
			continue
		}
		if consecutive {
			m.sendTo(n, Message{Delta: m.delta})
		}
	}
}

// checkSelf compares the roster with this life: on it, off it after having been on it, or
// replaced by a higher one.
func (m *Machine) checkSelf() {
	held, ok := m.roster.Find(m.self.Ref.ID)
	switch {
	case ok && held.Ref == m.self.Ref:
		m.join.done = true
	case ok && held.Ref.Incarnation > m.self.Ref.Incarnation:
		m.replaced(held)
	case m.join.done && !m.leaving:
		m.rejoin(m.self.Ref.Incarnation + 1)
	}
}

// replaced handles a higher incarnation of this instance's ID on the roster. One that has
// been a member is the older process; one that is joining had a clock behind its former life's.
func (m *Machine) replaced(by fleet.Instance) {
	if m.join.done {
		m.stopped = true
		m.emit(Superseded{By: by})
		return
	}
	m.rejoin(by.Ref.Incarnation + 1)
}

// rejoin starts the next life of this instance, which has no authority of the former one.
func (m *Machine) rejoin(next fleet.Incarnation) {
	m.counters.Rejoins++
	m.self.Ref.Incarnation = next
	m.counts = make(map[fleet.Ref]uint64)
	m.writer = writerState{}
	m.beginJoin()
	m.emit(Rejoined{Self: m.self})
}

// relink keeps the links of those who stay neighbours.
func (m *Machine) relink() {
	former := m.links
	m.links = make(map[fleet.Ref]*link)
	for _, n := range m.Neighbours() {
		if l := former[n.Ref]; l != nil {
			m.links[n.Ref] = l
			continue
		}
		m.links[n.Ref] = &link{instance: n, heardAt: m.now}
	}
	for subject := range m.counts {
		if !slices.ContainsFunc(m.Neighbours(), func(n fleet.Instance) bool { return n.Ref == subject }) {
			delete(m.counts, subject)
		}
	}
}
