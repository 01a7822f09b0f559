package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

const endpointA, endpointB, endpointC fleet.Endpoint = "192.0.2.1:80", "192.0.2.2:80", "192.0.2.3:80"

func at(d time.Duration) time.Time { return testStart.Add(d) }

func target(e fleet.Endpoint, limit int, s EndpointState) Target {
	return Target{Upstream: fleet.Upstream{Endpoint: e}, Limit: limit, State: s}
}

func newTestBalancer(cfg Config, targets ...Target) *Balancer {
	b := NewBalancer(cfg, rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(testStart, targets)
	return b
}

func idempotentRequest(id uint64) Request {
	return Request{ID: id, Account: "x", Idempotent: true, Deadline: at(10 * time.Second)}
}

func dispatches(effects []Effect) []Dispatch {
	var found []Dispatch
	for _, effect := range effects {
		if d, ok := effect.(Dispatch); ok {
			found = append(found, d)
		}
	}
	return found
}

func onlyEffect[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	if len(found) != 1 {
		t.Fatalf("effects %v hold %d of the wanted type, want 1", effects, len(found))
	}
	return found[0]
}

// addLatencySamples gives the balancer enough latencies of 10 ms for a quantile.
func addLatencySamples(b *Balancer) {
	for i := range uint64(latencyMinSamples) {
		d := dispatches(b.Submit(testStart, idempotentRequest(1_000_000+i)))[0]
		b.Finish(testStart, d.ID, d.Attempt, AttemptSucceeded, 10*time.Millisecond)
	}
}

func TestHedgeStartsAtQuantileAndCancelsSlowerAttempt(t *testing.T) {
	b := newTestBalancer(Config{RetryShare: 0.5}, target(endpointA, 4, StateAvailable), target(endpointB, 4, StateAvailable))
	addLatencySamples(b)
	first := onlyEffect[Dispatch](t, b.Submit(testStart, idempotentRequest(1)))
	wake, ok := b.NextWake(testStart)
	if !ok || wake.Before(at(10*time.Millisecond)) || wake.After(at(12*time.Millisecond)) {
		t.Fatalf("hedge due at %v, want 10 to 12 ms after %v", wake, testStart)
	}
	hedge := onlyEffect[Dispatch](t, b.Tick(wake))
	if !hedge.Hedge || hedge.Endpoint == first.Endpoint {
		t.Fatalf("hedge %+v beside %+v", hedge, first)
	}
	effects := b.Finish(wake.Add(time.Millisecond), 1, hedge.Attempt, AttemptSucceeded, time.Millisecond)
	if d := onlyEffect[Deliver](t, effects); d.Attempt != hedge.Attempt {
		t.Fatalf("delivered %+v", d)
	}
	if c := onlyEffect[CancelAttempt](t, effects); c.Attempt != first.Attempt {
		t.Fatalf("cancelled %+v", c)
	}
}

func TestNoHedgeForNonIdempotentOrWhileRequestsWait(t *testing.T) {
	b := newTestBalancer(Config{RetryShare: 0.5}, target(endpointA, 1, StateAvailable), target(endpointB, 1, StateAvailable))
	addLatencySamples(b)
	nonIdempotent := idempotentRequest(1)
	nonIdempotent.Idempotent = false
	onlyEffect[Dispatch](t, b.Submit(testStart, nonIdempotent))
	if got := dispatches(b.Tick(at(time.Second))); len(got) != 0 {
		t.Fatalf("a non-idempotent request was hedged: %+v", got)
	}
	running := onlyEffect[Dispatch](t, b.Submit(at(time.Second), idempotentRequest(2)))
	b.Submit(at(time.Second), idempotentRequest(3))
	if got := dispatches(b.Tick(at(2 * time.Second))); len(got) != 0 {
		t.Fatalf("hedged while requests wait: %+v", got)
	}
	if d := onlyEffect[Dispatch](t, b.Finish(at(2*time.Second), 2, running.Attempt, AttemptSucceeded, time.Second)); d.ID != 3 {
		t.Fatalf("the freed slot was used by %+v, want request 3", d)
	}
}

func TestTrialIsHedgedAtOnceAndNotCancelled(t *testing.T) {
	b := newTestBalancer(Config{RetryShare: 0.5}, target(endpointA, 4, StateAvailable), target(endpointB, 4, StateTrial))
	got := dispatches(b.Submit(testStart, idempotentRequest(1)))
	if len(got) != 2 || !got[0].Trial || got[0].Endpoint != endpointB || !got[1].Hedge || got[1].Endpoint != endpointA {
		t.Fatalf("dispatched %+v", got)
	}
	if second := dispatches(b.Submit(at(time.Second), idempotentRequest(2))); len(second) != 1 || second[0].Trial {
		t.Fatalf("a second trial while the first is running: %+v", second)
	}
	b.Finish(at(time.Second), 2, 1, AttemptSucceeded, time.Second)
	effects := b.Finish(at(time.Second), 1, 2, AttemptSucceeded, time.Second)
	onlyEffect[Deliver](t, effects)
	if len(effects) != 1 {
		t.Fatalf("the running trial was cancelled: %+v", effects)
	}
	if c := onlyEffect[CancelAttempt](t, b.Tick(at(10*time.Second))); c.ID != 1 || c.Attempt != 1 {
		t.Fatalf("at the deadline: %+v", c)
	}
}

func TestTrialsLeaveBudgetForRetries(t *testing.T) {
	b := newTestBalancer(Config{RetryShare: 0.1}, target(endpointA, 100, StateAvailable), target(endpointB, 1, StateTrial))
	id := uint64(0)
	for i := range 50 {
		id++
		now := at(time.Duration(i) * DefaultTrialInterval)
		for _, d := range dispatches(b.Submit(now, Request{ID: id, Idempotent: true, Deadline: now.Add(time.Second)})) {
			b.Finish(now, d.ID, d.Attempt, AttemptSucceeded, time.Millisecond)
		}
		if b.budget.balance < 1 {
			t.Fatalf("after %d requests the trials left %f tokens in the retry budget, want at least 1", id, b.budget.balance)
		}
	}
}

func TestColdEndpointHasSlowStart(t *testing.T) {
	b := newTestBalancer(Config{SlowStart: 10 * time.Second, QueueLimit: -1}, target(endpointA, 11, StateCold))
	id := uint64(0)
	for _, step := range []struct {
		elapsed time.Duration
		running int
	}{{0, 1}, {time.Second, 2}, {5 * time.Second, 6}, {9 * time.Second, 10}, {10 * time.Second, 11}, {time.Minute, 11}} {
		for range 20 {
			id++
			now := at(step.elapsed)
			b.Submit(now, Request{ID: id, Deadline: now.Add(time.Hour)})
		}
		if got := b.byAddress[endpointA].outstanding; got != step.running {
			t.Fatalf("%v after slow start began %d attempts run, want %d", step.elapsed, got, step.running)
		}
	}
}

func TestReadmittedEndpointHasSlowStart(t *testing.T) {
	b := newTestBalancer(Config{}, target(endpointA, 8, StateExcluded))
	b.SetTargets(at(time.Second), []Target{target(endpointA, 8, StateAvailable)})
	if got := b.byAddress[endpointA].limit(at(time.Second), DefaultSlowStart); got != 1 {
		t.Fatalf("limit %d on readmission, want 1", got)
	}
}

func TestFullZoneSpillsOver(t *testing.T) {
	local, remote := target(endpointA, 4, StateAvailable), target(endpointB, 4, StateAvailable)
	local.Upstream.Zone, remote.Upstream.Zone = "a", "b"
	b := newTestBalancer(Config{Zone: "a"}, local, remote)
	counts := make(map[fleet.Endpoint]int)
	for id := range uint64(8) {
		d := onlyEffect[Dispatch](t, b.Submit(testStart, idempotentRequest(id+1)))
		counts[d.Endpoint]++
		if id == 2 && counts[endpointA] != 3 {
			t.Fatalf("%d of the first 3 requests were sent to the own zone, want 3", counts[endpointA])
		}
		if id == 3 && counts[endpointB] != 1 {
			t.Fatalf("the fourth request was sent to the own zone although its score is above the spill threshold")
		}
	}
	if counts[endpointA] != 4 || counts[endpointB] != 4 {
		t.Fatalf("slots used %v, want 4 each", counts)
	}
}

func TestReportedLoadDecays(t *testing.T) {
	loaded := target(endpointA, 4, StateAvailable)
	loaded.LoadHint = 1
	b := newTestBalancer(Config{}, loaded)
	fresh := b.byAddress[endpointA].load(testStart)
	stale := b.byAddress[endpointA].load(at(5 * loadHalfLife))
	if fresh != 1 || stale > 1.0/32 {
		t.Fatalf("load %f when new, %f when stale", fresh, stale)
	}
	b.SetLoad(at(time.Second), endpointA, 0.25)
	loaded.LoadAge = 5 * time.Second
	b.SetTargets(at(2*time.Second), []Target{loaded})
	if got := b.byAddress[endpointA].target.LoadHint; got != 0.25 {
		t.Fatalf("an older reported load replaced the newer one: %f", got)
	}
}

func TestFullQueueShedsFromLargestAccount(t *testing.T) {
	b := newTestBalancer(Config{QueueLimit: 4}, target(endpointA, 1, StateAvailable))
	submit := func(id uint64, account fleet.Account) []Effect {
		return b.Submit(testStart, Request{ID: id, Account: account, Deadline: at(time.Hour)})
	}
	for id := range uint64(5) {
		submit(id+1, "flood")
	}
	if r := onlyEffect[Reject](t, submit(6, "flood")); r.ID != 6 || r.Reason != RejectQueueFull || !r.NotRun {
		t.Fatalf("rejected %+v", r)
	}
	if r := onlyEffect[Reject](t, submit(7, "quiet")); r.ID != 5 {
		t.Fatalf("rejected %+v, want the flooding account's newest request", r)
	}
	if d := onlyEffect[Dispatch](t, b.Finish(testStart, 1, 1, AttemptSucceeded, time.Millisecond)); d.ID != 2 && d.ID != 7 {
		t.Fatalf("served %+v", d)
	}
}

func TestQueueBoundGrowsWithSlots(t *testing.T) {
	for _, c := range []struct{ slots, waiting int }{{1, queueMin}, {6, 6 * queuePerSlot}, {100, DefaultQueueLimit}} {
		b := newTestBalancer(Config{}, target(endpointA, c.slots, StateAvailable))
		for id := range uint64(c.slots + 2*DefaultQueueLimit) {
			b.Submit(testStart, idempotentRequest(id+1))
		}
		if b.waiting() != c.waiting {
			t.Errorf("%d requests wait for %d slots, want %d", b.waiting(), c.slots, c.waiting)
		}
	}
}

func TestAccountsShareFullQueueByWeight(t *testing.T) {
	cfg := Config{QueueLimit: 40, AccountWeights: map[fleet.Account]int{"heavy": 3}}
	b := newTestBalancer(cfg, target(endpointA, 1, StateAvailable))
	accountOf := make(map[uint64]fleet.Account)
	id, running := uint64(0), uint64(0)
	served := make(map[fleet.Account]int)
	for range 400 {
		for _, account := range []fleet.Account{"heavy", "light"} {
			id++
			accountOf[id] = account
			if d := dispatches(b.Submit(testStart, Request{ID: id, Account: account, Deadline: at(time.Hour)})); len(d) > 0 {
				running = d[0].ID
			}
		}
		d := onlyEffect[Dispatch](t, b.Finish(testStart, running, 1, AttemptSucceeded, time.Millisecond))
		running = d.ID
		served[accountOf[d.ID]]++
	}
	ratio := float64(served["heavy"]) / float64(served["light"])
	if ratio < 2.7 || ratio > 3.3 {
		t.Fatalf("served %v: ratio %f, want 3", served, ratio)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsShed(t *testing.T) {
	b := newTestBalancer(Config{}, target(endpointA, 1, StateAvailable))
	addLatencySamples(b)
	b.Submit(testStart, idempotentRequest(1))
	b.Submit(testStart, Request{ID: 2, Deadline: at(50 * time.Millisecond)})
	wake, _ := b.NextWake(testStart)
	for wake.Before(at(30 * time.Millisecond)) {
		b.Tick(wake)
		wake, _ = b.NextWake(wake)
	}
	if r := onlyEffect[Reject](t, b.Tick(wake)); r.ID != 2 || r.Reason != RejectDeadline || !r.NotRun || !wake.Before(at(50*time.Millisecond)) {
		t.Fatalf("at %v: %+v", wake, r)
	}
}

func TestNoEndpointRejectsWaitingRequests(t *testing.T) {
	b := newTestBalancer(Config{}, target(endpointA, 1, StateAvailable))
	b.Submit(testStart, idempotentRequest(1))
	b.Submit(testStart, idempotentRequest(2))
	effects := b.MarkDraining(testStart, endpointA)
	if r := onlyEffect[Reject](t, effects); r.ID != 2 || r.Reason != RejectNoEndpoint {
		t.Fatalf("rejected %+v", r)
	}
	if r := onlyEffect[Reject](t, b.Submit(testStart, idempotentRequest(3))); r.Reason != RejectNoEndpoint {
		t.Fatalf("rejected %+v", r)
	}
	onlyEffect[Deliver](t, b.Finish(testStart, 1, 1, AttemptSucceeded, time.Millisecond))
	if len(b.requests) != 0 {
		t.Fatalf("%d requests are left", len(b.requests))
	}
}

func TestRetryWaitsForAnotherEndpoint(t *testing.T) {
	b := newTestBalancer(Config{RetryShare: 0.5, RetryBurst: 2, HedgeQuantile: -1},
		target(endpointA, 1, StateAvailable), target(endpointB, 1, StateAvailable))
	first := onlyEffect[Dispatch](t, b.Submit(testStart, idempotentRequest(1)))
	second := onlyEffect[Dispatch](t, b.Submit(testStart, idempotentRequest(2)))
	if got := b.Finish(testStart, 1, 1, AttemptIncomplete, 0); len(got) != 0 {
		t.Fatalf("the retry was not queued: %+v", got)
	}
	third := onlyEffect[Dispatch](t, b.Submit(testStart, idempotentRequest(3)))
	if third.Endpoint != first.Endpoint {
		t.Fatalf("the free slot on %s was not used by another request: %+v", first.Endpoint, third)
	}
	retry := onlyEffect[Dispatch](t, b.Finish(testStart, 2, 1, AttemptSucceeded, time.Millisecond))
	if retry.ID != 1 || retry.Attempt != 2 || retry.Endpoint != second.Endpoint {
		t.Fatalf("retried %+v", retry)
	}
	if b.budget.balance != 1.5 {
		t.Fatalf("balance %f, want 1.5 after a burst of 2, one retry and one more request", b.budget.balance)
	}
}

func TestRetryWithoutEndpointDeliversPreviousOutcome(t *testing.T) {
	b := newTestBalancer(Config{RetryShare: 0.5, HedgeQuantile: -1},
		target(endpointA, 1, StateAvailable), target(endpointB, 1, StateAvailable))
	b.Submit(testStart, idempotentRequest(1))
	second := onlyEffect[Dispatch](t, b.Submit(testStart, idempotentRequest(2)))
	b.Finish(testStart, 1, 1, AttemptIncomplete, 0)
	effects := b.MarkDraining(testStart, second.Endpoint)
	if d := onlyEffect[Deliver](t, effects); d.ID != 1 || d.Attempt != 1 || len(effects) != 1 {
		t.Fatalf("effects %+v", effects)
	}
}

// fixedCandidates implements Candidates for TestPolicies.
type fixedCandidates []struct {
	endpoint    fleet.Endpoint
	outstanding int
	score       float64
}

func (l fixedCandidates) Len() int                      { return len(l) }
func (l fixedCandidates) Endpoint(i int) fleet.Endpoint { return l[i].endpoint }
func (l fixedCandidates) Outstanding(i int) int         { return l[i].outstanding }
func (l fixedCandidates) Score(i int) float64           { return l[i].score }

func TestPolicies(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := fixedCandidates{{endpointB, 1, 3}, {endpointA, 2, 2}, {endpointC, 3, 1}}
	if got := (LeastConnections{}).Pick(random, c); got != 0 {
		t.Errorf("LeastConnections picked %s", c[got].endpoint)
	}
	order := ""
	policy := &RoundRobin{}
	for range 4 {
		order += fmt.Sprint(policy.Pick(random, c))
	}
	if order != "1021" {
		t.Errorf("RoundRobin picked %s, want 1021", order)
	}
	for range 20 {
		if got := (TwoChoices{}).Pick(random, c); got == 0 {
			t.Errorf("TwoChoices picked the highest score")
		}
	}
}
