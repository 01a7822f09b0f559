package claims

import (
	"context"
	"time"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// Times of an outcome look-up.
const (
	lookupResend  = 200 * time.Millisecond
	lookupTimeout = 2 * time.Second // Bound for both instances together.
)

// Lookup is a question to another instance about a key.
type Lookup struct {
	ID  uint64    `cbor:"1,keyasint"`
	Key claim.Key `cbor:"2,keyasint"`
}

// LookupReply answers a Lookup.
type LookupReply struct {
	ID      uint64        `cbor:"1,keyasint"`
	Outcome claim.Outcome `cbor:"2,keyasint"`
}

// lookup is a question that waits for its reply.
type lookup struct {
	to      fleet.Ref
	key     claim.Key
	resend  time.Time
	outcome chan claim.Outcome // Holds one.
}

// Lookup returns what became of a key, from the home's record or the witness's. It never
// makes a key run. The codes outcome-pending and key-unknown say that there is no outcome.
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
		return refuseKey(err)
	}
	first := c.ask(ctx, key, ticket.Home, lookupTimeout/2)
	if first.Result != claim.ResultUnknown || ticket.Witness.IsZero() {
		return lookupAnswer(first)
	}
	second := c.ask(ctx, key, ticket.Witness, lookupTimeout)
	return lookupAnswer(fuller(first, second))
}

// fuller returns the outcome that says more; the first when they say the same.
func fuller(first, second claim.Outcome) claim.Outcome {
	if weight(second) > weight(first) {
		return second
	}
	return first
}

// weight orders outcomes by how much they say.
func weight(o claim.Outcome) int {
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

// ask returns what one instance knows of a key. ReasonNone says that it did not answer.
func (c *Claims) ask(ctx context.Context, key claim.Key, to fleet.Ref, timeout time.Duration) claim.Outcome {
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
		c.lookups[id] = &lookup{to: to, key: key, resend: now.Add(lookupResend), outcome: outcome}
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
	var question Lookup
	if err := wire.DecodeBody(e, &question); err != nil {
		return err
	}
	o := c.machine.Lookup(now, question.Key)
	c.sender.Send(from, wire.KindOutcomeReply, LookupReply{ID: question.ID, Outcome: o})
	return nil
}

func (c *Claims) deliverReply(e wire.Envelope) error {
	var reply LookupReply
	if err := wire.DecodeBody(e, &reply); err != nil {
		return err
	}
	if waiting, ok := c.lookups[reply.ID]; ok {
		delete(c.lookups, reply.ID)
		waiting.outcome <- reply.Outcome
	}
	return nil
}

func (c *Claims) resendLookups(now time.Time) {
	for id, waiting := range c.lookups {
		if now.Before(waiting.resend) {
			continue
		}
		waiting.resend = now.Add(lookupResend)
		c.sender.Send(waiting.to, wire.KindOutcomeLookup, Lookup{ID: id, Key: waiting.key})
	}
}
