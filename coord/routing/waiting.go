package routing

import (
	"slices"
	"time"
)

// The queue holds at most queuePerSlot requests per slot of this instance, so that
// waiting times stay short where the instance has few slots, but at least queueMin.
const (
	queuePerSlot = 4
	queueMin     = 16
)

// queueBound returns the maximum number of waiting requests.
func (b *Balancer) queueBound() int {
	slots := 0
	for _, e := range b.endpoints {
		if e.usable() {
			slots += e.target.Limit
		}
	}
	return min(b.cfg.QueueLimit, max(queuePerSlot*slots, queueMin))
}

// waiting returns the number of requests that wait for an endpoint.
func (b *Balancer) waiting() int { return b.queue.count + len(b.retries) }

// enqueue adds r to the queue. When the queue is full, it sheds r or another request.
func (b *Balancer) enqueue(now time.Time, r *request) {
	weight := b.cfg.weight(r.Account)
	if b.waiting() >= b.queueBound() {
		victim := b.queue.victim(r.Account, weight)
		if victim == nil {
			b.deliverOrReject(r, RejectQueueFull)
			return
		}
		b.shed(victim, RejectQueueFull)
	}
	b.queue.push(r, weight)
	b.scheduleWaiting(now, r)
}

// scheduleWaiting sets the wake time of a waiting request: the time from which an
// attempt of median latency would miss the deadline.
func (b *Balancer) scheduleWaiting(now time.Time, r *request) {
	at := r.Deadline.Add(-b.latencies.median)
	if at.Before(now) {
		at = now
	}
	b.wakes.set(r, at)
}

// cannotMeetDeadline reports whether an attempt of median latency that starts now would
// not end before the deadline.
func (b *Balancer) cannotMeetDeadline(now time.Time, r *request) bool {
	return !now.Add(b.latencies.median).Before(r.Deadline)
}

// shed removes a waiting request from its queue and ends it.
func (b *Balancer) shed(r *request, reason RejectReason) {
	if r.awaitingRetry {
		b.dequeueRetry(r)
	} else {
		b.queue.remove(r)
	}
	b.deliverOrReject(r, reason)
}

func (b *Balancer) dequeueRetry(r *request) {
	r.awaitingRetry = false
	i := slices.Index(b.retries, r)
	b.retries = slices.Delete(b.retries, i, i+1)
}

// deliverOrReject ends a request without running attempts: with the outcome of an earlier
// attempt if there was one, otherwise with Reject.
func (b *Balancer) deliverOrReject(r *request, reason RejectReason) {
	if best := r.bestAttempt(); best > 0 {
		b.deliver(r, best)
		return
	}
	b.effects = append(b.effects, Reject{ID: r.ID, Reason: reason, NotRun: true})
	b.release(r)
}

// dispatchWaiting dispatches waiting requests to free slots: first the retries, whose number
// the retry budget limits, then the others in fair order.
func (b *Balancer) dispatchWaiting(now time.Time) {
	b.dispatchRetries(now)
	for {
		r := b.queue.peek()
		if r == nil {
			return
		}
		if b.cannotMeetDeadline(now, r) {
			b.shed(r, RejectDeadline)
			continue
		}
		if !b.start(now, r) {
			return
		}
		b.queue.dequeue(r)
	}
}

// dispatchRetries dispatches waiting retries. It ends those that cannot meet their deadline
// or have been sent to every usable endpoint.
func (b *Balancer) dispatchRetries(now time.Time) {
	for i := 0; i < len(b.retries); {
		r := b.retries[i]
		if b.cannotMeetDeadline(now, r) || !b.anyUntried(r) {
			b.shed(r, RejectDeadline)
			continue
		}
		e := b.choose(now, r)
		if e == nil {
			i++
			continue
		}
		b.dequeueRetry(r)
		b.dispatch(now, r, e, false)
	}
}

// rejectWaiting ends every waiting request.
func (b *Balancer) rejectWaiting(now time.Time, reason RejectReason) {
	for len(b.retries) > 0 {
		b.shed(b.retries[0], reason)
	}
	for r := b.queue.peek(); r != nil; r = b.queue.peek() {
		b.shed(r, reason)
	}
}
