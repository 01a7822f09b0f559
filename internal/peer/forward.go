package peer

import (
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Forward is a message that a third instance passes on, while the direct link between
// two instances fails. It is passed on once only, and never answered.
type Forward struct {
	From     fleet.Ref `cbor:"1,keyasint"`
	To       fleet.Ref `cbor:"2,keyasint"`
	Envelope []byte    `cbor:"3,keyasint"`
}

// forwards reports whether messages of a kind may take the way over a third instance.
// Membership is left out, since its heartbeats tell whether the direct way works.
func forwards(kind wire.Kind) bool {
	switch kind {
	case wire.KindClaim, wire.KindRelayRequest, wire.KindRelayAnswer, wire.KindOutcomeLookup,
		wire.KindOutcomeReply, wire.KindEvidence, wire.KindVerdict:
		return true
	default:
		return false
	}
}

// offerVia sends a message over the first instance whose link works. A message that
// cannot go that way waits for the direct link.
func (l *Links) offerVia(to fleet.Ref, kind wire.Kind, data []byte) bool {
	via, ok := l.via(to)
	if !ok || !forwards(kind) {
		return l.offerDirect(to, item{kind: kind, data: data})
	}
	wrapped, err := wire.Encode(wire.KindForward, Forward{From: l.cfg.Self.Ref, To: to, Envelope: data})
	if err != nil {
		l.count.dropped.Add(1)
		return false
	}
	l.nudge(to)
	return l.offerDirect(via, item{kind: wire.KindForward, data: wrapped})
}

// via returns an instance that may pass messages on to another.
func (l *Links) via(to fleet.Ref) (fleet.Ref, bool) {
	if l.cfg.Forwarders == nil {
		return fleet.Ref{}, false
	}
	for _, third := range l.cfg.Forwarders(to) {
		if third != to && third != l.cfg.Self.Ref && !l.Failing(third) {
			return third, true
		}
	}
	return fleet.Ref{}, false
}

// nudge keeps a failing link dialling, so that it is found again when it heals.
func (l *Links) nudge(to fleet.Ref) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linkTo(to)
}

// Unreachable reports whether neither the direct link nor a third instance leads to an instance.
func (l *Links) Unreachable(to fleet.Ref) bool {
	if !l.Failing(to) {
		return false
	}
	_, ok := l.via(to)
	return !ok
}

// take delivers a received message, or passes it on.
func (l *Links) take(from fleet.Ref, e wire.Envelope) {
	if e.Kind != wire.KindForward {
		l.cfg.Deliver(from, e)
		return
	}
	var f Forward
	if err := wire.DecodeBody(e, &f); err != nil {
		l.malformed(from, err)
		return
	}
	if f.To == l.cfg.Self.Ref {
		l.unwrap(from, f)
		return
	}
	l.passOn(from, f, e)
}

// unwrap delivers a message that a third instance passed on.
func (l *Links) unwrap(from fleet.Ref, f Forward) {
	inner, err := wire.Decode(f.Envelope)
	if err != nil || !forwards(inner.Kind) {
		l.malformed(from, err)
		return
	}
	l.cfg.Deliver(f.From, inner)
}

// passOn sends the message to its receiver, over the direct link alone. Only messages
// that come from their own sender are passed on.
func (l *Links) passOn(from fleet.Ref, f Forward, e wire.Envelope) {
	if f.From != from || l.Failing(f.To) {
		l.count.dropped.Add(1)
		return
	}
	data, err := wire.Encode(wire.KindForward, e.Body)
	if err != nil {
		l.count.dropped.Add(1)
		return
	}
	l.count.forwarded.Add(1)
	l.offerDirect(f.To, item{kind: wire.KindForward, data: data})
}

func (l *Links) malformed(from fleet.Ref, err error) {
	l.count.malformed.Add(1)
	l.cfg.Log.Warn("peer message dropped", "from", from.String(), "error", err)
}
