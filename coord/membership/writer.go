package membership

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// writerState is this instance's part in writing the roster.
type writerState struct {
	wokeAt  time.Time // End of the last pause; zero once a neighbour was heard after it.
	due     time.Time // Since when the roster should change.
	busy    bool      // A call of the store is under way.
	busyAt  time.Time
	wroteAt time.Time
	retryAt time.Time
	backoff time.Duration
}

// stormMinimum is the number of missing instances up to which there is no storm.
const stormMinimum = 2

// callTimeout is the time after which a call of the store is taken to have been lost.
const callTimeout = 30 * time.Second

// tickWriter writes the roster when that is due and this instance's turn.
func (m *Machine) tickWriter() {
	added, removed := m.changes()
	if len(added)+len(removed) == 0 {
		m.writer.due = time.Time{}
		return
	}
	if m.writer.due.IsZero() {
		m.writer.due = m.now
	}
	if !m.mayCall() || !m.turn() || m.now.Sub(m.writer.wroteAt) < m.cfg.WriteInterval {
		return
	}
	m.writer.busy = true
	m.writer.busyAt = m.now
	m.writer.wroteAt = m.now
	m.counters.RosterWrites++
	m.emit(WriteRoster{Roster: m.roster.with(added, removed)})
}

func (m *Machine) mayCall() bool {
	if m.writer.busy && m.now.Sub(m.writer.busyAt) < callTimeout {
		return false
	}
	return !m.now.Before(m.writer.retryAt)
}

// turn reports whether it is this instance's turn to write.
func (m *Machine) turn() bool {
	if !m.join.done {
		return m.mayWriteItself()
	}
	if m.leaving || m.waking() {
		return false
	}
	rank := m.writerRank()
	if rank < 0 {
		return false
	}
	return m.now.Sub(m.writer.due) >= m.cfg.BatchInterval+time.Duration(rank)*m.cfg.WriterStep
}

// waking reports whether this instance was paused a short time ago and has heard no neighbour since.
func (m *Machine) waking() bool {
	return !m.writer.wokeAt.IsZero() && m.now.Sub(m.writer.wokeAt) < 2*m.cfg.SuspectAfter
}

// writerRank returns this instance's place among the writers, or -1 when it is none of them.
func (m *Machine) writerRank() int {
	candidates := make([]fleet.Ref, 0, len(m.members))
	for _, member := range m.members {
		if member.Instance.Ref == m.self.Ref || member.working() {
			candidates = append(candidates, member.Instance.Ref)
		}
	}
	slices.SortFunc(candidates, func(a, b fleet.Ref) int {
		return cmp.Compare(mix.Mix(hashID(a.ID)^writers), mix.Mix(hashID(b.ID)^writers))
	})
	rank := slices.Index(candidates, m.self.Ref)
	if rank >= writers {
		return -1
	}
	return rank
}

// changes returns what the roster should gain and lose.
func (m *Machine) changes() ([]fleet.Instance, []fleet.Ref) {
	var removed []fleet.Ref
	added := m.facts.joins()
	if m.mayWriteItself() {
		added = append(added, m.self)
	}
	if len(m.deadAt) == 0 {
		return added, nil
	}
	storm := float64(len(m.deadAt)) > max(stormMinimum, m.cfg.StormShare*float64(len(m.roster.Instances)))
	for _, member := range m.members {
		if m.strikes(member, storm) {
			removed = append(removed, member.Instance.Ref)
		}
	}
	return added, removed
}

// strikes reports whether a member is to be taken off the roster.
func (m *Machine) strikes(member Member, storm bool) bool {
	ref := member.Instance.Ref
	since, missing := m.deadAt[ref]
	if !missing || ref == m.self.Ref {
		return false
	}
	if m.facts.has(FactGone, ref) {
		return true
	}
	missingFor := m.now.Sub(since)
	if missingFor < m.cfg.StrikeAfter {
		return false
	}
	if !member.Heard && m.unlisted(ref) {
		return true
	}
	return member.Status == StatusDead && (!storm || missingFor >= m.cfg.StormStrikeAfter)
}

// unlisted reports whether the platform's list has been read and has no such instance.
func (m *Machine) unlisted(r fleet.Ref) bool {
	if m.listed == nil {
		return false
	}
	_, listed := m.listed[r.ID]
	return !listed
}

// RosterWritten takes the outcome of WriteRoster.
func (m *Machine) RosterWritten(now time.Time, r Roster, err error) []Effect {
	if m.stopped {
		return nil
	}
	m.advance(now)
	m.writer.busy = false
	switch {
	case err == nil:
		m.writer.backoff = 0
		m.take(r)
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnknownResult):
		m.counters.Conflicts++
		m.readRoster()
	default:
		m.backOff()
	}
	return m.flush()
}

// RosterRead takes the outcome of ReadRoster. A zero roster says that the store holds none.
func (m *Machine) RosterRead(now time.Time, r Roster, err error) []Effect {
	if m.stopped {
		return nil
	}
	m.advance(now)
	m.writer.busy = false
	if err != nil {
		m.backOff()
		return m.flush()
	}
	m.writer.backoff = 0
	m.join.read = true
	if r.Generation > 0 {
		m.take(r)
	}
	return m.flush()
}

func (m *Machine) readRoster() {
	if !m.mayCall() {
		return
	}
	m.writer.busy = true
	m.writer.busyAt = m.now
	m.counters.RosterReads++
	m.emit(ReadRoster{})
}

// backOff waits before the next call of the store: twice as long each time, by a random part.
func (m *Machine) backOff() {
	m.writer.backoff = min(max(2*m.writer.backoff, m.cfg.RetryMin), m.cfg.RetryMax)
	half := int64(m.writer.backoff / 2)
	m.writer.retryAt = m.now.Add(m.writer.backoff/2 + time.Duration(m.random.Int64N(half+1)))
}
