package routing

import "time"

// wait puts r in the queue, or sheds a request when the queue is full.
func (b *Balancer) wait(now time.Time, r *request) {
	weight := b.cfg.weight(r.Account)
	if b.queue.count >= b.cfg.QueueLimit {
		victim := b.queue.victim(r.Account, weight)
		if victim == nil {
			b.end(r, RejectQueueFull)
			return
		}
		b.shed(now, victim, RejectQueueFull)
	}
	b.enqueue(now, r, weight, false)
}

func (b *Balancer) enqueue(now time.Time, r *request, weight float64, front bool) {
	b.queue.push(r, weight, front)
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
func (b *Balancer) shed(_ time.Time, r *request, reason RejectReason) {
	b.queue.remove(r)
	b.end(r, reason)
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

// pump gives free slots to the requests that wait, in fair order.
func (b *Balancer) pump(now time.Time) {
	for {
		r := b.queue.next()
		if r == nil {
			return
		}
		if b.hopeless(now, r) {
			b.shed(now, r, RejectDeadline)
			continue
		}
		if !b.resume(now, r) {
			return
		}
		b.queue.served(r)
	}
}

// resume sends the next attempt of a request that waits and reports whether there was a free slot.
func (b *Balancer) resume(now time.Time, r *request) bool {
	if len(r.attempts) == 0 {
		return b.start(now, r)
	}
	e := b.choose(now, r)
	if e == nil {
		e = b.chooseAny(now)
	}
	if e == nil {
		return false
	}
	b.dispatch(now, r, e, false)
	return true
}

// rejectWaiting ends every request that waits.
func (b *Balancer) rejectWaiting(now time.Time, reason RejectReason) {
	for r := b.queue.next(); r != nil; r = b.queue.next() {
		b.shed(now, r, reason)
	}
}
