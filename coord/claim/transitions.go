package claim

// maxBackoff bounds how often the delay between resends doubles.
const maxBackoff = 24

// addCaller adds a waiting caller with a deadline. A home without a grant seals the key
// SealTimeout before the deadline, or halfway to it if that is later, but at most GrantTimeout
// from now.
func (e *entry) addCaller(nowNanos, deadline int64, limits Limits) {
	if !e.waiting {
		e.deadline, e.claimDeadline = 0, 0
	}
	e.waiting = true
	claimDeadline := max(deadline-int64(limits.SealTimeout), nowNanos+(deadline-nowNanos)/2)
	claimDeadline = min(claimDeadline, nowNanos+int64(limits.GrantTimeout))
	e.deadline = max(e.deadline, deadline)
	e.claimDeadline = max(e.claimDeadline, claimDeadline)
}

// dispatch starts the request of a key at this instance.
func (m *Machine) dispatch(e *entry) {
	e.state = stateRunning
	m.running++
	m.emit(Dispatch{Key: e.key(), Deadline: m.clock.wallTime(e.deadline)})
	m.schedule(e)
}

// seal makes the home never run the key, and requests the witness's confirmation.
func (m *Machine) seal(nowNanos int64, e *entry) {
	e.state = stateSealing
	e.backoff = 0
	e.deadline = min(e.deadline, nowNanos+int64(m.limits.SealTimeout))
	if m.mutations.sealWithoutWitness {
		m.settle(e, Outcome{Result: ResultNotRun, Reason: ReasonSealed})
	}
	m.resend(nowNanos, e)
}

// settle records the outcome and answers the waiting callers with it.
func (m *Machine) settle(e *entry, o Outcome) {
	e.state = stateDone
	if o.Result == ResultNotRun {
		e.state = stateSealed
	}
	e.backoff = 0
	m.answer(e, o)
	m.table.storeOutcome(e, o, m.limits)
}

// settleFromPeer records an outcome that the other instance sent or that its message implies.
func (m *Machine) settleFromPeer(e *entry, o Outcome) {
	m.settle(e, o)
	e.peerHasOutcome = true
	m.schedule(e)
}

// answer answers the callers that wait for the key, if any.
func (m *Machine) answer(e *entry, o Outcome) {
	if !e.waiting {
		return
	}
	e.waiting = false
	m.emit(Answer{Key: e.key(), Outcome: o})
}

// pendingMessage returns the kind of message that the entry resends until the other instance
// replies, or 0 if there is none.
func (m *Machine) pendingMessage(e *entry) MessageKind {
	switch {
	case e.state == stateClaiming:
		return MessageClaim
	case e.state == stateSealing:
		return MessageSeal
	case e.state == stateDeferred && e.waiting:
		return MessageClaim
	case e.state == stateGranted && e.waiting:
		return MessageGrant
	case e.settled() && !e.peerHasOutcome && m.stopping:
		return MessageHandOver
	case e.settled() && !e.peerHasOutcome:
		return MessageOutcome
	default:
		return 0
	}
}

// resend sends the entry's pending message, if any, and sets the time of the next resend.
func (m *Machine) resend(nowNanos int64, e *entry) {
	if kind := m.pendingMessage(e); kind != 0 {
		m.send(e, kind)
		e.resendAt = nowNanos + m.resendDelay(e)
		e.backoff = min(e.backoff+1, maxBackoff)
	}
	m.schedule(e)
}

// resendDelay returns the delay before the next resend. MaxResendDelay bounds it only while a
// caller waits or the machine is stopping.
func (m *Machine) resendDelay(e *entry) int64 {
	delay := int64(m.limits.InitialResendDelay) << e.backoff
	if e.waiting || m.stopping {
		delay = min(delay, int64(m.limits.MaxResendDelay))
	}
	return delay
}

// send sends a message about the entry to the other instance.
func (m *Machine) send(e *entry, kind MessageKind) {
	message := Message{Kind: kind, Key: e.key(), Fingerprint: e.fingerprint}
	if e.settled() {
		message.Outcome = e.outcome
	}
	m.emit(Send{To: e.peer(), Message: message})
}

// schedule sets the entry's timer to the next time at which something is due, or removes it.
func (m *Machine) schedule(e *entry) {
	due := int64(0)
	dueBy := func(t int64) {
		if due == 0 || t < due {
			due = t
		}
	}
	if m.pendingMessage(e) != 0 {
		dueBy(e.resendAt)
	}
	if e.waiting {
		dueBy(e.deadline)
	}
	if e.state == stateClaiming {
		dueBy(e.claimDeadline)
	}
	if due == 0 {
		m.timers.remove(e)
		return
	}
	e.due = due
	m.timers.set(e)
}

// timeoutReason returns why a caller whose deadline has passed got no outcome:
// ReasonPeerUnreachable if this instance will never run the key and only the other may have run
// it, else ReasonPending.
func (e *entry) timeoutReason() Reason {
	if e.state == stateSealing {
		return ReasonPeerUnreachable
	}
	return ReasonPending
}
