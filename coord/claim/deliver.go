package claim

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Deliver handles a message from one incarnation of an instance. It drops a message that does
// not come from the other instance of the key's ticket.
func (m *Machine) Deliver(now time.Time, from fleet.Ref, msg Message) []Effect {
	nowNanos := m.clock.nanos(now)
	e := m.table.find(msg.Key)
	if !m.authorized(from, msg, e) {
		return nil
	}
	switch msg.Kind {
	case MessageClaim:
		m.onClaim(nowNanos, e, msg)
	case MessageSeal:
		m.onSeal(nowNanos, e, msg)
	case MessageGrant:
		m.onGrant(nowNanos, e)
	case MessageRefuse:
		m.onRefuse(e, msg)
	case MessageSealAck:
		m.onSealAck(e)
	case MessageOutcome, MessageHandOver:
		m.onOutcome(nowNanos, e, msg)
	case MessageOutcomeAck:
		m.onOutcomeAck(e)
	}
	return m.takeEffects()
}

// authorized reports whether the sender may send this kind of message for the key to this
// instance: the sender is the other instance of the ticket, and its role allows the kind.
func (m *Machine) authorized(from fleet.Ref, msg Message, e *entry) bool {
	ticket := msg.Ticket
	if e != nil {
		ticket = e.group.ticket
	}
	role := m.roleIn(ticket)
	if role == RoleNone || from != ticket.peer(role) {
		return false
	}
	switch msg.Kind {
	case MessageClaim, MessageSeal:
		return role == RoleWitness
	case MessageGrant, MessageRefuse, MessageSealAck:
		return role == RoleHome && e != nil
	case MessageOutcome, MessageHandOver:
		return true
	case MessageOutcomeAck:
		return e != nil
	default:
		return false
	}
}

// peer returns the other instance of the ticket: the witness for the home, and the home for
// the witness.
func (t Ticket) peer(role Role) fleet.Ref {
	if role == RoleHome {
		return t.Witness
	}
	return t.Home
}

// peer returns the other instance of the entry's ticket.
func (e *entry) peer() fleet.Ref {
	return e.group.ticket.peer(e.role)
}

// busy reports whether a key of the group is running or has waiting callers.
func (g *ticketGroup) busy() bool {
	for e := g.first; e != nil; e = e.next {
		if e.state == stateRunning || e.waiting {
			return true
		}
	}
	return false
}

// reply replies to a message whose key is not in the table.
func (m *Machine) reply(msg Message, kind MessageKind, o Outcome) {
	m.emit(Send{
		To:      msg.Ticket.peer(m.roleIn(msg.Ticket)),
		Message: Message{Kind: kind, Key: msg.Key, Fingerprint: msg.Fingerprint, Outcome: o},
	})
}

// expired reports whether the ticket of a message has expired by the local clock.
func expired(nowNanos int64, msg Message) bool {
	return nowNanos >= msg.Ticket.Expires.UnixNano()
}

// onOutcome records the outcome that the other instance sent.
func (m *Machine) onOutcome(nowNanos int64, e *entry, msg Message) {
	if e == nil {
		e = m.recordNew(nowNanos, msg)
	}
	if e == nil || e.state == stateRunning {
		return
	}
	if !e.settled() {
		m.adoptFingerprint(e, msg.Fingerprint)
		m.settleFromPeer(e, msg.Outcome)
	}
	m.send(e, MessageOutcomeAck)
}

// recordNew adds an entry for an outcome whose key is not in the table. If the table is full
// it returns nil without acknowledging the outcome, so the sender retries. An outcome of an
// expired ticket is acknowledged and not recorded.
func (m *Machine) recordNew(nowNanos int64, msg Message) *entry {
	if expired(nowNanos, msg) {
		m.reply(msg, MessageOutcomeAck, Outcome{})
		return nil
	}
	if !m.hasRoom(msg.Key, sealReserveDivisor) {
		return nil
	}
	e := m.add(msg.Key, msg.Ticket, m.roleIn(msg.Ticket), msg.Fingerprint)
	m.settleFromPeer(e, msg.Outcome)
	return e
}

// adoptFingerprint replaces the entry's fingerprint by the one that the other instance has for
// the key. Waiting callers are refused if it differs, since the outcome belongs to another request.
func (m *Machine) adoptFingerprint(e *entry, f Fingerprint) {
	if e.fingerprint == f {
		return
	}
	m.answer(e, Outcome{Result: ResultRefused, Reason: ReasonFingerprintMismatch})
	e.fingerprint = f
}

func (m *Machine) onOutcomeAck(e *entry) {
	if !e.settled() {
		return
	}
	e.peerHasOutcome = true
	m.schedule(e)
}
