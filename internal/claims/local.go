package claims

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// waiter is one caller of a key at this instance.
type waiter struct {
	outcome chan claim.Outcome // Holds one.
}

// lateWait bounds the wait for the control goroutine when a caller's deadline has passed.
const lateWait = control.TickInterval

// call is a key with callers waiting at this instance.
type call struct {
	ctx     context.Context // Of the first caller, for its values.
	request exchange.Request
	waiters []*waiter
}

// local plays this instance's part for a key and waits for the answer until ctx ends.
func (c *Claims) local(ctx context.Context, role claim.Role, r exchange.Request, s claim.Submission) exchange.Answer {
	w := &waiter{outcome: make(chan claim.Outcome, 1)}
	posted := c.loop.Post(func(now time.Time) { c.submit(ctx, now, role, r, s, w) })
	if !posted {
		return exchange.AttemptRejection(result.CodeStopping, "")
	}
	select {
	case o := <-w.outcome:
		return answerOf(o)
	case <-ctx.Done():
		c.loop.Post(func(now time.Time) { c.leave(now, s.Key, w) })
		return c.lateAnswer(ctx, w)
	}
}

// lateAnswer returns what the machine says of the key of a caller that leaves at its deadline.
func (c *Claims) lateAnswer(ctx context.Context, w *waiter) exchange.Answer {
	if errors.Is(ctx.Err(), context.Canceled) {
		return endedAnswer(ctx)
	}
	late := time.NewTimer(lateWait)
	defer late.Stop()
	select {
	case o := <-w.outcome:
		return answerOf(o)
	case <-late.C:
		return endedAnswer(ctx)
	}
}

// endedAnswer returns the answer to a caller whose context has ended.
func endedAnswer(ctx context.Context) exchange.Answer {
	if errors.Is(ctx.Err(), context.Canceled) {
		return exchange.Rejection(result.CodeCallerGone, "")
	}
	return exchange.Rejection(result.CodeOutcomeUnknown, "")
}

func (c *Claims) submit(ctx context.Context, now time.Time, role claim.Role, r exchange.Request, s claim.Submission, w *waiter) {
	if role == claim.RoleHome && c.cutOff(s) {
		w.outcome <- claim.Outcome{Result: claim.ResultRefused, Reason: claim.ReasonPeerUnreachable}
		return
	}
	effects := c.machine.Submit(now, role, s)
	for _, effect := range effects {
		if refusal, ok := effect.(claim.Refusal); ok {
			w.outcome <- claim.Outcome{Result: claim.ResultRefused, Reason: refusal.Reason}
			return
		}
	}
	waiting, ok := c.calls[s.Key]
	if !ok {
		waiting = &call{ctx: ctx, request: r}
		c.calls[s.Key] = waiting
	}
	waiting.waiters = append(waiting.waiters, w)
	c.apply(effects)
}

// cutOff reports whether a new key could not be granted, since there is no link to its witness.
// The home then takes no part, which leaves the key to the witness.
func (c *Claims) cutOff(s claim.Submission) bool {
	to := s.Ticket.Witness
	return !to.IsZero() && !c.machine.Contains(s.Key) && !c.relay.Reachable(to)
}

// leave removes a caller whose context has ended and tells it what is known.
func (c *Claims) leave(now time.Time, key claim.Key, w *waiter) {
	waiting, ok := c.calls[key]
	if !ok {
		return
	}
	waiting.waiters = slices.DeleteFunc(waiting.waiters, func(other *waiter) bool { return other == w })
	if len(waiting.waiters) == 0 {
		delete(c.calls, key)
		c.apply(c.machine.Abandon(now, key))
	}
	if len(w.outcome) == 0 {
		w.outcome <- c.machine.Lookup(now, key)
	}
}

// apply carries out the machine's effects. It runs on the control goroutine.
func (c *Claims) apply(effects []claim.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case claim.Send:
			c.sender.Send(effect.To, wire.KindClaim, effect.Message)
		case claim.Dispatch:
			c.dispatch(effect)
		case claim.Answer:
			c.answer(effect)
		}
	}
}

func (c *Claims) answer(a claim.Answer) {
	waiting, ok := c.calls[a.Key]
	if !ok {
		return
	}
	delete(c.calls, a.Key)
	for _, w := range waiting.waiters {
		w.outcome <- a.Outcome
	}
}

// dispatch starts the execution of a key. It goes on when its callers go away.
func (c *Claims) dispatch(d claim.Dispatch) {
	waiting, ok := c.calls[d.Key]
	if !ok {
		c.work.Go(func() { c.finish(d.Key, claim.Outcome{Result: claim.ResultNotRun}) })
		return
	}
	r := waiting.request
	r.Deadline = d.Deadline
	ctx, cancel := context.WithDeadline(context.WithoutCancel(waiting.ctx), d.Deadline)
	c.work.Go(func() {
		defer cancel()
		c.finish(d.Key, c.execute(ctx, r))
	})
}

// finish tells the machine what became of an execution.
func (c *Claims) finish(key claim.Key, o claim.Outcome) {
	c.loop.Post(func(now time.Time) { c.apply(c.machine.Finish(now, key, o)) })
}

// execute runs a request at an upstream. A panic of the executor leaves the outcome unknown.
func (c *Claims) execute(ctx context.Context, r exchange.Request) claim.Outcome {
	var a exchange.Answer
	if panicked := panics.Try(func() { a = c.executor.Execute(ctx, r) }); panicked != nil {
		c.log.Error("executor panicked", "service", string(r.Service), "error", panicked.AsError())
		return claim.Outcome{Result: claim.ResultUnknown, Reason: claim.ReasonNoAnswer}
	}
	o, err := outcomeOf(a)
	if err != nil {
		c.log.Error("answer not recorded", "service", string(r.Service), "error", err)
	}
	return o
}
