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

// waiter is one caller that waits for the outcome of a key.
type waiter struct {
	outcome chan claim.Outcome // Has a buffer of one.
}

// outcomeGrace bounds the wait for the control goroutine after a caller's deadline has passed.
const outcomeGrace = control.TickInterval

// pendingRequest is the request of a key that callers at this instance wait for.
type pendingRequest struct {
	ctx     context.Context // The first caller's; only its values are used.
	request exchange.Request
	waiters []*waiter
}

// runLocal submits a key to this instance's machine in a role and waits for the answer until ctx ends.
func (c *Claims) runLocal(ctx context.Context, role claim.Role, r exchange.Request, s claim.Submission) exchange.Answer {
	w := &waiter{outcome: make(chan claim.Outcome, 1)}
	posted := c.loop.Post(func(now time.Time) { c.submit(ctx, now, role, r, s, w) })
	if !posted {
		return exchange.AttemptRejection(result.CodeStopping, "")
	}
	select {
	case o := <-w.outcome:
		return answerOf(o)
	case <-ctx.Done():
		c.loop.Post(func(now time.Time) { c.removeWaiter(now, s.Key, w) })
		return c.answerAtDeadline(ctx, w)
	}
}

// answerAtDeadline returns the answer to a caller whose context has ended. After a deadline it is the
// machine's current outcome of the key, if that arrives within outcomeGrace.
func (c *Claims) answerAtDeadline(ctx context.Context, w *waiter) exchange.Answer {
	if errors.Is(ctx.Err(), context.Canceled) {
		return contextEndedAnswer(ctx)
	}
	grace := time.NewTimer(outcomeGrace)
	defer grace.Stop()
	select {
	case o := <-w.outcome:
		return answerOf(o)
	case <-grace.C:
		return contextEndedAnswer(ctx)
	}
}

// contextEndedAnswer returns the answer to a caller whose context has ended.
func contextEndedAnswer(ctx context.Context) exchange.Answer {
	if errors.Is(ctx.Err(), context.Canceled) {
		return exchange.Rejection(result.CodeCallerGone, "")
	}
	return exchange.Rejection(result.CodeOutcomeUnknown, "")
}

func (c *Claims) submit(ctx context.Context, now time.Time, role claim.Role, r exchange.Request, s claim.Submission, w *waiter) {
	if role == claim.RoleHome && c.witnessUnreachable(s) {
		w.outcome <- claim.Outcome{Result: claim.ResultRefused, Reason: claim.ReasonPeerUnreachable}
		return
	}
	if !c.machine.Contains(s.Key) && !c.mayStart(now, s.Deadline) {
		w.outcome <- claim.Outcome{Result: claim.ResultRefused, Reason: claim.ReasonStopping}
		return
	}
	effects := c.machine.Submit(now, role, s)
	for _, effect := range effects {
		if refusal, ok := effect.(claim.Refusal); ok {
			w.outcome <- claim.Outcome{Result: claim.ResultRefused, Reason: refusal.Reason}
			return
		}
	}
	pending, ok := c.pending[s.Key]
	if !ok {
		pending = &pendingRequest{ctx: ctx, request: r}
		c.pending[s.Key] = pending
	}
	pending.waiters = append(pending.waiters, w)
	c.apply(effects)
}

// witnessUnreachable reports whether a key is new here and cannot be granted, because there is no
// link to its witness. The home then declines the key, so that the witness can still run it.
func (c *Claims) witnessUnreachable(s claim.Submission) bool {
	to := s.Ticket.Witness
	return !to.IsZero() && !c.machine.Contains(s.Key) && !c.relay.Reachable(to)
}

// removeWaiter removes a caller whose context has ended and sends it the current outcome of its key.
func (c *Claims) removeWaiter(now time.Time, key claim.Key, w *waiter) {
	pending, ok := c.pending[key]
	if !ok {
		return
	}
	pending.waiters = slices.DeleteFunc(pending.waiters, func(other *waiter) bool { return other == w })
	if len(pending.waiters) == 0 {
		delete(c.pending, key)
		c.apply(c.machine.Abandon(now, key))
	}
	if len(w.outcome) == 0 {
		w.outcome <- c.machine.Lookup(now, key)
	}
}

// apply executes the effects that the machine returned. It runs on the control goroutine.
func (c *Claims) apply(effects []claim.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case claim.Send:
			c.sender.Send(effect.To, wire.KindClaim, effect.Message)
		case claim.Dispatch:
			c.startExecution(effect)
		case claim.Answer:
			c.deliverAnswer(effect)
		}
	}
}

func (c *Claims) deliverAnswer(a claim.Answer) {
	pending, ok := c.pending[a.Key]
	if !ok {
		return
	}
	delete(c.pending, a.Key)
	for _, w := range pending.waiters {
		w.outcome <- a.Outcome
	}
}

// startExecution starts the execution of a key. The execution continues if its callers cancel.
func (c *Claims) startExecution(d claim.Dispatch) {
	pending, ok := c.pending[d.Key]
	if !ok {
		c.executions.Go(func() { c.finishExecution(d.Key, claim.Outcome{Result: claim.ResultNotRun}) })
		return
	}
	r := pending.request
	r.Deadline = d.Deadline
	ctx, cancel := context.WithDeadline(context.WithoutCancel(pending.ctx), d.Deadline)
	c.executions.Go(func() {
		defer cancel()
		c.finishExecution(d.Key, c.execute(ctx, r))
	})
}

// finishExecution reports the outcome of an execution to the machine.
func (c *Claims) finishExecution(key claim.Key, o claim.Outcome) {
	c.loop.Post(func(now time.Time) { c.apply(c.machine.Finish(now, key, o)) })
}

// execute runs a request at an upstream. If the executor panics, the outcome is unknown.
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
