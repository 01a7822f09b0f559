package routing

import "time"

// Finish says how an attempt ended. An attempt that is unknown or has ended is ignored.
func (b *Balancer) Finish(now time.Time, id uint64, number int, result AttemptResult, latency time.Duration) []Effect {
	r := b.requests[id]
	if r == nil || number < 1 || number > len(r.attempts) {
		return nil
	}
	a := &r.attempts[number-1]
	if !a.running() {
		return nil
	}
	a.result = result
	r.running--
	b.record(now, r, a, latency)
	switch {
	case !r.ended:
		b.settle(now, r, number)
	case r.running == 0:
		b.release(r)
	}
	b.pump(now)
	return b.takeEffects()
}

// record frees the attempt's slot and keeps what it tells of the endpoint.
func (b *Balancer) record(now time.Time, r *request, a *attempt, latency time.Duration) {
	e := a.endpoint
	e.outstanding--
	switch a.result {
	case AttemptAnswered:
		b.learn(now, e, latency)
	case AttemptCancelled:
		// An attempt that lost to its hedge took at least this long; without it
		// the quantile would drift down as hedges hide the slow tail.
		if r.ended && !a.hedge {
			b.learn(now, e, latency)
		}
	default:
		e.failed(now)
	}
	if !e.listed && e.outstanding == 0 {
		b.forget(e)
	}
}

// learn takes the latency of an attempt.
func (b *Balancer) learn(now time.Time, e *endpoint, latency time.Duration) {
	b.latencies.add(now, latency)
	b.latency.add(now, latency, slownessPeerStep)
	e.latency.add(now, latency, slownessOwnStep)
}

// settle decides what follows the end of an attempt of a request that has not ended.
func (b *Balancer) settle(now time.Time, r *request, number int) {
	if r.attempts[number-1].result == AttemptAnswered {
		b.deliver(r, number)
		return
	}
	if r.running > 0 {
		return
	}
	if !b.retry(now, r) {
		b.deliver(r, r.best())
	}
}

// retry sends r to another endpoint, or lets it wait for one, and reports whether it did.
func (b *Balancer) retry(now time.Time, r *request) bool {
	if !b.mayRetry(now, r) || !b.budget.take() {
		return false
	}
	if e := b.choose(now, r); e != nil {
		b.dispatch(now, r, e, false)
		return true
	}
	if b.waiting() < b.queueBound() {
		r.waitsToRetry = true
		b.retries = append(b.retries, r)
		b.scheduleWaiting(now, r)
		return true
	}
	b.budget.refund()
	return false
}

func (b *Balancer) mayRetry(now time.Time, r *request) bool {
	if r.stopped || len(r.attempts) >= b.cfg.MaxAttempts || b.hopeless(now, r) {
		return false
	}
	if !r.Idempotent && !r.neverRan() {
		return false
	}
	return b.anyUntried(r)
}

// deliver ends r with the outcome of one attempt and cancels the others. Attempts on
// trial run on, so that the endpoint's true latency is learned.
func (b *Balancer) deliver(r *request, number int) {
	b.effects = append(b.effects, Deliver{ID: r.ID, Attempt: number})
	r.ended = true
	r.hedgeAt = time.Time{}
	if r.running == 0 {
		b.release(r)
		return
	}
	b.cancelRunning(r, false)
	b.wakes.set(r, r.Deadline)
}

// cancelRunning cancels the attempts under way, those on trial only when asked to.
func (b *Balancer) cancelRunning(r *request, trials bool) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.running() || a.canceled || (a.trial && !trials) {
			continue
		}
		a.canceled = true
		b.effects = append(b.effects, CancelAttempt{ID: r.ID, Attempt: i + 1})
	}
}

// wake looks at a request whose wake time has come.
func (b *Balancer) wake(now time.Time, r *request) {
	switch {
	case r.waits() && b.hopeless(now, r):
		b.shed(r, RejectDeadline)
	case r.waits():
		b.scheduleWaiting(now, r)
	case !now.Before(r.Deadline):
		r.stopped = true
		b.wakes.clear(r)
		b.cancelRunning(r, true)
	default:
		b.hedge(now, r)
	}
}

// hedge sends a second attempt of r when the budget and a free slot allow it.
func (b *Balancer) hedge(now time.Time, r *request) {
	r.hedgeAt = time.Time{}
	b.scheduleRunning(r)
	if r.running != 1 || r.stopped || r.ended || b.waiting() > 0 || b.hopeless(now, r) {
		return
	}
	if len(r.attempts) >= b.cfg.MaxAttempts {
		return
	}
	e := b.choose(now, r)
	if e == nil || !b.budget.take() {
		return
	}
	b.dispatch(now, r, e, true)
}
