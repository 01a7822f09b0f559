package dispatch

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/exchange"
)

// apply carries out the balancer's effects and sets the timer. s.mu must be held.
func (s *service) apply(now time.Time, effects []routing.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case routing.Dispatch:
			s.dispatch(e)
		case routing.CancelAttempt:
			s.cancelAttempt(e)
		case routing.Deliver:
			s.deliver(e)
		case routing.Reject:
			s.reject(e)
		}
	}
	s.setTimer(now)
}

// setTimer sets the timer to the balancer's next wake-up.
func (s *service) setTimer(now time.Time) {
	at, ok := s.balancer.NextWake(now)
	if !ok || s.closed {
		return
	}
	if !s.timerAt.IsZero() && !at.Before(s.timerAt) {
		return
	}
	s.timerAt = at
	s.timer.Reset(max(at.Sub(now), 0))
}

// dispatch starts the goroutine of one attempt.
func (s *service) dispatch(e routing.Dispatch) {
	c := s.calls[e.ID]
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(c.ctx))
	c.attempts = append(c.attempts, callAttempt{dispatch: e, cancel: cancel})
	c.running++
	countDispatch(e)
	pool := s.pools[e.Endpoint]
	go s.run(ctx, c, pool, e)
}

func countDispatch(e routing.Dispatch) {
	counters.Add(countAttempts, 1)
	if e.Attempt > 1 && !e.Hedge {
		counters.Add(countRetries, 1)
	}
	if e.Hedge {
		counters.Add(countHedges, 1)
	}
	if e.Trial {
		counters.Add(countTrials, 1)
	}
}

// run makes one attempt and always reports its end, also after a panic.
func (s *service) run(ctx context.Context, c *call, pool *connPool, e routing.Dispatch) {
	ctx, stop := context.WithDeadline(ctx, e.Deadline)
	defer stop()
	ctx, span := startSpan(ctx, s.name, &c.request, e)
	var o outcome
	if recovered := panics.Try(func() { o = send(ctx, pool, &c.request, traceParent(ctx), e.Deadline) }); recovered != nil {
		counters.Add(countPanics, 1)
		o = incomplete(result.CodeOutcomeUnknown, e.Endpoint, recovered.AsError().Error(), false)
	}
	endSpan(span, o)
	superseded := s.finishAttempt(c, e, o)
	s.notifyHooks(e, o, superseded)
}

// finishAttempt passes an attempt's result to the balancer. It reports whether the request
// was already answered, for example by a hedge.
func (s *service) finishAttempt(c *call, e routing.Dispatch, o outcome) (superseded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a := &c.attempts[e.Attempt-1]
	a.cancel(nil)
	a.answer = o.answer
	c.running--
	superseded = c.answered
	if o.hasLoad {
		s.balancer.SetLoad(now, e.Endpoint, o.load)
	}
	if o.draining {
		s.drainingUntil[e.Endpoint] = now.Add(s.settings.DrainingHold)
		s.apply(now, s.balancer.MarkDraining(now, e.Endpoint))
	}
	s.apply(now, s.balancer.Finish(now, e.ID, e.Attempt, o.result, o.latency))
	s.removeFinished(e.ID, c)
	return superseded
}

// notifyHooks calls the hooks after an attempt. s.mu must not be held.
func (s *service) notifyHooks(e routing.Dispatch, o outcome, superseded bool) {
	if o.draining {
		counters.Add(countDraining, 1)
		if s.hooks.Draining != nil {
			s.hooks.Draining(s.name, e.Endpoint)
		}
	}
	if s.hooks.Observe == nil || !observable(e, o, superseded) {
		return
	}
	s.hooks.Observe(s.name, health.Attempt{
		Endpoint: e.Endpoint,
		Failed:   o.endpointFailed,
		Latency:  o.latency,
		Trial:    e.Trial,
	})
}

// observable reports whether an attempt is evidence about its endpoint's health. An attempt
// that was cancelled because its hedge answered first counts: it took at least that long.
func observable(e routing.Dispatch, o outcome, superseded bool) bool {
	switch o.result {
	case routing.AttemptSucceeded, routing.AttemptServerError:
		return true
	case routing.AttemptIncomplete, routing.AttemptNotSent:
		return o.endpointFailed
	case routing.AttemptCancelled:
		return superseded && !e.Hedge
	default:
		return false
	}
}

func (s *service) cancelAttempt(e routing.CancelAttempt) {
	counters.Add(countCancels, 1)
	a := &s.calls[e.ID].attempts[e.Attempt-1]
	if !time.Now().Before(a.dispatch.Deadline) {
		a.cancel(context.DeadlineExceeded)
		return
	}
	a.cancel(errAttemptCancelled)
}

func (s *service) deliver(e routing.Deliver) {
	c := s.calls[e.ID]
	s.complete(e.ID, c, c.attempts[e.Attempt-1].answer)
}

func (s *service) reject(e routing.Reject) {
	a := exchange.Rejection(rejectCode(e.Reason), "")
	if e.NotRun {
		a.Execution = result.NotRun
	}
	s.complete(e.ID, s.calls[e.ID], a)
}

// complete gives the call its only answer.
func (s *service) complete(id uint64, c *call, a exchange.Answer) {
	c.answered = true
	c.answer <- a
	s.removeFinished(id, c)
}

// removeFinished removes a call that is answered and has no running attempt.
func (s *service) removeFinished(id uint64, c *call) {
	if c.answered && c.running == 0 {
		delete(s.calls, id)
	}
}

func rejectCode(reason routing.RejectReason) result.Code {
	switch reason {
	case routing.RejectNoEndpoint:
		return result.CodeNoEndpoint
	case routing.RejectQueueFull:
		return result.CodeShedQueueFull
	case routing.RejectDeadline:
		return result.CodeShedDeadline
	case routing.RejectCancelled:
		return result.CodeCallerGone
	default:
		return result.CodeOutcomeUnknown
	}
}
