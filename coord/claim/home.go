package claim

// onGrant handles the witness's grant at the home. The witness never runs the key after it, so
// a home that is sealing the key may report ResultNotRun at once.
func (m *Machine) onGrant(nowNanos int64, e *entry) {
	switch e.state {
	case stateClaiming:
		if nowNanos >= e.group.ticket.Expires.UnixNano() {
			m.sealAfterGrant(nowNanos, e)
			return
		}
		m.dispatch(e)
	case stateSealing:
		if m.mutations.dispatchAfterSeal {
			m.dispatch(e)
			return
		}
		m.sealAfterGrant(nowNanos, e)
	case stateSealed, stateDone:
		m.send(e, MessageOutcome)
	}
}

// sealAfterGrant seals a key that the witness has granted and sends the outcome to the witness.
func (m *Machine) sealAfterGrant(nowNanos int64, e *entry) {
	m.settle(e, Outcome{Result: ResultNotRun, Reason: ReasonSealed})
	m.resend(nowNanos, e)
}

// onRefuse handles a refusal at the home: the witness is running, ran or sealed the key, or
// the ticket has expired there.
func (m *Machine) onRefuse(e *entry, msg Message) {
	switch e.state {
	case stateClaiming, stateSealing, stateDeferred:
	default:
		return
	}
	m.adoptFingerprint(e, msg.Fingerprint)
	switch msg.Outcome.Result {
	case ResultAnswered, ResultNotRun, ResultUnknown:
		m.settleFromPeer(e, msg.Outcome)
	case ResultRefused:
		m.settleFromPeer(e, Outcome{Result: ResultUnknown, Reason: msg.Outcome.Reason})
	default:
		e.state = stateDeferred
		m.schedule(e)
	}
}

// onSealAck handles the witness's confirmation of the seal at the home.
func (m *Machine) onSealAck(e *entry) {
	switch e.state {
	case stateSealing, stateDeferred:
		m.settleFromPeer(e, Outcome{Result: ResultNotRun, Reason: ReasonSealed})
	}
}
