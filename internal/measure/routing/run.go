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

// The service that is measured: the stock lookups of a firm of today's size.
const (
	endpointCount   = 10
	endpointSlots   = 4
	meanRun         = 20 * time.Millisecond
	requestDeadline = 500 * time.Millisecond
	networkDelay    = 500 * time.Microsecond // One way.
	idempotentShare = 0.8
	accountCount    = 5
	warmUp          = 5 * time.Second
	measured        = 20 * time.Second
)

// A latency histogram in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// variant is one way of routing.
type variant struct {
	name   string
	config func() routing.Config
	limit  int // Concurrency limit of each endpoint; zero for the instance's share of the slots.
}

// scenario is what the service undergoes.
type scenario struct {
	load     float64 // Offered work over the service's slots.
	slowdown float64 // Of the first endpoint.
	failures float64 // Share of requests that fail, on every endpoint.
	carriers int     // Instances that carry the service.
	maxWait  int     // Requests that wait at an endpoint.
}

// figures are the results of one run.
type figures struct {
	goodput float64 // Requests answered in time per second, over what the slots can run.
	p50     time.Duration
	p99     time.Duration
	shed    float64 // Share of requests not taken.
	sent    float64 // Attempts sent per request taken.
}

// attemptKey names one attempt.
type attemptKey struct {
	id     uint64
	number int
}

// bench is one run.
type bench struct {
	eventQueue
	random    *rand.Rand
	carriers  []*carrier
	upstreams map[fleet.Endpoint]*upstream
	jobs      map[attemptKey]*job
	endpoints map[attemptKey]fleet.Endpoint
	submitted map[uint64]time.Time
	results   map[attemptKey]routing.AttemptResult
	nextID    uint64
	interval  time.Duration // Mean time between two requests.

	latencies                        *hdrhistogram.Histogram
	offered, taken, sent, good, shed int
}

// carrier is one instance with its balancer.
type carrier struct {
	balancer *routing.Balancer
	wakeAt   time.Time
}

// run measures one variant in one scenario.
func run(v variant, s scenario, seed uint64) figures {
	b := newBench(v, s, seed)
	b.now = start
	b.arrivals()
	b.runUntil(start.Add(warmUp))
	b.offered, b.taken, b.sent, b.good, b.shed = 0, 0, 0, 0, 0
	b.latencies.Reset()
	b.runUntil(start.Add(warmUp + measured))
	capacity := float64(endpointCount*endpointSlots) / meanRun.Seconds()
	return figures{
		goodput: float64(b.good) / measured.Seconds() / capacity,
		p50:     time.Duration(b.latencies.ValueAtQuantile(50)) * time.Microsecond,
		p99:     time.Duration(b.latencies.ValueAtQuantile(99)) * time.Microsecond,
		shed:    float64(b.shed) / float64(max(b.offered, 1)),
		sent:    float64(b.sent) / float64(max(b.taken, 1)),
	}
}

func newBench(v variant, s scenario, seed uint64) *bench {
	rate := s.load * float64(endpointCount*endpointSlots) / meanRun.Seconds()
	b := &bench{
		random:    rand.New(rand.NewPCG(seed, 1)),
		upstreams: make(map[fleet.Endpoint]*upstream),
		jobs:      make(map[attemptKey]*job),
		endpoints: make(map[attemptKey]fleet.Endpoint),
		submitted: make(map[uint64]time.Time),
		results:   make(map[attemptKey]routing.AttemptResult),
		interval:  time.Duration(float64(time.Second) / rate),
		latencies: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
	var listed []fleet.Upstream
	for i := range endpointCount {
		endpoint := fleet.Endpoint(fmt.Sprintf("192.0.2.%d:80", i+1))
		mean := meanRun
		if i == 0 {
			mean = time.Duration(float64(meanRun) * s.slowdown)
		}
		b.upstreams[endpoint] = &upstream{
			queue:    &b.eventQueue,
			random:   b.random,
			slots:    endpointSlots,
			maxWait:  s.maxWait,
			mean:     mean,
			failures: s.failures,
		}
		listed = append(listed, fleet.Upstream{Endpoint: endpoint, Slots: endpointSlots})
	}
	b.addCarriers(v, s.carriers, listed, seed)
	return b
}

// addCarriers starts the balancers, each with its share of the slots.
func (b *bench) addCarriers(v variant, count int, listed []fleet.Upstream, seed uint64) {
	instances := make([]fleet.Instance, count)
	for i := range instances {
		ref := fleet.Ref{ID: fleet.InstanceID(fmt.Sprint("instance-", i)), Incarnation: 1}
		instances[i] = fleet.Instance{Ref: ref}
	}
	for i, instance := range instances {
		random := rand.New(rand.NewPCG(seed, uint64(2+i)))
		c := &carrier{balancer: routing.NewBalancer(v.config(), random)}
		b.carriers = append(b.carriers, c)
		var targets []routing.Target
		for j, limit := range endpoints.Limits(listed, instances, instance.Ref) {
			if v.limit > 0 {
				limit = v.limit
			}
			if limit > 0 {
				targets = append(targets, routing.Target{Upstream: listed[j], Limit: limit})
			}
		}
		b.apply(c, c.balancer.SetTargets(start, targets))
	}
}

// carrierOf returns the instance that a request came to.
func (b *bench) carrierOf(id uint64) *carrier {
	return b.carriers[id%uint64(len(b.carriers))]
}

// arrivals submits requests with exponentially distributed intervals.
func (b *bench) arrivals() {
	b.after(time.Duration(b.random.ExpFloat64()*float64(b.interval)), func() {
		b.submit()
		b.arrivals()
	})
}

func (b *bench) submit() {
	b.nextID++
	b.offered++
	b.submitted[b.nextID] = b.now
	c := b.carrierOf(b.nextID)
	b.apply(c, c.balancer.Submit(b.now, routing.Request{
		ID:         b.nextID,
		Account:    fleet.Account(fmt.Sprint("account-", b.random.IntN(accountCount))),
		Idempotent: b.random.Float64() < idempotentShare,
		Deadline:   b.now.Add(requestDeadline),
	}))
}

// apply carries out effects and sets the wake.
func (b *bench) apply(c *carrier, effects []routing.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case routing.Dispatch:
			b.dispatch(e)
		case routing.CancelAttempt:
			b.cancel(attemptKey{e.ID, e.Attempt})
		case routing.Deliver:
			b.deliver(e)
		case routing.Reject:
			b.shed++
			delete(b.submitted, e.ID)
		}
	}
	b.setWake(c)
}

func (b *bench) setWake(c *carrier) {
	at, ok := c.balancer.NextWake(b.now)
	if !ok || (c.wakeAt.After(b.now) && !at.Before(c.wakeAt)) {
		return
	}
	c.wakeAt = at
	b.at(at, func() {
		if c.wakeAt.Equal(at) {
			c.wakeAt = time.Time{}
			b.apply(c, c.balancer.Tick(b.now))
		}
	})
}

func (b *bench) dispatch(d routing.Dispatch) {
	b.sent++
	if d.Attempt == 1 {
		b.taken++
	}
	key := attemptKey{d.ID, d.Attempt}
	sentAt := b.now
	j := &job{attempt: key}
	j.done = func(result routing.AttemptResult) {
		b.after(networkDelay, func() { b.finish(key, result, sentAt) })
	}
	b.jobs[key] = j
	b.endpoints[key] = d.Endpoint
	b.after(networkDelay, func() { b.upstreams[d.Endpoint].arrive(j) })
}

func (b *bench) cancel(key attemptKey) {
	j := b.jobs[key]
	b.after(networkDelay, func() { b.upstreams[b.endpointOf(key)].cancel(j) })
}

func (b *bench) endpointOf(key attemptKey) fleet.Endpoint {
	if endpoint, ok := b.endpoints[key]; ok {
		return endpoint
	}
	return "192.0.2.1:80" // The attempt has ended; cancelling it does nothing.
}

func (b *bench) finish(key attemptKey, result routing.AttemptResult, sentAt time.Time) {
	endpoint := b.endpoints[key]
	delete(b.jobs, key)
	delete(b.endpoints, key)
	b.results[key] = result
	c := b.carrierOf(key.id)
	c.balancer.SetLoad(b.now, endpoint, b.upstreams[endpoint].load())
	b.apply(c, c.balancer.Finish(b.now, key.id, key.number, result, b.now.Sub(sentAt)))
	delete(b.results, key)
}

func (b *bench) deliver(d routing.Deliver) {
	submitted := b.submitted[d.ID]
	delete(b.submitted, d.ID)
	latency := b.now.Sub(submitted)
	if b.results[attemptKey{d.ID, d.Attempt}] != routing.AttemptSucceeded || latency > requestDeadline {
		return
	}
	b.good++
	_ = b.latencies.RecordValue(latency.Microseconds())
}
