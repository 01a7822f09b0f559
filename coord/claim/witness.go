package claim

// onClaim handles the home's claim at the witness.
func (m *Machine) onClaim(at int64, e *entry, msg Message) {
	if e == nil {
		m.grantUnseen(at, msg)
		return
	}
	switch e.state {
	case stateGranted:
		m.send(e, MessageGrant)
	default:
		m.send(e, MessageRefuse)
	}
}

// grantUnseen grants a claim for a key that is not in the table. Without room the claim goes
// unanswered, but for a stopping instance, which runs no key again and needs no record.
func (m *Machine) grantUnseen(at int64, msg Message) {
	if expired(at, msg) {
		m.reply(msg, MessageRefuse, Outcome{Result: ResultRefused, Reason: ReasonExpired})
		return
	}
	if m.room(msg.Key, 0) {
		e := m.add(msg.Key, msg.Ticket, RoleWitness, msg.Fingerprint)
		e.state = stateGranted
		m.send(e, MessageGrant)
		return
	}
	if m.stopping {
		m.reply(msg, MessageGrant, Outcome{})
	}
}

// onSeal handles the home's seal at the witness.
func (m *Machine) onSeal(at int64, e *entry, msg Message) {
	if e == nil {
		m.sealUnseen(at, msg)
		return
	}
	switch e.state {
	case stateGranted:
		m.learn(e, Outcome{Result: ResultNotRun, Reason: ReasonSealed})
		m.send(e, MessageSealAck)
	case stateSealed:
		m.send(e, MessageSealAck)
	default:
		m.send(e, MessageRefuse)
	}
}

// sealUnseen confirms a seal for a key that is not in the table. Without room the seal goes
// unanswered, but for a stopping instance.
func (m *Machine) sealUnseen(at int64, msg Message) {
	if expired(at, msg) {
		m.reply(msg, MessageRefuse, Outcome{Result: ResultRefused, Reason: ReasonExpired})
		return
	}
	if m.room(msg.Key, sealReserveShare) {
		e := m.add(msg.Key, msg.Ticket, RoleWitness, msg.Fingerprint)
		m.learn(e, Outcome{Result: ResultNotRun, Reason: ReasonSealed})
		m.send(e, MessageSealAck)
		return
	}
	if m.stopping {
		m.reply(msg, MessageSealAck, Outcome{})
	}
}
