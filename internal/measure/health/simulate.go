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

// event is something that happens at a time; order breaks ties.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
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
	w       workload
	random  *rand.Rand
	all     []fleet.Instance
	policy  policy
	now     time.Time
	queue   events
	order   int
	limits  [][]int // By carrier and endpoint.
	busy    [][]int
	stalled []time.Time // End of each endpoint's last stall.
	waiting []int       // Requests that wait at each carrier.
	fault   fault
	sick    int
	onset   time.Time
	sent    int // To the sick endpoint since the onset.
}

var epoch = time.Unix(1_700_000_000, 0)

func newSimulation(w workload, seed uint64, make func(all []fleet.Instance, now time.Time) policy) *simulation {
	s := &simulation{w: w, random: rand.New(rand.NewPCG(seed, 0x6865616c7468)), all: fleetOf(carriers), now: epoch, sick: -1}
	s.policy = make(s.all, s.now)
	for _, c := range s.all {
		s.limits = append(s.limits, s.limitsOf(c))
		s.busy = append(s.busy, newInts(w.endpoints))
	}
	s.stalled = newTimes(w.endpoints)
	s.waiting = newInts(len(s.all))
	for c := range s.all {
		s.after(time.Duration(s.random.Int64N(int64(control.TickInterval))), func() { s.tick(c) })
	}
	for e := range w.endpoints {
		s.planStall(e)
	}
	s.arrive()
	return s
}

// limitsOf returns a carrier's share of each endpoint's slots. The success-rate outlier
// compares the endpoints of one carrier, and so gets a share of each.
func (s *simulation) limitsOf(c fleet.Instance) []int {
	if _, all := s.policy.(*outlier); !all {
		return endpoints.Limits(s.w.upstreams(), s.all, c.Ref)
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
	s.order++
	heap.Push(&s.queue, event{at: s.now.Add(d), order: s.order, run: run})
}

// run lets time pass until done says so or until the end, and returns whether it was done.
func (s *simulation) run(d time.Duration, done func() bool) bool {
	end := s.now.Add(d)
	for s.queue[0].at.Before(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
		s.post()
		if done != nil && done() {
			return true
		}
	}
	s.now = end
	return false
}

// post sends the policy's messages, with the delay of a link between zones.
func (s *simulation) post() {
	for _, m := range s.policy.outbox() {
		delay := 500*time.Microsecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
		s.after(delay, func() { s.policy.deliver(s.now, m) })
	}
}

func (s *simulation) tick(carrier int) {
	s.policy.tick(s.now, carrier)
	s.drain(carrier)
	s.after(control.TickInterval, func() { s.tick(carrier) })
}

func (s *simulation) planStall(e int) {
	wait := time.Duration(s.random.ExpFloat64() * float64(stallEvery))
	s.after(wait, func() {
		s.stalled[e] = s.now.Add(stallFor)
		s.planStall(e)
	})
}

func (s *simulation) arrive() {
	wait := s.random.ExpFloat64() / s.w.rate()
	s.after(time.Duration(wait*float64(time.Second)), func() {
		carrier := s.random.IntN(len(s.all))
		s.waiting[carrier]++
		s.drain(carrier)
		s.arrive()
	})
}

// drain sends waiting requests while an endpoint has room for one.
func (s *simulation) drain(carrier int) {
	for s.waiting[carrier] > 0 {
		e, trial, ok := s.choose(carrier)
		if !ok {
			return
		}
		s.waiting[carrier]--
		s.send(carrier, e, trial)
	}
}

// choose takes the less busy of two random endpoints that have room.
func (s *simulation) choose(carrier int) (endpoint int, trial, ok bool) {
	var open []int
	usable := false
	for e := range s.w.endpoints {
		state := s.policy.state(s.now, carrier, e)
		if state == health.StateTrial && s.busy[carrier][e] == 0 {
			return e, true, true
		}
		if state == health.StateInService && s.limits[carrier][e] > 0 {
			usable = true
			if s.busy[carrier][e] < s.limits[carrier][e] {
				open = append(open, e)
			}
		}
	}
	if !usable {
		open = s.anyOpen(carrier)
	}
	if len(open) == 0 {
		return 0, false, false
	}
	a, b := open[s.random.IntN(len(open))], open[s.random.IntN(len(open))]
	if s.busy[carrier][b] < s.busy[carrier][a] {
		a = b
	}
	return a, false, true
}

// anyOpen returns the endpoints in service without a request of this carrier.
func (s *simulation) anyOpen(carrier int) []int {
	var open []int
	for e := range s.w.endpoints {
		if s.policy.state(s.now, carrier, e) == health.StateInService && s.busy[carrier][e] == 0 {
			open = append(open, e)
		}
	}
	return open
}

func (s *simulation) send(carrier, e int, trial bool) {
	latency := s.w.healthyLatency(s.random)
	if s.now.Before(s.stalled[e]) {
		latency += s.stalled[e].Sub(s.now)
	}
	failed := s.random.Float64() < healthyFailing
	if e == s.sick {
		s.sent++
		latency, failed = s.sicken(carrier, latency, failed)
	}
	if latency >= deadline {
		latency, failed = deadline, true
	}
	s.busy[carrier][e]++
	s.after(latency, func() {
		s.busy[carrier][e]--
		s.policy.observe(s.now, carrier, e, failed, latency, trial)
		s.drain(carrier)
	})
}

func (s *simulation) sicken(carrier int, latency time.Duration, failed bool) (time.Duration, bool) {
	if !s.fault.active(s.now.Sub(s.onset)) {
		return latency, failed
	}
	if s.fault.zone != "" {
		if s.all[carrier].Zone == s.fault.zone {
			return deadline, true
		}
		return latency, failed
	}
	return time.Duration(float64(latency) * s.fault.slow), failed || s.random.Float64() < s.fault.failing
}

// start makes an endpoint sick from now on.
func (s *simulation) start(f fault, endpoint int) {
	s.fault, s.sick, s.onset = f, endpoint, s.now
}

// concerned returns the carriers that send requests to the sick endpoint and meet the fault.
func (s *simulation) concerned() []int {
	var all []int
	for c := range s.all {
		if s.limits[c][s.sick] > 0 && (s.fault.zone == "" || s.all[c].Zone == s.fault.zone) {
			all = append(all, c)
		}
	}
	return all
}
