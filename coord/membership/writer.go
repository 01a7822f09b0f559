package membership

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// writerState is the state of writing the roster.
type writerState struct {
	pauseEndedAt  time.Time // End of the last pause; zero once a heartbeat was received after it.
	pendingSince  time.Time // When a change of the roster became due; zero when there is none.
	callInFlight  bool      // A store call is in flight.
	callStartedAt time.Time
	wroteAt       time.Time
	retryAt       time.Time
	backoff       time.Duration
}

// massFailureMinimum is the number of missing instances up to which there is no mass failure, whatever their share.
const massFailureMinimum = 2

// storeCallTimeout is the time after which a store call is considered lost.
const storeCallTimeout = 30 * time.Second

// tickWriter writes the roster when a change is due and it is this instance's turn.
func (m *Machine) tickWriter() {
	added, removed := m.pendingChanges()
	if len(added)+len(removed) == 0 {
		m.writer.pendingSince = time.Time{}
		return
	}
	if m.writer.pendingSince.IsZero() {
		m.writer.pendingSince = m.now
	}
	if !m.mayCallStore() || !m.isMyTurn() || m.now.Sub(m.writer.wroteAt) < m.cfg.WriteInterval {
		return
	}
	m.writer.callInFlight = true
	m.writer.callStartedAt = m.now
	m.writer.wroteAt = m.now
	m.counters.RosterWrites++
	m.emit(WriteRoster{Roster: m.roster.with(added, removed)})
}

func (m *Machine) mayCallStore() bool {
	if m.writer.callInFlight && m.now.Sub(m.writer.callStartedAt) < storeCallTimeout {
		return false
	}
	return !m.now.Before(m.writer.retryAt)
}

// isMyTurn reports whether it is this instance's turn to write the roster.
func (m *Machine) isMyTurn() bool {
	if !m.join.joined {
		return m.mayAddSelf()
	}
	if m.leaving || m.recentlyPaused() {
		return false
	}
	rank := m.writerRank()
	if rank < 0 {
		return false
	}
	return m.now.Sub(m.writer.pendingSince) >= m.cfg.BatchInterval+time.Duration(rank)*m.cfg.WriterStagger
}

// recentlyPaused reports whether this instance was paused less than 2*SuspectAfter ago and has received no heartbeat since.
func (m *Machine) recentlyPaused() bool {
	return !m.writer.pauseEndedAt.IsZero() && m.now.Sub(m.writer.pauseEndedAt) < 2*m.cfg.SuspectAfter
}

// writerRank returns this instance's rank among the writers, or -1 when it is not one of them.
func (m *Machine) writerRank() int {
	candidates := make([]fleet.Ref, 0, len(m.members))
	for _, member := range m.members {
		if member.Instance.Ref == m.self.Ref || member.available() {
			candidates = append(candidates, member.Instance.Ref)
		}
	}
	slices.SortFunc(candidates, func(a, b fleet.Ref) int {
		return cmp.Compare(mix.Mix(hashID(a.ID)^maxWriters), mix.Mix(hashID(b.ID)^maxWriters))
	})
	rank := slices.Index(candidates, m.self.Ref)
	if rank >= maxWriters {
		return -1
	}
	return rank
}

// pendingChanges returns the instances to add to the roster and to remove from it.
func (m *Machine) pendingChanges() ([]fleet.Instance, []fleet.Ref) {
	var removed []fleet.Ref
	added := m.facts.joinRequests()
	if m.mayAddSelf() {
		added = append(added, m.self)
	}
	if len(m.missingSince) == 0 {
		return added, nil
	}
	massFailure := float64(len(m.missingSince)) > max(massFailureMinimum, m.cfg.MassFailureShare*float64(len(m.roster.Instances)))
	for _, member := range m.members {
		if m.shouldRemove(member, massFailure) {
			removed = append(removed, member.Instance.Ref)
		}
	}
	return added, removed
}

// shouldRemove reports whether a member is to be removed from the roster.
func (m *Machine) shouldRemove(member Member, massFailure bool) bool {
	ref := member.Instance.Ref
	since, missing := m.missingSince[ref]
	if !missing || ref == m.self.Ref {
		return false
	}
	if m.facts.has(FactStopped, ref) {
		return true
	}
	missingFor := m.now.Sub(since)
	if missingFor < m.cfg.RemoveAfter {
		return false
	}
	if !member.Reachable && m.notOnPlatform(ref) {
		return true
	}
	return member.Status == StatusDead && (!massFailure || missingFor >= m.cfg.MassFailureRemoveAfter)
}

// notOnPlatform reports whether the platform's list has been received and does not contain an instance.
func (m *Machine) notOnPlatform(r fleet.Ref) bool {
	if m.platformList == nil {
		return false
	}
	_, listed := m.platformList[r.ID]
	return !listed
}

// RosterWritten handles the outcome of WriteRoster.
func (m *Machine) RosterWritten(now time.Time, r Roster, err error) []Effect {
	if m.stopped {
		return nil
	}
	m.advance(now)
	m.writer.callInFlight = false
	switch {
	case err == nil:
		m.writer.backoff = 0
		m.applyRoster(r)
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnknownResult):
		m.counters.Conflicts++
		m.readRoster()
	default:
		m.backOff()
	}
	return m.flush()
}

// RosterRead handles the outcome of ReadRoster. A zero roster means that the store has none.
func (m *Machine) RosterRead(now time.Time, r Roster, err error) []Effect {
	if m.stopped {
		return nil
	}
	m.advance(now)
	m.writer.callInFlight = false
	if err != nil {
		m.backOff()
		return m.flush()
	}
	m.writer.backoff = 0
	m.join.storeRead = true
	if r.Generation > 0 {
		m.applyRoster(r)
	}
	return m.flush()
}

func (m *Machine) readRoster() {
	if !m.mayCallStore() {
		return
	}
	m.writer.callInFlight = true
	m.writer.callStartedAt = m.now
	m.counters.RosterReads++
	m.emit(ReadRoster{})
}

// backOff delays the next store call with jittered exponential backoff.
func (m *Machine) backOff() {
	m.writer.backoff = min(max(2*m.writer.backoff, m.cfg.RetryMin), m.cfg.RetryMax)
	half := int64(m.writer.backoff / 2)
	m.writer.retryAt = m.now.Add(m.writer.backoff/2 + time.Duration(m.random.Int64N(half+1)))
}
