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

// Durations of a keyed request.
const (
	defaultDeadline     = 10 * time.Second // For a request that has no deadline.
	homeShareDivisor    = 4                // Share of the time left that the home has before the witness is tried too, as a divisor.
	maxHomeShare        = time.Second
	replyReserveDivisor = 10 // Share of the time left that is reserved for the reply to a relayed request, as a divisor.
	maxReplyReserve     = control.TickInterval
)

// attempt runs a request at one of the two instances of its ticket.
type attempt func(ctx context.Context) exchange.Answer

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
	home := c.attemptAt(claim.RoleHome, s.Ticket.Home, r, s)
	if s.Ticket.Witness.IsZero() {
		return combine(home(ctx))
	}
	witness := c.attemptAt(claim.RoleWitness, s.Ticket.Witness, r, s)
	if c.self == s.Ticket.Home {
		return sequential(ctx, home, witness)
	}
	return hedged(ctx, r.Deadline, home, witness)
}

// HandleRelayed implements relay.Handler for keyed requests: it runs one in the given role.
func (c *Claims) HandleRelayed(ctx context.Context, from fleet.Ref, role claim.Role, r exchange.Request) exchange.Answer {
	ctx, r, cancel := withDeadline(ctx, r)
	defer cancel()
	s, refusal, ok := c.submission(r)
	if !ok {
		return refusal
	}
	return c.runLocal(ctx, role, r, s)
}

// submission verifies the key of a request. If ok is false, refusal is the answer to the caller.
func (c *Claims) submission(r exchange.Request) (s claim.Submission, refusal exchange.Answer, ok bool) {
	key, ticket, err := c.openKey(r.Key)
	if err != nil {
		return claim.Submission{}, keyErrorAnswer(err), false
	}
	if ticket.Account != r.Account || ticket.Service != r.Service {
		return claim.Submission{}, exchange.AttemptRejection(result.CodeTicketOtherAccount, ""), false
	}
	s = claim.Submission{Key: key, Ticket: ticket, Fingerprint: fingerprint(r), Deadline: r.Deadline}
	return s, exchange.Answer{}, true
}

// withDeadline sets a request's deadline to the earlier of its own and the context's, or to
// the default if both have none.
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

// attemptAt returns the attempt at one instance in a role: local if it is this instance, relayed otherwise.
func (c *Claims) attemptAt(role claim.Role, to fleet.Ref, r exchange.Request, s claim.Submission) attempt {
	if to == c.self {
		return func(ctx context.Context) exchange.Answer { return c.runLocal(ctx, role, r, s) }
	}
	return func(ctx context.Context) exchange.Answer {
		r := r
		remaining := time.Until(r.Deadline)
		reserve := min(remaining/replyReserveDivisor, maxReplyReserve)
		r.Deadline = r.Deadline.Add(-reserve)
		r.Remaining = remaining - reserve
		a, err := c.relay.Call(ctx, to, role, r)
		switch {
		case err == nil:
			return a
		case errors.Is(err, relay.ErrUnreachable):
			return exchange.Rejection(result.CodeAttemptNotRun, "")
		default:
			return contextEndedAnswer(ctx)
		}
	}
}

// sequential tries the home, and then the witness if the home declined. CodeAttemptNotRun is final,
// because it means that the home cannot reach the witness, which may have run the key.
func sequential(ctx context.Context, home, witness attempt) exchange.Answer {
	first := home(ctx)
	if !declined(first) || first.Code == result.CodeAttemptNotRun {
		return combine(first)
	}
	return combine(first, witness(ctx))
}

// hedged tries the home, and also the witness if the home's answer is not conclusive or does not
// arrive within its share of the time. It returns the first conclusive answer, or combines both.
func hedged(ctx context.Context, deadline time.Time, home, witness attempt) exchange.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan exchange.Answer, 2)
	start := func(t attempt) { go func() { answers <- t(ctx) }() }
	start(home)
	hedgeTimer := time.NewTimer(min(time.Until(deadline)/homeShareDivisor, maxHomeShare))
	defer hedgeTimer.Stop()
	var inconclusive []exchange.Answer
	started := 1
	for len(inconclusive) < started {
		select {
		case a := <-answers:
			if conclusive(a) {
				return a
			}
			inconclusive = append(inconclusive, a)
		case <-hedgeTimer.C:
		}
		if started == 1 {
			start(witness)
			started++
		}
	}
	return combine(inconclusive...)
}

// conclusive reports whether no other instance can have a better answer.
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

// declined reports whether an answer means that its instance did not run the attempt and never will.
func declined(a exchange.Answer) bool {
	switch a.Code {
	case result.CodeAttemptNotRun, result.CodeTicketIncarnation, result.CodeClaimTableFull, result.CodeStopping:
		return a.Execution != result.NotRun
	default:
		return false
	}
}

// combine returns the answer to the caller from those of the instances tried: the one with the
// highest rank. If all declined, none of them runs the attempt.
func combine(answers ...exchange.Answer) exchange.Answer {
	best := answers[0]
	allDeclined := true
	for _, a := range answers {
		allDeclined = allDeclined && declined(a)
		if answerRank(a) > answerRank(best) {
			best = a
		}
	}
	if allDeclined || !declined(best) {
		return best
	}
	return exchange.Rejection(result.CodeOutcomeUnknown, "")
}

// answerRank orders answers by how conclusive they are about the key.
func answerRank(a exchange.Answer) int {
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
