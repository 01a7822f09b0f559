package routing

import "time"

// Finish records the result and the latency of an attempt. It ignores an attempt that is
// unknown or has already ended.
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
	b.recordResult(now, r, a, latency)
	switch {
	case !r.ended:
		b.handleResult(now, r, number)
	case r.running == 0:
		b.release(r)
	}
	b.dispatchWaiting(now)
	return b.takeEffects()
}

// recordResult frees the attempt's slot and updates the endpoint's latency or failures.
func (b *Balancer) recordResult(now time.Time, r *request, a *attempt, latency time.Duration) {
	e := a.endpoint
	e.outstanding--
	switch a.result {
	case AttemptSucceeded:
		b.recordLatency(now, e, latency)
	case AttemptCancelled:
		// An attempt that was cancelled because its hedge ended first took at least
		// this long. Without these samples the hedge quantile would drift down, as
		// hedges cut off the slow tail.
		if r.ended && !a.hedge {
			b.recordLatency(now, e, latency)
		}
	default:
		e.recordFailure(now)
	}
	if !e.listed && e.outstanding == 0 {
		b.removeEndpoint(e)
	}
}

// recordLatency adds a latency to the histogram and to the means of e and of all endpoints.
func (b *Balancer) recordLatency(now time.Time, e *endpoint, latency time.Duration) {
	b.latencies.add(now, latency)
	b.meanLatency.add(now, latency, overallMeanWeight)
	e.meanLatency.add(now, latency, endpointMeanWeight)
}

// handleResult handles the end of an attempt of a request that has not ended: it delivers
// the outcome, retries the request, or waits for its other attempts.
func (b *Balancer) handleResult(now time.Time, r *request, number int) {
	if r.attempts[number-1].result == AttemptSucceeded {
		b.deliver(r, number)
		return
	}
	if r.running > 0 {
		return
	}
	if !b.retry(now, r) {
		b.deliver(r, r.bestAttempt())
	}
}

// retry sends r to another endpoint or queues it for one. It reports false when r may not
// be retried.
func (b *Balancer) retry(now time.Time, r *request) bool {
	if !b.mayRetry(now, r) || !b.budget.take() {
		return false
	}
	if e := b.choose(now, r); e != nil {
		b.dispatch(now, r, e, false)
		return true
	}
	if b.waiting() < b.queueBound() {
		r.awaitingRetry = true
		b.retries = append(b.retries, r)
		b.scheduleWaiting(now, r)
		return true
	}
	b.budget.refund()
	return false
}

func (b *Balancer) mayRetry(now time.Time, r *request) bool {
	if r.stopped || len(r.attempts) >= b.cfg.MaxAttempts || b.cannotMeetDeadline(now, r) {
		return false
	}
	if !r.Idempotent && !r.neverRan() {
		return false
	}
	return b.anyUntried(r)
}

// deliver ends r with the outcome of one attempt and cancels the others, except trial
// attempts: they run on, so that the endpoint's real latency is measured.
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

// cancelRunning cancels the running attempts of r; trial attempts only if includeTrials.
func (b *Balancer) cancelRunning(r *request, includeTrials bool) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.running() || a.cancelled || (a.trial && !includeTrials) {
			continue
		}
		a.cancelled = true
		b.effects = append(b.effects, CancelAttempt{ID: r.ID, Attempt: i + 1})
	}
}

// handleWake handles a request whose wake time has come: it sheds a waiting request that
// cannot meet its deadline, cancels attempts at the deadline, or starts a hedge.
func (b *Balancer) handleWake(now time.Time, r *request) {
	switch {
	case r.isWaiting() && b.cannotMeetDeadline(now, r):
		b.shed(r, RejectDeadline)
	case r.isWaiting():
		b.scheduleWaiting(now, r)
	case !now.Before(r.Deadline):
		r.stopped = true
		b.wakes.clear(r)
		b.cancelRunning(r, true)
	default:
		b.hedge(now, r)
	}
}

// hedge sends a second attempt of r if another endpoint has a free slot and the retry
// budget allows it, unless requests wait for slots.
func (b *Balancer) hedge(now time.Time, r *request) {
	r.hedgeAt = time.Time{}
	b.scheduleRunning(r)
	if r.running != 1 || r.stopped || r.ended || b.waiting() > 0 || b.cannotMeetDeadline(now, r) {
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
