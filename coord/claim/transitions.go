package claim

// maxBackoff bounds the doublings of the wait between resends.
const maxBackoff = 24

// wait adds a caller with a deadline. A home without a grant gives up SealTimeout before the
// deadline, or halfway to it when less is left, and GrantTimeout from now at the latest.
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

// dispatch runs the key here.
func (m *Machine) dispatch(e *entry) {
	e.state = stateRunning
	m.running++
	m.emit(Dispatch{Key: e.key(), Deadline: m.clock.wallTime(e.deadline)})
	m.schedule(e)
}

// seal gives the key up at the home and asks the witness to confirm.
func (m *Machine) seal(nowNanos int64, e *entry) {
	e.state = stateSealing
	e.backoff = 0
	e.deadline = min(e.deadline, nowNanos+int64(m.limits.SealTimeout))
	if m.mutations.sealWithoutWitness {
		m.settle(e, Outcome{Result: ResultNotRun, Reason: ReasonSealed})
	}
	m.resend(nowNanos, e)
}

// settle records the outcome and gives it to the callers that wait.
func (m *Machine) settle(e *entry, o Outcome) {
	e.state = stateDone
	if o.Result == ResultNotRun {
		e.state = stateSealed
	}
	e.backoff = 0
	m.answer(e, o)
	m.table.storeOutcome(e, o, m.limits)
}

// learn records an outcome that the other instance told.
func (m *Machine) settleFromPeer(e *entry, o Outcome) {
	m.settle(e, o)
	e.peerHasOutcome = true
	m.schedule(e)
}

// answer gives the callers that wait for the key an answer.
func (m *Machine) answer(e *entry, o Outcome) {
	if !e.waiting {
		return
	}
	e.waiting = false
	m.emit(Answer{Key: e.key(), Outcome: o})
}

// pending returns the kind of message that the entry resends until it is answered, or 0.
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

// resend sends the message that the entry waits on and sets the time of the next.
func (m *Machine) resend(nowNanos int64, e *entry) {
	if kind := m.pendingMessage(e); kind != 0 {
		m.send(e, kind)
		e.resendAt = nowNanos + m.resendDelay(e)
		e.backoff = min(e.backoff+1, maxBackoff)
	}
	m.schedule(e)
}

// resendDelay returns the wait before the next resend. It is bounded only while someone waits.
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

// schedule sets the entry's timer.
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

// lateReason says why a caller whose deadline has passed got no outcome: ReasonPeerGone when
// this instance has sealed the key and only the other may have run it.
func (e *entry) timeoutReason() Reason {
	if e.state == stateSealing {
		return ReasonPeerUnreachable
	}
	return ReasonPending
}
