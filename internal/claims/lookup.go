package claims

import (
	"context"
	"time"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Durations of an outcome look-up.
const (
	lookupResendInterval = 200 * time.Millisecond
	lookupTimeout        = 2 * time.Second // Total for both instances.
)

// Lookup requests the outcome of a key from another instance.
type Lookup struct {
	ID  uint64    `cbor:"1,keyasint"`
	Key claim.Key `cbor:"2,keyasint"`
}

// LookupReply is the reply to a Lookup.
type LookupReply struct {
	ID      uint64        `cbor:"1,keyasint"`
	Outcome claim.Outcome `cbor:"2,keyasint"`
}

// pendingLookup is a Lookup whose reply has not arrived.
type pendingLookup struct {
	to       fleet.Ref
	key      claim.Key
	resendAt time.Time          // When to send it again.
	outcome  chan claim.Outcome // Has a buffer of one.
}

// Lookup returns the outcome of a key from the records of its home and witness. It never starts
// an execution. The codes outcome-pending and key-unknown mean that there is no outcome.
func (c *Claims) Lookup(ctx context.Context, text string) exchange.Answer {
	a := c.lookup(ctx, text)
	c.count(a.Code)
	return a
}

func (c *Claims) lookup(ctx context.Context, text string) exchange.Answer {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	key, ticket, err := c.openKey(text)
	if err != nil {
		return keyErrorAnswer(err)
	}
	first := c.lookupAt(ctx, key, ticket.Home, lookupTimeout/2)
	if first.Result != claim.ResultUnknown || ticket.Witness.IsZero() {
		return lookupAnswer(first)
	}
	second := c.lookupAt(ctx, key, ticket.Witness, lookupTimeout)
	return lookupAnswer(moreInformative(first, second))
}

// moreInformative returns the outcome with the higher rank, or first if the ranks are equal.
func moreInformative(first, second claim.Outcome) claim.Outcome {
	if outcomeRank(second) > outcomeRank(first) {
		return second
	}
	return first
}

// outcomeRank orders outcomes by how conclusive they are.
func outcomeRank(o claim.Outcome) int {
	switch {
	case o.Result != claim.ResultUnknown:
		return 3
	case o.Reason == claim.ReasonNone:
		return 0
	case o.Reason == claim.ReasonUnknownKey:
		return 1
	default:
		return 2
	}
}

// lookupAt returns the outcome of a key in one instance's record. Its reason is ReasonNone if
// the instance did not reply.
func (c *Claims) lookupAt(ctx context.Context, key claim.Key, to fleet.Ref, timeout time.Duration) claim.Outcome {
	if to != c.self && !c.relay.Reachable(to) {
		return claim.Outcome{Result: claim.ResultUnknown}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcome := make(chan claim.Outcome, 1)
	var id uint64
	posted := c.loop.Post(func(now time.Time) {
		if to == c.self {
			outcome <- c.machine.Lookup(now, key)
			return
		}
		c.lookupID++
		id = c.lookupID
		c.lookups[id] = &pendingLookup{to: to, key: key, resendAt: now.Add(lookupResendInterval), outcome: outcome}
		c.sender.Send(to, wire.KindOutcomeLookup, Lookup{ID: id, Key: key})
	})
	if !posted {
		return claim.Outcome{Result: claim.ResultUnknown}
	}
	select {
	case o := <-outcome:
		return o
	case <-ctx.Done():
		c.loop.Post(func(time.Time) { delete(c.lookups, id) })
		return claim.Outcome{Result: claim.ResultUnknown}
	}
}

func (c *Claims) deliverLookup(now time.Time, from fleet.Ref, e wire.Envelope) error {
	var request Lookup
	if err := wire.DecodeBody(e, &request); err != nil {
		return err
	}
	o := c.machine.Lookup(now, request.Key)
	c.sender.Send(from, wire.KindOutcomeReply, LookupReply{ID: request.ID, Outcome: o})
	return nil
}

func (c *Claims) deliverReply(e wire.Envelope) error {
	var reply LookupReply
	if err := wire.DecodeBody(e, &reply); err != nil {
		return err
	}
	if pending, ok := c.lookups[reply.ID]; ok {
		delete(c.lookups, reply.ID)
		pending.outcome <- reply.Outcome
	}
	return nil
}

func (c *Claims) resendLookups(now time.Time) {
	for id, pending := range c.lookups {
		if now.Before(pending.resendAt) {
			continue
		}
		pending.resendAt = now.Add(lookupResendInterval)
		c.sender.Send(pending.to, wire.KindOutcomeLookup, Lookup{ID: id, Key: pending.key})
	}
}
