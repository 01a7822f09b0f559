package claim

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Deliver hands over a message from one life of an instance. A message that does not come
// from the other instance of the key's ticket is dropped.
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

// genuine reports whether the message is one that from may send to this instance.
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

// peer returns the instance that plays the peer part.
func (t Ticket) peer(role Role) fleet.Ref {
	if role == RoleHome {
		return t.Witness
	}
	return t.Home
}

// peer returns the instance that plays the other part for the entry.
func (e *entry) peer() fleet.Ref {
	return e.group.ticket.peer(e.role)
}

// busy reports whether a key of the book runs or has callers waiting.
func (g *ticketGroup) busy() bool {
	for e := g.first; e != nil; e = e.next {
		if e.state == stateRunning || e.waiting {
			return true
		}
	}
	return false
}

// reply answers a message whose key is not in the table.
func (m *Machine) reply(msg Message, kind MessageKind, o Outcome) {
	m.emit(Send{
		To:      msg.Ticket.peer(m.roleIn(msg.Ticket)),
		Message: Message{Kind: kind, Key: msg.Key, Fingerprint: msg.Fingerprint, Outcome: o},
	})
}

// expired reports whether the ticket of a message has expired here.
func expired(nowNanos int64, msg Message) bool {
	return nowNanos >= msg.Ticket.Expires.UnixNano()
}

// onOutcome records what the other instance says became of the key.
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

// recordUnseen makes an entry for an outcome whose key is not in the table. Without room
// there is none, and the sender tries again.
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

// adopt takes over the fingerprint of the request that the other instance has under the key.
// Callers of another request are refused: its outcome is not theirs.
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
