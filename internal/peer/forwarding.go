package peer

import (
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Forward is a message that a third instance forwards while the direct link between two
// instances is failing. It is forwarded only once and never acknowledged.
type Forward struct {
	From     fleet.Ref `cbor:"1,keyasint"`
	To       fleet.Ref `cbor:"2,keyasint"`
	Envelope []byte    `cbor:"3,keyasint"`
}

// canForward reports whether messages of a kind may be forwarded by a third instance.
// Membership messages may not, since their heartbeats test the direct link.
func canForward(kind wire.Kind) bool {
	switch kind {
	case wire.KindClaim, wire.KindRelayRequest, wire.KindRelayAnswer, wire.KindOutcomeLookup,
		wire.KindOutcomeReply, wire.KindEvidence, wire.KindDecision:
		return true
	default:
		return false
	}
}

// sendVia sends a message by the first forwarder whose link works. A message that cannot be
// forwarded is queued for the direct link.
func (l *Links) sendVia(to fleet.Ref, kind wire.Kind, data []byte) bool {
	forwarder, ok := l.chooseForwarder(to)
	if !ok || !canForward(kind) {
		return l.sendDirect(to, item{kind: kind, data: data})
	}
	wrapped, err := wire.Encode(wire.KindForward, Forward{From: l.cfg.Self.Ref, To: to, Envelope: data})
	if err != nil {
		l.count.dropped.Add(1)
		return false
	}
	l.ensureLink(to)
	return l.sendDirect(forwarder, item{kind: wire.KindForward, data: wrapped})
}

// chooseForwarder returns an instance that may forward messages to another.
func (l *Links) chooseForwarder(to fleet.Ref) (fleet.Ref, bool) {
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

// ensureLink starts the link to an instance if there is none, so that a failing link keeps
// being dialed and its recovery is noticed.
func (l *Links) ensureLink(to fleet.Ref) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linkTo(to)
}

// Unreachable reports whether the direct link to an instance is failing and no forwarder is available.
func (l *Links) Unreachable(to fleet.Ref) bool {
	if !l.Failing(to) {
		return false
	}
	_, ok := l.chooseForwarder(to)
	return !ok
}

// receive delivers a received message or forwards it.
func (l *Links) receive(from fleet.Ref, e wire.Envelope) {
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
		l.deliverForwarded(from, f)
		return
	}
	l.forward(from, f, e)
}

// deliverForwarded delivers a message that a third instance forwarded.
func (l *Links) deliverForwarded(from fleet.Ref, f Forward) {
	inner, err := wire.Decode(f.Envelope)
	if err != nil || !canForward(inner.Kind) {
		l.malformed(from, err)
		return
	}
	l.cfg.Deliver(f.From, inner)
}

// forward sends the message to its receiver over the direct link only. A message that did not
// arrive from its own sender is dropped, so it is forwarded once at most and under its
// sender's own name.
func (l *Links) forward(from fleet.Ref, f Forward, e wire.Envelope) {
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
	l.sendDirect(f.To, item{kind: wire.KindForward, data: data})
}

func (l *Links) malformed(from fleet.Ref, err error) {
	l.count.malformed.Add(1)
	l.cfg.Log.Warn("peer message dropped", "from", from.String(), "error", err)
}
