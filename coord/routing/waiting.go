package routing

import (
	"slices"
	"time"
)

// The queue holds at most queuePerSlot requests per slot of this instance, so that the
// wait stays short where its share is small, but always as many as queueLeast.
const (
	queuePerSlot = 4
	queueLeast   = 16
)

// queueBound returns how many requests may wait now.
func (b *Balancer) queueBound() int {
	slots := 0
	for _, e := range b.endpoints {
		if e.usable() {
			slots += e.target.Limit
		}
	}
	return min(b.cfg.QueueLimit, max(queuePerSlot*slots, queueLeast))
}

// waiting returns how many requests wait for an endpoint.
func (b *Balancer) waiting() int { return b.queue.count + len(b.retries) }

// wait puts r in the queue, or sheds a request when the queue is full.
func (b *Balancer) wait(now time.Time, r *request) {
	weight := b.cfg.weight(r.Account)
	if b.waiting() >= b.queueBound() {
		victim := b.queue.victim(r.Account, weight)
		if victim == nil {
			b.end(r, RejectQueueFull)
			return
		}
		b.shed(victim, RejectQueueFull)
	}
	b.queue.push(r, weight)
	b.scheduleWaiting(now, r)
}

// scheduleWaiting sets the wake of a request that waits.
func (b *Balancer) scheduleWaiting(now time.Time, r *request) {
	at := r.Deadline.Add(-b.latencies.median)
	if at.Before(now) {
		at = now
	}
	b.wakes.set(r, at)
}

// hopeless reports whether an attempt that starts now is unlikely to end by the deadline.
func (b *Balancer) hopeless(now time.Time, r *request) bool {
	return !now.Add(b.latencies.median).Before(r.Deadline)
}

// shed takes r out of the queue and ends it.
func (b *Balancer) shed(r *request, reason RejectReason) {
	if r.waitsToRetry {
		b.leaveRetries(r)
	} else {
		b.queue.remove(r)
	}
	b.end(r, reason)
}

func (b *Balancer) leaveRetries(r *request) {
	r.waitsToRetry = false
	i := slices.Index(b.retries, r)
	b.retries = slices.Delete(b.retries, i, i+1)
}

// end ends a request with nothing under way: with what an earlier attempt told, if there was one.
func (b *Balancer) end(r *request, reason RejectReason) {
	if best := r.best(); best > 0 {
		b.deliver(r, best)
		return
	}
	b.effects = append(b.effects, Reject{ID: r.ID, Reason: reason, NotRun: true})
	b.release(r)
}

// pump gives free slots to the requests that wait: first to retries, which the budget
// bounds, then to the others in fair order.
func (b *Balancer) pump(now time.Time) {
	b.pumpRetries(now)
	for {
		r := b.queue.next()
		if r == nil {
			return
		}
		if b.hopeless(now, r) {
			b.shed(r, RejectDeadline)
			continue
		}
		if !b.start(now, r) {
			return
		}
		b.queue.served(r)
	}
}

// pumpRetries sends the retries that wait and whose deadline leaves time. One for which
// every endpoint that it has not tried is gone ends.
func (b *Balancer) pumpRetries(now time.Time) {
	for i := 0; i < len(b.retries); {
		r := b.retries[i]
		if b.hopeless(now, r) || !b.anyUntried(r) {
			b.shed(r, RejectDeadline)
			continue
		}
		e := b.choose(now, r)
		if e == nil {
			i++
			continue
		}
		b.leaveRetries(r)
		b.dispatch(now, r, e, false)
	}
}

// rejectWaiting ends every request that waits.
func (b *Balancer) rejectWaiting(now time.Time, reason RejectReason) {
	for len(b.retries) > 0 {
		b.shed(b.retries[0], reason)
	}
	for r := b.queue.next(); r != nil; r = b.queue.next() {
		b.shed(r, reason)
	}
}
