package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/endpoints"
)

// The measured service: the stock lookups of a firm of the present size.
const (
	endpointCount   = 10
	endpointSlots   = 4
	meanServiceTime = 20 * time.Millisecond // Of a request at a healthy endpoint.
	requestDeadline = 500 * time.Millisecond
	networkDelay    = 500 * time.Microsecond // One way.
	idempotentShare = 0.8
	accountCount    = 5
	warmUpDuration  = 5 * time.Second
	measureDuration = 20 * time.Second
)

// Range (in microseconds) and precision of the latency histogram.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// variant is one configuration of the balancer.
type variant struct {
	name   string
	config func() routing.Config
	limit  int // Concurrency limit of each endpoint; zero for the instance's share of the slots.
}

// scenario holds the load on the service and its faults.
type scenario struct {
	load     float64 // Offered load as a fraction of the capacity of all slots.
	slowdown float64 // Factor on the service time of the first endpoint.
	failures float64 // Fraction of requests that fail, on every endpoint.
	carriers int     // Instances that carry the service.
	maxQueue int     // Maximum queue length at an endpoint.
}

// results holds the figures of one run.
type results struct {
	goodput float64 // Requests answered in time, as a fraction of the capacity of all slots.
	p50     time.Duration
	p99     time.Duration
	shed    float64 // Fraction of requests that the balancer rejected.
	sent    float64 // Attempts sent per admitted request.
}

// attemptKey identifies one attempt.
type attemptKey struct {
	id     uint64
	number int
}

// simulation is one run in virtual time.
type simulation struct {
	eventQueue
	random         *rand.Rand
	carriers       []*carrier
	upstreams      map[fleet.Endpoint]*upstream
	jobs           map[attemptKey]*job
	endpoints      map[attemptKey]fleet.Endpoint
	submitted      map[uint64]time.Time
	attemptResults map[attemptKey]routing.AttemptResult
	nextID         uint64
	interval       time.Duration // Mean time between two requests.

	latencies                             *hdrhistogram.Histogram
	offered, admitted, sent, inTime, shed int
}

// carrier is one instance with its balancer.
type carrier struct {
	balancer *routing.Balancer
	wakeAt   time.Time
}

// run measures one variant in one scenario.
func run(v variant, sc scenario, seed uint64) results {
	s := newSimulation(v, sc, seed)
	s.now = start
	s.arrivals()
	s.runUntil(start.Add(warmUpDuration))
	s.offered, s.admitted, s.sent, s.inTime, s.shed = 0, 0, 0, 0, 0
	s.latencies.Reset()
	s.runUntil(start.Add(warmUpDuration + measureDuration))
	capacity := float64(endpointCount*endpointSlots) / meanServiceTime.Seconds()
	return results{
		goodput: float64(s.inTime) / measureDuration.Seconds() / capacity,
		p50:     time.Duration(s.latencies.ValueAtQuantile(50)) * time.Microsecond,
		p99:     time.Duration(s.latencies.ValueAtQuantile(99)) * time.Microsecond,
		shed:    float64(s.shed) / float64(max(s.offered, 1)),
		sent:    float64(s.sent) / float64(max(s.admitted, 1)),
	}
}

func newSimulation(v variant, sc scenario, seed uint64) *simulation {
	rate := sc.load * float64(endpointCount*endpointSlots) / meanServiceTime.Seconds()
	s := &simulation{
		random:         rand.New(rand.NewPCG(seed, 1)),
		upstreams:      make(map[fleet.Endpoint]*upstream),
		jobs:           make(map[attemptKey]*job),
		endpoints:      make(map[attemptKey]fleet.Endpoint),
		submitted:      make(map[uint64]time.Time),
		attemptResults: make(map[attemptKey]routing.AttemptResult),
		interval:       time.Duration(float64(time.Second) / rate),
		latencies:      hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
	var listed []fleet.Upstream
	for i := range endpointCount {
		endpoint := fleet.Endpoint(fmt.Sprintf("192.0.2.%d:80", i+1))
		mean := meanServiceTime
		if i == 0 {
			mean = time.Duration(float64(meanServiceTime) * sc.slowdown)
		}
		s.upstreams[endpoint] = &upstream{
			events:   &s.eventQueue,
			random:   s.random,
			slots:    endpointSlots,
			maxQueue: sc.maxQueue,
			mean:     mean,
			failures: sc.failures,
		}
		listed = append(listed, fleet.Upstream{Endpoint: endpoint, Slots: endpointSlots})
	}
	s.addCarriers(v, sc.carriers, listed, seed)
	return s
}

// addCarriers creates the balancers, each with its share of the slots.
func (s *simulation) addCarriers(v variant, count int, listed []fleet.Upstream, seed uint64) {
	instances := make([]fleet.Instance, count)
	for i := range instances {
		ref := fleet.Ref{ID: fleet.InstanceID(fmt.Sprint("instance-", i)), Incarnation: 1}
		instances[i] = fleet.Instance{Ref: ref}
	}
	for i, instance := range instances {
		random := rand.New(rand.NewPCG(seed, uint64(2+i)))
		c := &carrier{balancer: routing.NewBalancer(v.config(), random)}
		s.carriers = append(s.carriers, c)
		var targets []routing.Target
		for j, limit := range endpoints.Limits(listed, instances, instance.Ref) {
			if v.limit > 0 {
				limit = v.limit
			}
			if limit > 0 {
				targets = append(targets, routing.Target{Upstream: listed[j], Limit: limit})
			}
		}
		s.apply(c, c.balancer.SetTargets(start, targets))
	}
}

// carrierOf returns the instance that handles a request.
func (s *simulation) carrierOf(id uint64) *carrier {
	return s.carriers[id%uint64(len(s.carriers))]
}

// arrivals schedules requests with exponentially distributed intervals.
func (s *simulation) arrivals() {
	s.after(time.Duration(s.random.ExpFloat64()*float64(s.interval)), func() {
		s.submit()
		s.arrivals()
	})
}

func (s *simulation) submit() {
	s.nextID++
	s.offered++
	s.submitted[s.nextID] = s.now
	c := s.carrierOf(s.nextID)
	s.apply(c, c.balancer.Submit(s.now, routing.Request{
		ID:         s.nextID,
		Account:    fleet.Account(fmt.Sprint("account-", s.random.IntN(accountCount))),
		Idempotent: s.random.Float64() < idempotentShare,
		Deadline:   s.now.Add(requestDeadline),
	}))
}

// apply executes effects and schedules the next tick of the balancer.
func (s *simulation) apply(c *carrier, effects []routing.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case routing.Dispatch:
			s.dispatch(e)
		case routing.CancelAttempt:
			s.cancel(attemptKey{e.ID, e.Attempt})
		case routing.Deliver:
			s.deliver(e)
		case routing.Reject:
			s.shed++
			delete(s.submitted, e.ID)
		}
	}
	s.setWake(c)
}

func (s *simulation) setWake(c *carrier) {
	at, ok := c.balancer.NextWake(s.now)
	if !ok || (c.wakeAt.After(s.now) && !at.Before(c.wakeAt)) {
		return
	}
	c.wakeAt = at
	s.at(at, func() {
		if c.wakeAt.Equal(at) {
			c.wakeAt = time.Time{}
			s.apply(c, c.balancer.Tick(s.now))
		}
	})
}

func (s *simulation) dispatch(d routing.Dispatch) {
	s.sent++
	if d.Attempt == 1 {
		s.admitted++
	}
	key := attemptKey{d.ID, d.Attempt}
	sentAt := s.now
	j := &job{attempt: key}
	j.done = func(result routing.AttemptResult) {
		s.after(networkDelay, func() { s.finish(key, result, sentAt) })
	}
	s.jobs[key] = j
	s.endpoints[key] = d.Endpoint
	s.after(networkDelay, func() { s.upstreams[d.Endpoint].arrive(j) })
}

func (s *simulation) cancel(key attemptKey) {
	j := s.jobs[key]
	s.after(networkDelay, func() { s.upstreams[s.endpointOf(key)].cancel(j) })
}

func (s *simulation) endpointOf(key attemptKey) fleet.Endpoint {
	if endpoint, ok := s.endpoints[key]; ok {
		return endpoint
	}
	return "192.0.2.1:80" // The attempt has ended; cancelling it does nothing.
}

func (s *simulation) finish(key attemptKey, result routing.AttemptResult, sentAt time.Time) {
	endpoint := s.endpoints[key]
	delete(s.jobs, key)
	delete(s.endpoints, key)
	s.attemptResults[key] = result
	c := s.carrierOf(key.id)
	c.balancer.SetLoad(s.now, endpoint, s.upstreams[endpoint].load())
	s.apply(c, c.balancer.Finish(s.now, key.id, key.number, result, s.now.Sub(sentAt)))
	delete(s.attemptResults, key)
}

func (s *simulation) deliver(d routing.Deliver) {
	submitted := s.submitted[d.ID]
	delete(s.submitted, d.ID)
	latency := s.now.Sub(submitted)
	if s.attemptResults[attemptKey{d.ID, d.Attempt}] != routing.AttemptSucceeded || latency > requestDeadline {
		return
	}
	s.inTime++
	_ = s.latencies.RecordValue(latency.Microseconds())
}
