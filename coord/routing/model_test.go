package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// drawnStates are the states that targets are drawn from; most targets are available.
var drawnStates = []EndpointState{
	StateAvailable, StateAvailable, StateAvailable, StateAvailable,
	StateCold, StateTrial, StateExcluded, StateDraining,
}

// didNotRun are the results after which a request is known not to have run.
var didNotRun = map[AttemptResult]bool{AttemptNotSent: true, AttemptRefused: true}

// attemptKey identifies one attempt.
type attemptKey struct {
	id     uint64
	number int
}

// trackedRequest is the model's record of a request.
type trackedRequest struct {
	Request
	dispatched int
	ends       int
	results    []AttemptResult
}

// model checks the effects of a Balancer against its guarantees.
type model struct {
	t             *rapid.T
	b             *Balancer
	cfg           Config
	now           time.Time
	nextID        uint64
	targets       map[fleet.Endpoint]Target
	requests      map[uint64]*trackedRequest
	running       map[attemptKey]Dispatch
	firstAttempts int
	extraAttempts int
	maxBalance    float64 // Maximum of RetryShare*firstAttempts - extraAttempts so far.
}

func newModel(t *rapid.T) *model {
	cfg := Config{
		QueueLimit:  rapid.IntRange(1, 6).Draw(t, "queue"),
		RetryShare:  rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "share"),
		RetryBurst:  rapid.IntRange(1, 4).Draw(t, "burst"),
		MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
		Zone:        "a",
		SlowStart:   time.Second,
	}
	return &model{
		t:        t,
		b:        NewBalancer(cfg, rand.New(rand.NewPCG(1, 2))),
		cfg:      cfg,
		now:      testStart,
		targets:  make(map[fleet.Endpoint]Target),
		requests: make(map[uint64]*trackedRequest),
		running:  make(map[attemptKey]Dispatch),
	}
}

func (m *model) apply(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Dispatch:
			m.dispatched(e)
		case CancelAttempt:
			if _, ok := m.running[attemptKey{e.ID, e.Attempt}]; !ok {
				m.t.Fatalf("cancelled attempt %d of request %d, which is not running", e.Attempt, e.ID)
			}
		case Deliver:
			m.delivered(e)
		case Reject:
			m.rejected(e)
		}
	}
	m.checkOutstanding()
}

func (m *model) dispatched(d Dispatch) {
	r := m.requests[d.ID]
	target, listed := m.targets[d.Endpoint]
	if !listed || target.State == StateExcluded || target.State == StateDraining {
		m.t.Fatalf("attempt of request %d to %s, listed %v, state %d", d.ID, d.Endpoint, listed, target.State)
	}
	if target.State == StateTrial && (!r.Idempotent || !d.Trial) {
		m.t.Fatalf("attempt of request %d to %s on trial: idempotent %v, trial %v", d.ID, d.Endpoint, r.Idempotent, d.Trial)
	}
	if d.Deadline.After(r.Deadline) {
		m.t.Fatalf("attempt of request %d has deadline %v after the request's %v", d.ID, d.Deadline, r.Deadline)
	}
	if r.ends > 0 {
		m.t.Fatalf("attempt of request %d after its end", d.ID)
	}
	if !m.now.Before(r.Deadline) {
		m.t.Fatalf("attempt of request %d at %v, after its deadline %v", d.ID, m.now, r.Deadline)
	}
	r.dispatched++
	r.results = append(r.results, 0)
	if d.Attempt != r.dispatched {
		m.t.Fatalf("attempt of request %d is numbered %d, want %d", d.ID, d.Attempt, r.dispatched)
	}
	m.checkNotIdempotent(r)
	m.checkRetryBudget(d)
	m.running[attemptKey{d.ID, d.Attempt}] = d
}

// checkNotIdempotent checks that a request that is not idempotent is sent again only after
// every earlier attempt is known not to have run.
func (m *model) checkNotIdempotent(r *trackedRequest) {
	if r.Idempotent {
		return
	}
	for i, result := range r.results[:len(r.results)-1] {
		if !didNotRun[result] {
			m.t.Fatalf("request %d is not idempotent; attempt %d ended with %d and another was sent", r.ID, i+1, result)
		}
	}
}

// checkRetryBudget checks that over any window the extra attempts are at most
// RetryShare times the first attempts, plus RetryBurst. The worst window starts where
// RetryShare*firstAttempts - extraAttempts was at its maximum: from there to now, the
// decrease of that balance is how far the extra attempts exceed the share.
func (m *model) checkRetryBudget(d Dispatch) {
	if d.Attempt == 1 {
		m.firstAttempts++
	} else {
		m.extraAttempts++
	}
	balance := m.cfg.RetryShare*float64(m.firstAttempts) - float64(m.extraAttempts)
	m.maxBalance = max(m.maxBalance, balance)
	const rounding = 1e-6
	if m.maxBalance-balance > float64(m.cfg.RetryBurst)+rounding {
		m.t.Fatalf("extra attempts exceed the budget by %f in some window", m.maxBalance-balance-float64(m.cfg.RetryBurst))
	}
}

func (m *model) delivered(d Deliver) {
	r := m.requests[d.ID]
	r.ends++
	if r.ends > 1 {
		m.t.Fatalf("request %d ended twice", d.ID)
	}
	if d.Attempt < 1 || d.Attempt > r.dispatched || r.results[d.Attempt-1] == 0 {
		m.t.Fatalf("request %d delivered attempt %d, which has not ended", d.ID, d.Attempt)
	}
	for i, result := range r.results {
		if result.precedence() > r.results[d.Attempt-1].precedence() {
			m.t.Fatalf("request %d delivered attempt %d, but attempt %d has precedence", d.ID, d.Attempt, i+1)
		}
	}
}

func (m *model) rejected(e Reject) {
	r := m.requests[e.ID]
	r.ends++
	if r.ends > 1 {
		m.t.Fatalf("request %d ended twice", e.ID)
	}
	for i, result := range r.results {
		if e.NotRun && !didNotRun[result] {
			m.t.Fatalf("request %d rejected as not run, but attempt %d ended with %d", e.ID, i+1, result)
		}
	}
}

// checkOutstanding checks the balancer's count of running attempts per endpoint.
func (m *model) checkOutstanding() {
	counts := make(map[fleet.Endpoint]int)
	for _, d := range m.running {
		counts[d.Endpoint]++
	}
	for name, e := range m.b.byAddress {
		if counts[name] != e.outstanding {
			m.t.Fatalf("endpoint %s counts %d attempts, %d are running", name, e.outstanding, counts[name])
		}
	}
}

// checkWakes checks that the wake time of every request is at most its deadline, and that
// nothing is due after a Tick.
func (m *model) checkWakes() {
	for id, r := range m.b.requests {
		if r.stopped {
			continue
		}
		if r.wakeIndex < 0 || r.wakeAt.After(r.Deadline) {
			m.t.Fatalf("request %d with deadline %v has wake time %v, heap index %d", id, r.Deadline, r.wakeAt, r.wakeIndex)
		}
	}
	m.step(func() []Effect { return m.b.Tick(m.now) })
	if wake, ok := m.b.NextWake(m.now); ok && !wake.After(m.now) {
		m.t.Fatalf("a wake at %v is still due after a tick at %v", wake, m.now)
	}
}

// checkNewLimit checks that no attempt was started beyond an endpoint's limit.
func (m *model) checkNewLimit(before map[attemptKey]Dispatch) {
	counts := make(map[fleet.Endpoint]int)
	for _, d := range m.running {
		counts[d.Endpoint]++
	}
	for key, d := range m.running {
		if _, old := before[key]; old {
			continue
		}
		limit := m.targets[d.Endpoint].Limit
		if m.targets[d.Endpoint].State == StateTrial {
			limit = min(limit, 1)
		}
		if counts[d.Endpoint] > limit {
			m.t.Fatalf("endpoint %s has %d attempts, limit %d", d.Endpoint, counts[d.Endpoint], limit)
		}
	}
}

// step runs one call of the balancer and checks its effects.
func (m *model) step(effects func() []Effect) {
	before := make(map[attemptKey]Dispatch, len(m.running))
	for k, d := range m.running {
		before[k] = d
	}
	m.apply(effects())
	m.checkNewLimit(before)
}

func (m *model) setTargets(t *rapid.T) {
	m.targets = make(map[fleet.Endpoint]Target)
	var targets []Target
	for i := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
		name := fleet.Endpoint(fmt.Sprintf("192.0.2.%d:80", i))
		target := Target{
			Upstream: fleet.Upstream{Endpoint: name, Zone: rapid.SampledFrom([]fleet.Zone{"a", "b"}).Draw(t, "zone")},
			State:    rapid.SampledFrom(drawnStates).Draw(t, "state"),
			Limit:    rapid.SampledFrom([]int{1, 1, 2, 3, 0}).Draw(t, "limit"),
			LoadHint: rapid.Float64Range(0, 1).Draw(t, "load"),
		}
		m.targets[name] = target
		targets = append(targets, target)
	}
	m.step(func() []Effect { return m.b.SetTargets(m.now, targets) })
}

func (m *model) submit(t *rapid.T) {
	m.nextID++
	r := Request{
		ID:         m.nextID,
		Account:    fleet.Account(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account")),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(-1, 500).Draw(t, "deadline")) * time.Millisecond),
	}
	m.requests[r.ID] = &trackedRequest{Request: r}
	m.step(func() []Effect { return m.b.Submit(m.now, r) })
}

func (m *model) runningKeys() []attemptKey {
	keys := make([]attemptKey, 0, len(m.running))
	for k := range m.running {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int {
		if a.id != b.id {
			return int(a.id) - int(b.id)
		}
		return a.number - b.number
	})
	return keys
}

func (m *model) finish(key attemptKey, result AttemptResult, latency time.Duration) {
	delete(m.running, key)
	m.requests[key.id].results[key.number-1] = result
	m.step(func() []Effect { return m.b.Finish(m.now, key.id, key.number, result, latency) })
}

func (m *model) finishOne(t *rapid.T) {
	keys := m.runningKeys()
	if len(keys) == 0 {
		return
	}
	key := rapid.SampledFrom(keys).Draw(t, "attempt")
	result := AttemptResult(rapid.IntRange(int(AttemptSucceeded), int(AttemptCancelled)).Draw(t, "result"))
	latency := time.Duration(rapid.IntRange(1, 100).Draw(t, "latency")) * time.Millisecond
	m.finish(key, result, latency)
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "elapsed")) * time.Millisecond)
	m.step(func() []Effect { return m.b.Tick(m.now) })
}

func (m *model) cancel(t *rapid.T) {
	if m.nextID == 0 {
		return
	}
	id := uint64(rapid.IntRange(1, int(m.nextID)).Draw(t, "id"))
	m.step(func() []Effect { return m.b.Cancel(m.now, id) })
}

// finishAll ends every attempt and moves the time past every deadline. Each request must
// then have ended exactly once.
func (m *model) finishAll() {
	for len(m.running) > 0 {
		m.finish(m.runningKeys()[0], AttemptIncomplete, time.Millisecond)
	}
	m.now = m.now.Add(time.Minute)
	m.step(func() []Effect { return m.b.Tick(m.now) })
	for id, r := range m.requests {
		if r.ends != 1 {
			m.t.Fatalf("request %d ended %d times", id, r.ends)
		}
	}
	if len(m.b.requests) != 0 || len(m.b.wakes) != 0 || m.b.waiting() != 0 {
		m.t.Fatalf("the balancer has %d requests, %d wakes and %d waiting requests left at the end", len(m.b.requests), len(m.b.wakes), m.b.waiting())
	}
	if _, ok := m.b.NextWake(m.now); ok {
		m.t.Fatalf("NextWake returns a time without a request")
	}
}

func TestBalancerGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.setTargets(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":     m.submit,
			"submit2":    m.submit,
			"finish":     m.finishOne,
			"finish2":    m.finishOne,
			"tick":       m.tick,
			"cancel":     m.cancel,
			"setTargets": m.setTargets,
			"wakes":      func(*rapid.T) { m.checkWakes() },
		})
		m.finishAll()
	})
}
