package claim

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// expiryRetryInterval is how long the removal of an expired ticket is postponed while one of
// its keys is running or has waiting callers.
const expiryRetryInterval = time.Second

// Machine is the claim protocol's state machine for one incarnation of an instance.
type Machine struct {
	self      fleet.Ref
	limits    Limits
	clock     clock
	table     table
	timers    timerQueue[*entry]
	running   int
	stopping  bool
	effects   []Effect
	mutations mutations
}

// mutations disables rules of the protocol. Only tests set it, to show that their invariant
// checks detect each broken rule.
type mutations struct {
	dispatchWithoutGrant bool // The home dispatches without the witness's grant.
	dispatchAfterSeal    bool // The home dispatches on a grant that arrives after its seal.
	sealWithoutWitness   bool // The home reports ResultNotRun without the witness's confirmation.
	runAfterGrant        bool // The witness runs a key that it has granted to the home.
}

// NewMachine returns the empty state machine of one incarnation of an instance. Limits that
// are not positive take their defaults.
func NewMachine(self fleet.Ref, limits Limits) *Machine {
	return &Machine{
		self:   self,
		limits: limits.withDefaults(),
		table:  newTable(),
	}
}

// Submit handles a caller's request in the given role. It is answered by a Refusal among the
// returned effects, or by an Answer among the effects of this or a later call.
func (m *Machine) Submit(now time.Time, role Role, s Submission) []Effect {
	nowNanos := m.clock.nanos(now)
	e := m.table.find(s.Key)
	if reason := m.refusalReason(nowNanos, role, s, e); reason != ReasonNone {
		m.emit(Refusal{Key: s.Key, Reason: reason})
		return m.takeEffects()
	}
	deadline := nowNanos + int64(s.Deadline.Sub(now))
	if e != nil {
		m.join(nowNanos, e, deadline)
		return m.takeEffects()
	}
	e = m.add(s.Key, s.Ticket, role, s.Fingerprint)
	e.addCaller(nowNanos, deadline, m.limits)
	if role == RoleWitness || s.Ticket.Witness.IsZero() || m.mutations.dispatchWithoutGrant {
		m.dispatch(e)
		return m.takeEffects()
	}
	e.state = stateClaiming
	m.resend(nowNanos, e)
	return m.takeEffects()
}

// refusalReason returns why a submission is refused, or ReasonNone.
func (m *Machine) refusalReason(nowNanos int64, role Role, s Submission, e *entry) Reason {
	switch {
	case m.roleIn(s.Ticket) != role || role == RoleNone:
		return ReasonWrongIncarnation
	case nowNanos >= s.Ticket.Expires.UnixNano():
		return ReasonExpired
	case e != nil && e.fingerprint != s.Fingerprint:
		return ReasonFingerprintMismatch
	case e != nil:
		return ReasonNone
	case m.stopping:
		return ReasonStopping
	case !m.hasRoom(s.Key, 0):
		return ReasonTableFull
	default:
		return ReasonNone
	}
}

// roleIn returns the role that a ticket gives to this incarnation.
func (m *Machine) roleIn(t Ticket) Role {
	switch m.self {
	case t.Home:
		return RoleHome
	case t.Witness:
		return RoleWitness
	default:
		return RoleNone
	}
}

// join adds a caller to an entry that is in the table.
func (m *Machine) join(nowNanos int64, e *entry, deadline int64) {
	if e.settled() {
		m.emit(Answer{Key: e.key(), Outcome: e.outcome})
		return
	}
	if e.state == stateGranted && m.mutations.runAfterGrant {
		m.dispatch(e)
	}
	e.addCaller(nowNanos, deadline, m.limits)
	e.backoff = 0
	m.resend(nowNanos, e)
}

// Abandon reports that no caller waits for the key any more. A home without a grant seals it.
func (m *Machine) Abandon(now time.Time, key Key) []Effect {
	nowNanos := m.clock.nanos(now)
	e := m.table.find(key)
	if e == nil {
		return nil
	}
	e.waiting = false
	if e.state == stateClaiming {
		m.seal(nowNanos, e)
	}
	m.schedule(e)
	return m.takeEffects()
}

// Finish reports the outcome of a Dispatch. ResultNotRun means that no byte was sent or that
// the upstream refused the request before starting it; it seals the key. Any Result other than
// ResultNotRun and ResultAnswered counts as ResultUnknown.
func (m *Machine) Finish(now time.Time, key Key, o Outcome) []Effect {
	nowNanos := m.clock.nanos(now)
	e := m.table.find(key)
	if e == nil || e.state != stateRunning {
		return nil
	}
	m.running--
	switch o.Result {
	case ResultNotRun, ResultAnswered:
	default:
		o.Result = ResultUnknown
	}
	m.settle(e, o)
	e.peerHasOutcome = e.peer().IsZero()
	m.resend(nowNanos, e)
	return m.takeEffects()
}

// Tick resends messages that are due, answers callers whose deadline has passed and removes
// expired tickets.
func (m *Machine) Tick(now time.Time) []Effect {
	nowNanos := m.clock.nanos(now)
	for {
		e, ok := m.timers.first()
		if !ok || e.due > nowNanos {
			break
		}
		m.fire(nowNanos, e)
	}
	m.expire(nowNanos)
	return m.takeEffects()
}

func (m *Machine) fire(nowNanos int64, e *entry) {
	if e.state == stateClaiming && nowNanos >= e.claimDeadline {
		m.seal(nowNanos, e)
	}
	if e.waiting && nowNanos >= e.deadline {
		m.answer(e, Outcome{Result: ResultUnknown, Reason: e.timeoutReason()})
	}
	if m.pendingMessage(e) != 0 && nowNanos >= e.resendAt {
		m.resend(nowNanos, e)
	}
	m.schedule(e)
}

func (m *Machine) expire(nowNanos int64) {
	for {
		g, ok := m.table.expiry.first()
		if !ok || g.expires > nowNanos {
			return
		}
		if g.busy() {
			g.expires = nowNanos + int64(expiryRetryInterval)
			m.table.expiry.set(g)
			continue
		}
		for e := g.first; e != nil; e = e.next {
			m.timers.remove(e)
		}
		m.table.removeGroup(g)
	}
}

// Lookup returns the outcome that this instance has recorded for a key. With ResultUnknown,
// ReasonUnknownKey means that it has no record, ReasonPending that there is no outcome yet, and
// ReasonPeerUnreachable that this instance will never run the key and the other has not
// confirmed whether it ran it.
func (m *Machine) Lookup(_ time.Time, key Key) Outcome {
	e := m.table.find(key)
	switch {
	case e == nil:
		return Outcome{Result: ResultUnknown, Reason: ReasonUnknownKey}
	case e.settled():
		return e.outcome
	default:
		return Outcome{Result: ResultUnknown, Reason: e.timeoutReason()}
	}
}

// Stop begins a planned stop: the machine accepts no new key, seals the keys that wait for a
// grant, and hands over to the other instances the outcomes that they lack.
func (m *Machine) Stop(now time.Time) []Effect {
	nowNanos := m.clock.nanos(now)
	m.stopping = true
	open := append([]*entry(nil), m.timers.items...)
	for _, e := range open {
		e.backoff = 0
		if e.state == stateClaiming {
			m.seal(nowNanos, e)
			continue
		}
		m.resend(nowNanos, e)
	}
	return m.takeEffects()
}

// Drained reports whether a stopping machine has nothing left to run, settle or hand over.
func (m *Machine) Drained() bool {
	return m.stopping && m.running == 0 && len(m.timers.items) == 0
}

// Len returns the number of keys in the table.
func (m *Machine) Len() int {
	return len(m.table.entries)
}

// Bytes returns the estimated bytes of the table.
func (m *Machine) Bytes() int {
	return m.table.bytes
}

// Contains reports whether the table has the key. If not, Deliver needs Message.Ticket.
func (m *Machine) Contains(key Key) bool {
	return m.table.find(key) != nil
}

// hasRoom reports whether a key that is not in the table fits, and evicts old answers if they
// are in the way. A positive reserveDivisor raises each limit by the limit divided by it.
func (m *Machine) hasRoom(key Key, reserveDivisor int) bool {
	keys, bytes := m.limits.MaxKeys, m.limits.MaxBytes
	if reserveDivisor > 0 {
		keys += keys / reserveDivisor
		bytes += bytes / reserveDivisor
	}
	cost := m.table.cost(key)
	m.table.evictAnswers(cost, bytes)
	return m.Len() < keys && m.table.bytes+cost <= bytes
}

func (m *Machine) add(key Key, ticket Ticket, role Role, f Fingerprint) *entry {
	e := m.table.add(key, ticket)
	e.role = role
	e.fingerprint = f
	return e
}

func (m *Machine) emit(effect Effect) {
	m.effects = append(m.effects, effect)
}

// takeEffects returns the effects emitted since the last call.
func (m *Machine) takeEffects() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}
