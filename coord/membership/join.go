package membership

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// joinTargets is the number of instances that a request to join is sent to at once.
const joinTargets = 3

// joinPatience is how many times JoinWriteWait an instance waits when others have answered it.
const joinPatience = 6

// joinState is how far this instance has got with joining.
type joinState struct {
	started  bool
	done     bool // This life is on the roster.
	hints    []fleet.Instance
	since    time.Time // Start of this attempt.
	askedAt  time.Time
	answered bool          // An instance has sent a roster.
	read     bool          // The store was read in this attempt.
	jitter   time.Duration // Added to the waits.
}

// Start begins to join. hints is the platform's list, which may lag.
func (m *Machine) Start(now time.Time, hints []fleet.Instance) []Effect {
	m.advance(now)
	m.join.hints = hints
	m.beginJoin()
	m.tickJoin()
	return m.flush()
}

func (m *Machine) beginJoin() {
	m.join.started = true
	m.join.done = false
	m.join.since = m.now
	m.join.askedAt = time.Time{}
	m.join.answered = false
	m.join.read = false
	m.join.jitter = time.Duration(m.random.Int64N(int64(m.cfg.JoinReadWait)))
}

// tickJoin repeats the request to join, then reads the store, then writes the roster itself.
func (m *Machine) tickJoin() {
	if !m.join.started || m.join.done || m.leaving {
		return
	}
	if m.join.askedAt.IsZero() || m.now.Sub(m.join.askedAt) >= m.cfg.JoinInterval {
		m.join.askedAt = m.now
		m.askToJoin()
	}
	waited := m.now.Sub(m.join.since) - m.join.jitter
	if !m.join.answered && !m.join.read && waited >= m.cfg.JoinReadWait {
		m.readRoster()
	}
}

// mayWriteItself reports whether an instance off the roster may put itself on it: when the
// store shows that there is nobody to ask, or nobody asked has done so for long.
func (m *Machine) mayWriteItself() bool {
	if !m.join.started || m.join.done || m.leaving {
		return false
	}
	waited := m.now.Sub(m.join.since) - m.join.jitter
	if len(m.roster.Instances) == 0 {
		return m.join.read
	}
	if m.join.answered {
		return waited >= joinPatience*m.cfg.JoinWriteWait
	}
	return waited >= m.cfg.JoinWriteWait
}

func (m *Machine) askToJoin() {
	self := m.self
	for _, target := range m.joinTargets() {
		m.sendTo(target, Message{Join: &self, Ask: &Ask{Have: m.roster.Generation}})
	}
}

// joinTargets returns a few instances at random, of different zones first.
func (m *Machine) joinTargets() []fleet.Instance {
	candidates := append([]fleet.Instance(nil), m.join.hints...)
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

// deliverJoin takes another instance's request to join.
func (m *Machine) deliverJoin(from fleet.Ref, i fleet.Instance) {
	if i.Ref != from || i.Ref.ID == "" {
		m.counters.Malformed++
		return
	}
	if !m.mayJoin(i) {
		if !m.roster.Has(i.Ref) {
			m.counters.OldIncarnation++
		}
		return
	}
	m.learn(from, Fact{Kind: FactJoin, Subject: i.Ref, Count: 1, Instance: &i})
}
