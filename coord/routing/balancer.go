package routing

import (
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// maxFreeRequests is the maximum number of request records kept for reuse.
const maxFreeRequests = 256

// slowStartTick is the interval between ticks while requests wait and the limit of an
// endpoint in slow start grows.
const slowStartTick = 100 * time.Millisecond

// Balancer routes the requests of one service from one instance. It is not safe for
// concurrent use.
type Balancer struct {
	cfg                  Config
	random               *rand.Rand
	endpoints            []*endpoint
	byAddress            map[fleet.Endpoint]*endpoint
	requests             map[uint64]*request
	queue                fairQueue  // Requests waiting for their first attempt.
	retries              []*request // Requests waiting to be retried on an endpoint not tried yet, oldest first.
	wakes                wakeHeap
	budget               retryBudget
	latencies            latencyHistogram
	meanLatency          latencyMean // Over all endpoints.
	freeList             []*request
	sameZone, otherZones candidates
	effects              []Effect
}

// NewBalancer returns a balancer without endpoints.
func NewBalancer(cfg Config, random *rand.Rand) *Balancer {
	b := &Balancer{
		random:    random,
		byAddress: make(map[fleet.Endpoint]*endpoint),
		requests:  make(map[uint64]*request),
		queue:     newFairQueue(),
	}
	b.SetConfig(cfg)
	b.budget.balance = b.budget.burst
	return b
}

// SetConfig replaces the settings. Waiting and running requests are kept.
func (b *Balancer) SetConfig(cfg Config) {
	b.cfg = cfg.withDefaults()
	b.budget.configure(b.cfg.RetryShare, b.cfg.RetryBurst)
	b.latencies.quantile = b.cfg.HedgeQuantile
}

// Submit admits a request. Its ID must not be in use: a request with an ID in use is dropped.
func (b *Balancer) Submit(now time.Time, r Request) []Effect {
	if b.requests[r.ID] != nil {
		return nil
	}
	if !now.Before(r.Deadline) {
		return []Effect{Reject{ID: r.ID, Reason: RejectDeadline, NotRun: true}}
	}
	if !b.anyUsable() {
		return []Effect{Reject{ID: r.ID, Reason: RejectNoEndpoint, NotRun: true}}
	}
	req := b.newRequest(r)
	if b.queue.count == 0 && b.start(now, req) {
		return b.takeEffects()
	}
	b.enqueue(now, req)
	b.dispatchWaiting(now)
	return b.takeEffects()
}

// Cancel cancels a request whose caller has disconnected. The request still ends with Deliver or Reject.
func (b *Balancer) Cancel(now time.Time, id uint64) []Effect {
	r := b.requests[id]
	if r == nil || r.ended {
		return nil
	}
	if r.isWaiting() {
		b.shed(r, RejectCancelled)
		return b.takeEffects()
	}
	r.stopped = true
	b.cancelRunning(r, true)
	return b.takeEffects()
}

// Tick cancels or rejects requests whose deadline has come, starts hedges that are due
// and dispatches waiting requests to free slots.
func (b *Balancer) Tick(now time.Time) []Effect {
	for len(b.wakes) > 0 && !b.wakes[0].wakeAt.After(now) {
		b.handleWake(now, b.wakes[0])
	}
	b.dispatchWaiting(now)
	return b.takeEffects()
}

// NextWake returns when Tick must next be called; false when there are no requests.
func (b *Balancer) NextWake(now time.Time) (time.Time, bool) {
	if len(b.wakes) == 0 {
		return time.Time{}, false
	}
	at := b.wakes[0].wakeAt
	if step := now.Add(slowStartTick); b.waiting() > 0 && b.anyInSlowStart(now) && step.Before(at) {
		at = step
	}
	return at, true
}

// start dispatches the first attempt of r and reports whether an endpoint had a free slot.
// When a trial request is due, r is sent to the trial endpoint and hedged at once.
func (b *Balancer) start(now time.Time, r *request) bool {
	e := b.choose(now, r)
	if e == nil {
		return false
	}
	b.budget.deposit()
	trial := b.dueTrial(now, r)
	if trial == nil {
		b.dispatch(now, r, e, false)
		return true
	}
	trial.nextTrialAt = now.Add(b.cfg.TrialInterval)
	b.dispatch(now, r, trial, false)
	b.dispatch(now, r, e, true)
	return true
}

// dueTrial returns an endpoint in StateTrial that r may be sent to in addition to its
// ordinary attempt, or nil. It takes the token for that from the retry budget.
func (b *Balancer) dueTrial(now time.Time, r *request) *endpoint {
	if !r.Idempotent || b.waiting() > 0 || b.cfg.MaxAttempts < 2 {
		return nil
	}
	for _, e := range b.endpoints {
		if e.listed && e.target.State == StateTrial && b.hasSlot(now, e) && !now.Before(e.nextTrialAt) {
			if !b.budget.takeSpare() {
				return nil
			}
			return e
		}
	}
	return nil
}

// dispatch starts one attempt of r on e.
func (b *Balancer) dispatch(now time.Time, r *request, e *endpoint, hedge bool) {
	trial := e.target.State == StateTrial
	r.attempts = append(r.attempts, attempt{endpoint: e, hedge: hedge, trial: trial})
	r.running++
	e.outstanding++
	r.hedgeAt = time.Time{}
	if r.Idempotent && len(r.attempts) == 1 && b.latencies.upperQuantile > 0 && b.cfg.HedgeQuantile > 0 {
		r.hedgeAt = now.Add(b.latencies.upperQuantile)
	}
	b.scheduleRunning(r)
	b.effects = append(b.effects, Dispatch{
		ID:       r.ID,
		Attempt:  len(r.attempts),
		Endpoint: e.address(),
		Deadline: r.Deadline,
		Hedge:    hedge,
		Trial:    trial,
	})
}

// scheduleRunning sets the wake time of a request with running attempts.
func (b *Balancer) scheduleRunning(r *request) {
	if !r.hedgeAt.IsZero() && r.hedgeAt.Before(r.Deadline) {
		b.wakes.set(r, r.hedgeAt)
		return
	}
	b.wakes.set(r, r.Deadline)
}

func (b *Balancer) newRequest(r Request) *request {
	var req *request
	if last := len(b.freeList) - 1; last >= 0 {
		req = b.freeList[last]
		b.freeList = b.freeList[:last]
	} else {
		req = &request{}
	}
	attempts := req.attempts[:0]
	*req = request{Request: r, attempts: attempts, wakeIndex: -1}
	b.requests[r.ID] = req
	return req
}

// release removes a request that has ended and has no running attempt.
func (b *Balancer) release(r *request) {
	b.wakes.clear(r)
	delete(b.requests, r.ID)
	clear(r.attempts)
	if len(b.freeList) < maxFreeRequests {
		b.freeList = append(b.freeList, r)
	}
}

func (b *Balancer) takeEffects() []Effect {
	effects := b.effects
	b.effects = nil
	return effects
}
