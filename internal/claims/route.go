package claims

import (
	"context"
	"errors"
	"time"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/relay"
)

// Times of a keyed request.
const (
	defaultDeadline = 10 * time.Second // Of a request without one.
	homeShare       = 4                // The home has this part of the time left, as a divisor.
	homeShareMost   = time.Second      // Bound of the home's part.
	replyShare      = 10               // A relayed request leaves this part of the time for its reply, as a divisor.
	replyShareMost  = control.TickInterval
)

// try asks one of the two instances of a ticket.
type try func(ctx context.Context) exchange.Answer

// Do runs a keyed request that a caller sent to this instance.
func (c *Claims) Do(ctx context.Context, r exchange.Request) exchange.Answer {
	a := c.do(ctx, r)
	c.count(a.Code)
	return a
}

func (c *Claims) do(ctx context.Context, r exchange.Request) exchange.Answer {
	ctx, r, cancel := withDeadline(ctx, r)
	defer cancel()
	s, refusal, ok := c.submission(r)
	if !ok {
		return refusal
	}
	home := c.tryAt(claim.RoleHome, s.Ticket.Home, r, s)
	if s.Ticket.Witness.IsZero() {
		return conclude(home(ctx))
	}
	witness := c.tryAt(claim.RoleWitness, s.Ticket.Witness, r, s)
	if c.self == s.Ticket.Home {
		return inTurn(ctx, home, witness)
	}
	return homeFirst(ctx, r.Deadline, home, witness)
}

// Relayed runs a keyed request that another instance passed on, in the part that it asks for.
func (c *Claims) Relayed(ctx context.Context, from fleet.Ref, role claim.Role, r exchange.Request) exchange.Answer {
	ctx, r, cancel := withDeadline(ctx, r)
	defer cancel()
	s, refusal, ok := c.submission(r)
	if !ok {
		return refusal
	}
	return c.local(ctx, role, r, s)
}

// submission opens the key of a request. When ok is false, refusal is the answer.
func (c *Claims) submission(r exchange.Request) (s claim.Submission, refusal exchange.Answer, ok bool) {
	key, ticket, err := c.openKey(r.Key)
	if err != nil {
		return claim.Submission{}, refuseKey(err), false
	}
	if ticket.Account != r.Account || ticket.Service != r.Service {
		return claim.Submission{}, exchange.AttemptRejection(result.CodeTicketOtherAccount, ""), false
	}
	s = claim.Submission{Key: key, Ticket: ticket, Fingerprint: fingerprint(r), Deadline: r.Deadline}
	return s, exchange.Answer{}, true
}

// withDeadline gives a request its deadline: the earlier of its own and the context's.
func withDeadline(ctx context.Context, r exchange.Request) (context.Context, exchange.Request, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	switch {
	case r.Deadline.IsZero() && !ok:
		r.Deadline = time.Now().Add(defaultDeadline)
	case r.Deadline.IsZero(), ok && deadline.Before(r.Deadline):
		r.Deadline = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	return ctx, r, cancel
}

// tryAt returns the try of one part: played here when it is this instance's, relayed otherwise.
func (c *Claims) tryAt(role claim.Role, to fleet.Ref, r exchange.Request, s claim.Submission) try {
	if to == c.self {
		return func(ctx context.Context) exchange.Answer { return c.local(ctx, role, r, s) }
	}
	return func(ctx context.Context) exchange.Answer {
		r := r
		remaining := time.Until(r.Deadline)
		reply := min(remaining/replyShare, replyShareMost)
		r.Deadline = r.Deadline.Add(-reply)
		r.Remaining = remaining - reply
		a, err := c.relay.Call(ctx, to, role, r)
		switch {
		case err == nil:
			return a
		case errors.Is(err, relay.ErrUnreachable):
			return exchange.Rejection(result.CodeAttemptNotRun, "")
		default:
			return endedAnswer(ctx)
		}
	}
}

// inTurn asks the home, and the witness when the home took no part.
func inTurn(ctx context.Context, home, witness try) exchange.Answer {
	first := home(ctx)
	if !declined(first) || first.Code == result.CodeAttemptNotRun {
		return conclude(first)
	}
	return conclude(first, witness(ctx))
}

// homeFirst asks the home, and the witness too when the home took no part, has no conclusive
// answer, or does not answer within its share of the time. The first conclusive answer counts.
func homeFirst(ctx context.Context, deadline time.Time, home, witness try) exchange.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan exchange.Answer, 2)
	ask := func(t try) { go func() { answers <- t(ctx) }() }
	ask(home)
	share := time.NewTimer(min(time.Until(deadline)/homeShare, homeShareMost))
	defer share.Stop()
	var got []exchange.Answer
	asked := 1
	for len(got) < asked {
		select {
		case a := <-answers:
			if conclusive(a) {
				return a
			}
			got = append(got, a)
		case <-share.C:
		}
		if asked == 1 {
			ask(witness)
			asked++
		}
	}
	return conclude(got...)
}

// conclusive reports whether another instance could add nothing to an answer.
func conclusive(a exchange.Answer) bool {
	switch {
	case a.Code == result.CodeAnswerNotKept:
		return false
	case a.Code == result.CodeKeyReused:
		return true
	default:
		return a.Execution == result.Ran || a.Execution == result.NotRun
	}
}

// declined reports whether an answer says that its instance neither ran the attempt nor will.
func declined(a exchange.Answer) bool {
	switch a.Code {
	case result.CodeAttemptNotRun, result.CodeTicketIncarnation, result.CodeClaimTableFull, result.CodeStopping:
		return a.Execution != result.NotRun
	default:
		return false
	}
}

// conclude returns the answer to the caller from those of the instances asked: a conclusive
// one, else the one that says most. When all declined, none of them runs the attempt.
func conclude(answers ...exchange.Answer) exchange.Answer {
	best := answers[0]
	allDeclined := true
	for _, a := range answers {
		allDeclined = allDeclined && declined(a)
		if rank(a) > rank(best) {
			best = a
		}
	}
	if allDeclined || !declined(best) {
		return best
	}
	return exchange.Rejection(result.CodeOutcomeUnknown, "")
}

// rank orders answers by how much they say of the key.
func rank(a exchange.Answer) int {
	switch {
	case conclusive(a):
		return 4
	case a.Code == result.CodeAnswerNotKept:
		return 3
	case declined(a):
		return 0
	case a.Code == result.CodeOutcomeUnknown, a.Code == result.CodeCallerGone:
		return 1
	default:
		return 2
	}
}
