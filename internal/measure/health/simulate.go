package main

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/endpoints"
)

// event runs at a virtual time. Events at the same time run in the order of their sequence.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one run of one service in virtual time.
type simulation struct {
	w         workload
	random    *rand.Rand
	carriers  []fleet.Instance
	policy    policy
	now       time.Time
	queue     events
	sequence  int
	limits    [][]int     // Concurrency limits, by carrier and endpoint.
	inFlight  [][]int     // Running requests, by carrier and endpoint.
	stalled   []time.Time // End of each endpoint's last stall.
	queued    []int       // Queued requests at each carrier.
	fault     fault
	unhealthy int // Endpoint with the fault, or -1.
	onset     time.Time
	sent      int // Requests to the unhealthy endpoint since the onset.
}

var epoch = time.Unix(1_700_000_000, 0)

func newSimulation(w workload, seed uint64, newPolicy func(all []fleet.Instance, now time.Time) policy) *simulation {
	s := &simulation{w: w, random: rand.New(rand.NewPCG(seed, 0x6865616c7468)), carriers: fleetOf(carriers), now: epoch, unhealthy: -1}
	s.policy = newPolicy(s.carriers, s.now)
	for _, c := range s.carriers {
		s.limits = append(s.limits, s.limitsOf(c))
		s.inFlight = append(s.inFlight, newInts(w.endpoints))
	}
	s.stalled = newTimes(w.endpoints)
	s.queued = newInts(len(s.carriers))
	for c := range s.carriers {
		s.after(time.Duration(s.random.Int64N(int64(control.TickInterval))), func() { s.tick(c) })
	}
	for e := range w.endpoints {
		s.scheduleStall(e)
	}
	s.scheduleArrival()
	return s
}

// limitsOf returns a carrier's share of each endpoint's slots. The success-rate outlier
// compares the endpoints of one carrier, and so needs a limit of at least 1 at each.
func (s *simulation) limitsOf(c fleet.Instance) []int {
	if _, isOutlier := s.policy.(*outlier); !isOutlier {
		return endpoints.Limits(s.w.upstreams(), s.carriers, c.Ref)
	}
	limits := newInts(s.w.endpoints)
	for e := range limits {
		limits[e] = 1
	}
	return limits
}

func newInts(n int) []int        { return make([]int, n) }
func newTimes(n int) []time.Time { return make([]time.Time, n) }

func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now.Add(d), sequence: s.sequence, run: run})
}

// run processes events for a duration or until done, unless nil, returns true, and reports whether
// it did.
func (s *simulation) run(d time.Duration, done func() bool) bool {
	end := s.now.Add(d)
	for s.queue[0].at.Before(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
		s.sendMessages()
		if done != nil && done() {
			return true
		}
	}
	s.now = end
	return false
}

// sendMessages sends the messages of the policy with the delay of a link between zones.
func (s *simulation) sendMessages() {
	for _, m := range s.policy.outbox() {
		delay := 500*time.Microsecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
		s.after(delay, func() { s.policy.deliver(s.now, m) })
	}
}

func (s *simulation) tick(carrier int) {
	s.policy.tick(s.now, carrier)
	s.dispatchQueued(carrier)
	s.after(control.TickInterval, func() { s.tick(carrier) })
}

func (s *simulation) scheduleStall(e int) {
	wait := time.Duration(s.random.ExpFloat64() * float64(meanStallInterval))
	s.after(wait, func() {
		s.stalled[e] = s.now.Add(stallDuration)
		s.scheduleStall(e)
	})
}

func (s *simulation) scheduleArrival() {
	wait := s.random.ExpFloat64() / s.w.rate()
	s.after(time.Duration(wait*float64(time.Second)), func() {
		carrier := s.random.IntN(len(s.carriers))
		s.queued[carrier]++
		s.dispatchQueued(carrier)
		s.scheduleArrival()
	})
}

// dispatchQueued sends queued requests while an endpoint has capacity.
func (s *simulation) dispatchQueued(carrier int) {
	for s.queued[carrier] > 0 {
		e, trial, ok := s.pickEndpoint(carrier)
		if !ok {
			return
		}
		s.queued[carrier]--
		s.send(carrier, e, trial)
	}
}

// pickEndpoint returns an idle endpoint in trial, or else the one of two random endpoints with
// capacity that has fewer running requests.
func (s *simulation) pickEndpoint(carrier int) (endpoint int, trial, ok bool) {
	var candidates []int
	usable := false
	for e := range s.w.endpoints {
		state := s.policy.state(s.now, carrier, e)
		if state == health.StateTrial && s.inFlight[carrier][e] == 0 {
			return e, true, true
		}
		if state == health.StateInService && s.limits[carrier][e] > 0 {
			usable = true
			if s.inFlight[carrier][e] < s.limits[carrier][e] {
				candidates = append(candidates, e)
			}
		}
	}
	if !usable {
		candidates = s.idleInService(carrier)
	}
	if len(candidates) == 0 {
		return 0, false, false
	}
	a, b := candidates[s.random.IntN(len(candidates))], candidates[s.random.IntN(len(candidates))]
	if s.inFlight[carrier][b] < s.inFlight[carrier][a] {
		a = b
	}
	return a, false, true
}

// idleInService returns the endpoints in service without a running request of this carrier. Limits
// don't matter here.
func (s *simulation) idleInService(carrier int) []int {
	var candidates []int
	for e := range s.w.endpoints {
		if s.policy.state(s.now, carrier, e) == health.StateInService && s.inFlight[carrier][e] == 0 {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

func (s *simulation) send(carrier, e int, trial bool) {
	latency := s.w.healthyLatency(s.random)
	if s.now.Before(s.stalled[e]) {
		latency += s.stalled[e].Sub(s.now)
	}
	failed := s.random.Float64() < healthyFailRate
	if e == s.unhealthy {
		s.sent++
		latency, failed = s.applyFault(carrier, latency, failed)
	}
	if latency >= deadline {
		latency, failed = deadline, true
	}
	s.inFlight[carrier][e]++
	s.after(latency, func() {
		s.inFlight[carrier][e]--
		s.policy.observe(s.now, carrier, e, failed, latency, trial)
		s.dispatchQueued(carrier)
	})
}

// applyFault returns the latency and the result of a request to the unhealthy endpoint.
func (s *simulation) applyFault(carrier int, latency time.Duration, failed bool) (time.Duration, bool) {
	if !s.fault.active(s.now.Sub(s.onset)) {
		return latency, failed
	}
	if s.fault.zone != "" {
		if s.carriers[carrier].Zone == s.fault.zone {
			return deadline, true
		}
		return latency, failed
	}
	return time.Duration(float64(latency) * s.fault.slowdown), failed || s.random.Float64() < s.fault.failRate
}

// injectFault starts a fault of an endpoint.
func (s *simulation) injectFault(f fault, endpoint int) {
	s.fault, s.unhealthy, s.onset = f, endpoint, s.now
}

// affectedCarriers returns the carriers whose requests to the unhealthy endpoint meet the fault.
func (s *simulation) affectedCarriers() []int {
	var all []int
	for c := range s.carriers {
		if s.limits[c][s.unhealthy] > 0 && (s.fault.zone == "" || s.carriers[c].Zone == s.fault.zone) {
			all = append(all, c)
		}
	}
	return all
}
