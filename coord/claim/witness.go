package claim

// onClaim handles the home's claim at the witness.
func (m *Machine) onClaim(nowNanos int64, e *entry, msg Message) {
	if e == nil {
		m.grantNew(nowNanos, msg)
		return
	}
	switch e.state {
	case stateGranted:
		m.send(e, MessageGrant)
	default:
		m.send(e, MessageRefuse)
	}
}

// grantNew grants a claim for a key that is not in the table. If the table is full it does not
// reply, unless the instance is stopping: it will never run a new key, so it can grant without
// a record.
func (m *Machine) grantNew(nowNanos int64, msg Message) {
	if expired(nowNanos, msg) {
		m.reply(msg, MessageRefuse, Outcome{Result: ResultRefused, Reason: ReasonExpired})
		return
	}
	if m.hasRoom(msg.Key, 0) {
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
func (m *Machine) onSeal(nowNanos int64, e *entry, msg Message) {
	if e == nil {
		m.sealNew(nowNanos, msg)
		return
	}
	switch e.state {
	case stateGranted:
		m.settleFromPeer(e, Outcome{Result: ResultNotRun, Reason: ReasonSealed})
		m.send(e, MessageSealAck)
	case stateSealed:
		m.send(e, MessageSealAck)
	default:
		m.send(e, MessageRefuse)
	}
}

// sealNew confirms a seal for a key that is not in the table. If the table is full it does not
// reply, unless the instance is stopping: it will never run a new key, so it can confirm
// without a record.
func (m *Machine) sealNew(nowNanos int64, msg Message) {
	if expired(nowNanos, msg) {
		m.reply(msg, MessageRefuse, Outcome{Result: ResultRefused, Reason: ReasonExpired})
		return
	}
	if m.hasRoom(msg.Key, sealReserveDivisor) {
		e := m.add(msg.Key, msg.Ticket, RoleWitness, msg.Fingerprint)
		m.settleFromPeer(e, Outcome{Result: ResultNotRun, Reason: ReasonSealed})
		m.send(e, MessageSealAck)
		return
	}
	if m.stopping {
		m.reply(msg, MessageSealAck, Outcome{})
	}
}
