package membership

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// joinTargets is the number of instances that each join request is sent to.
const joinTargets = 3

// answeredJoinWaitFactor multiplies JoinWriteWait when another instance has sent a roster:
// that instance is expected to add this one.
const answeredJoinWaitFactor = 6

// joinState is the progress of joining the fleet.
type joinState struct {
	started        bool
	joined         bool // This incarnation is on the roster.
	seeds          []fleet.Instance
	startedAt      time.Time // Start of the current attempt.
	requestedAt    time.Time
	rosterReceived bool          // An instance has sent a roster or a delta in this attempt.
	storeRead      bool          // The store's roster was read in this attempt.
	jitter         time.Duration // Random addition to the waits, which spreads simultaneous joins.
}

// Start begins to join. seeds is the platform's list of instances, which may be out of date.
func (m *Machine) Start(now time.Time, seeds []fleet.Instance) []Effect {
	m.advance(now)
	m.join.seeds = seeds
	m.beginJoin()
	m.tickJoin()
	return m.flush()
}

func (m *Machine) beginJoin() {
	m.join.started = true
	m.join.joined = false
	m.join.startedAt = m.now
	m.join.requestedAt = time.Time{}
	m.join.rosterReceived = false
	m.join.storeRead = false
	m.join.jitter = time.Duration(m.random.Int64N(int64(m.cfg.JoinReadWait)))
}

// tickJoin repeats the join request and, when no instance answers in time, reads the store.
func (m *Machine) tickJoin() {
	if !m.join.started || m.join.joined || m.leaving {
		return
	}
	if m.join.requestedAt.IsZero() || m.now.Sub(m.join.requestedAt) >= m.cfg.JoinInterval {
		m.join.requestedAt = m.now
		m.sendJoinRequests()
	}
	waited := m.now.Sub(m.join.startedAt) - m.join.jitter
	if !m.join.rosterReceived && !m.join.storeRead && waited >= m.cfg.JoinReadWait {
		m.readRoster()
	}
}

// mayAddSelf reports whether an instance that is not on the roster may add itself: when the
// stored roster is empty, or when no other instance has added it in time.
func (m *Machine) mayAddSelf() bool {
	if !m.join.started || m.join.joined || m.leaving {
		return false
	}
	waited := m.now.Sub(m.join.startedAt) - m.join.jitter
	if len(m.roster.Instances) == 0 {
		return m.join.storeRead
	}
	if m.join.rosterReceived {
		return waited >= answeredJoinWaitFactor*m.cfg.JoinWriteWait
	}
	return waited >= m.cfg.JoinWriteWait
}

func (m *Machine) sendJoinRequests() {
	self := m.self
	for _, target := range m.joinTargets() {
		m.sendTo(target, Message{Join: &self, RosterRequest: &RosterRequest{NewerThan: m.roster.Generation}})
	}
}

// joinTargets returns a few random instances, preferring different zones.
func (m *Machine) joinTargets() []fleet.Instance {
	candidates := append([]fleet.Instance(nil), m.join.seeds...)
	candidates = append(candidates, m.roster.Instances...)
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var targets, rest []fleet.Instance
	zones := make(map[fleet.Zone]bool)
	for _, c := range candidates {
		switch {
		case c.Ref.ID == m.self.Ref.ID:
		case zones[c.Zone]:
			rest = append(rest, c)
		default:
			zones[c.Zone] = true
			targets = append(targets, c)
		}
	}
	targets = append(targets, rest...)
	return targets[:min(joinTargets, len(targets))]
}

// handleJoin accepts another instance's join request.
func (m *Machine) handleJoin(from fleet.Ref, i fleet.Instance) {
	if i.Ref != from || i.Ref.ID == "" {
		m.counters.Malformed++
		return
	}
	if !m.isNewerIncarnation(i) {
		if !m.roster.Has(i.Ref) {
			m.counters.OldIncarnation++
		}
		return
	}
	m.mergeAndForward(from, Fact{Kind: FactJoin, Subject: i.Ref, Version: 1, Instance: &i})
}
