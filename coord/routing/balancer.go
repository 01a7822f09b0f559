package routing

import (
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// freeRequests bounds the request records kept for reuse.
const freeRequests = 256

// rampStep is the time between two looks at endpoints that start slowly while requests wait.
const rampStep = 100 * time.Millisecond

// Balancer routes the requests of one service from one instance. It is not safe for
// concurrent use.
type Balancer struct {
	cfg       Config
	random    *rand.Rand
	endpoints []*endpoint
	byName    map[fleet.Endpoint]*endpoint
	requests  map[uint64]*request
	queue     fairQueue  // Requests that wait for their first attempt.
	retries   []*request // Requests that wait for an endpoint they have not tried, oldest first.
	wakes     wakeHeap
	budget    retryBudget
	latencies latencyWindowed
	latency   latencyMean // Over all endpoints.
	free      []*request
	near, far candidates
	effects   []Effect
}

// NewBalancer returns a balancer without endpoints.
func NewBalancer(cfg Config, random *rand.Rand) *Balancer {
	b := &Balancer{
		random:   random,
		byName:   make(map[fleet.Endpoint]*endpoint),
		requests: make(map[uint64]*request),
		queue:    newFairQueue(),
	}
	b.SetConfig(cfg)
	b.budget.balance = b.budget.burst
	return b
}

// SetConfig replaces the settings. Requests that wait or run are kept.
func (b *Balancer) SetConfig(cfg Config) {
	b.cfg = cfg.withDefaults()
	b.budget.configure(b.cfg.RetryShare, b.cfg.RetryBurst)
	b.latencies.quantile = b.cfg.HedgeQuantile
}

// Submit takes a request. Its ID must not be in use; a second request with an ID in use is dropped.
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
	b.wait(now, req)
	b.pump(now)
	return b.takeEffects()
}

// Cancel says that the caller of a request went away. The request still ends with Deliver or Reject.
func (b *Balancer) Cancel(now time.Time, id uint64) []Effect {
	r := b.requests[id]
	if r == nil || r.ended {
		return nil
	}
	if r.waits() {
		b.shed(r, RejectCancelled)
		return b.takeEffects()
	}
	r.stopped = true
	b.cancelRunning(r, true)
	return b.takeEffects()
}

// Tick ends what has met its deadline, starts the hedges that are due and gives slots to requests that wait.
func (b *Balancer) Tick(now time.Time) []Effect {
	for len(b.wakes) > 0 && !b.wakes[0].wakeAt.After(now) {
		b.wake(now, b.wakes[0])
	}
	b.pump(now)
	return b.takeEffects()
}

// NextWake returns when Tick is next needed; false when no request is held.
func (b *Balancer) NextWake(now time.Time) (time.Time, bool) {
	if len(b.wakes) == 0 {
		return time.Time{}, false
	}
	at := b.wakes[0].wakeAt
	if step := now.Add(rampStep); b.waiting() > 0 && b.anyRamping(now) && step.Before(at) {
		at = step
	}
	return at, true
}

// start sends the first attempt of r and reports whether an endpoint had a free slot.
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
	trial.nextTrial = now.Add(b.cfg.TrialInterval)
	b.dispatch(now, r, trial, false)
	b.dispatch(now, r, e, true)
	return true
}

// dueTrial returns an endpoint on trial that r may be sent to beside its ordinary attempt.
func (b *Balancer) dueTrial(now time.Time, r *request) *endpoint {
	if !r.Idempotent || b.waiting() > 0 || b.cfg.MaxAttempts < 2 {
		return nil
	}
	for _, e := range b.endpoints {
		if e.listed && e.target.Standing == StandingTrial && b.hasSlot(now, e) && !now.Before(e.nextTrial) {
			if !b.budget.takeSpare() {
				return nil
			}
			return e
		}
	}
	return nil
}

// dispatch sends one attempt of r to e.
func (b *Balancer) dispatch(now time.Time, r *request, e *endpoint, hedge bool) {
	trial := e.target.Standing == StandingTrial
	r.attempts = append(r.attempts, attempt{endpoint: e, hedge: hedge, trial: trial})
	r.running++
	e.outstanding++
	r.hedgeAt = time.Time{}
	if r.Idempotent && len(r.attempts) == 1 && b.latencies.upper > 0 && b.cfg.HedgeQuantile > 0 {
		r.hedgeAt = now.Add(b.latencies.upper)
	}
	b.scheduleRunning(r)
	b.effects = append(b.effects, Dispatch{
		ID:       r.ID,
		Attempt:  len(r.attempts),
		Endpoint: e.name(),
		Deadline: r.Deadline,
		Hedge:    hedge,
		Trial:    trial,
	})
}

// scheduleRunning sets the wake of a request with attempts under way.
func (b *Balancer) scheduleRunning(r *request) {
	if !r.hedgeAt.IsZero() && r.hedgeAt.Before(r.Deadline) {
		b.wakes.set(r, r.hedgeAt)
		return
	}
	b.wakes.set(r, r.Deadline)
}

func (b *Balancer) newRequest(r Request) *request {
	var req *request
	if last := len(b.free) - 1; last >= 0 {
		req = b.free[last]
		b.free = b.free[:last]
	} else {
		req = &request{}
	}
	attempts := req.attempts[:0]
	*req = request{Request: r, attempts: attempts, wakeIndex: -1}
	b.requests[r.ID] = req
	return req
}

// release drops the record of a request that has ended with nothing under way.
func (b *Balancer) release(r *request) {
	b.wakes.clear(r)
	delete(b.requests, r.ID)
	clear(r.attempts)
	if len(b.free) < freeRequests {
		b.free = append(b.free, r)
	}
}

func (b *Balancer) takeEffects() []Effect {
	effects := b.effects
	b.effects = nil
	return effects
}
