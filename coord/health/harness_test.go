package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// behaviour is how an endpoint answers the requests of a zone.
type behaviour struct {
	failing float64 // Share of requests.
	slow    float64 // Factor on latency.
}

// harness connects an evaluator with several carriers that observe simulated traffic.
type harness struct {
	random    *rand.Rand
	now       time.Time
	evaluator *Evaluator
	carriers  []*Carrier
	upstreams []fleet.Upstream
	rate      float64 // Requests per second and endpoint.
	behave    func(endpoint int, zone fleet.Zone) behaviour
	tamper    func(carrier int, e *Evidence)
}

func newHarness(seed uint64, endpoints, carriers, floor int, rate float64) *harness {
	h := &harness{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1_000_000, 0),
		rate:   rate,
		behave: func(int, fleet.Zone) behaviour { return healthy },
		tamper: func(int, *Evidence) {},
	}
	var all []fleet.Instance
	for i := range carriers {
		all = append(all, fleet.Instance{
			Ref:  fleet.Ref{ID: fleet.InstanceID(fmt.Sprintf("i%02d", i)), Incarnation: 1},
			Zone: fleet.Zone([]string{"a", "b", "c"}[i%3]),
		})
	}
	for i := range endpoints {
		h.upstreams = append(h.upstreams, fleet.Upstream{Endpoint: endpointName(i), Slots: 3, State: fleet.UpstreamReady})
	}
	p := Parameters{Service: "s", Revision: 1, FloorSlots: floor, FalseEjectionsPerEndpointMonth: 0.001, ExpectedRequestsPerSecond: rate * float64(endpoints)}
	a := Assignment{Generation: 1, Evaluator: all[0].Ref, Carriers: all}
	h.evaluator = NewEvaluator(all[0], DefaultConfig())
	h.evaluator.Configure(h.now, p, a, h.upstreams)
	for _, self := range all {
		c := NewCarrier(self, DefaultConfig())
		c.Configure(h.now, p, a, h.upstreams)
		h.carriers = append(h.carriers, c)
	}
	return h
}

var healthy = behaviour{failing: 0.002, slow: 1}

func endpointName(i int) fleet.Endpoint {
	return fleet.Endpoint(fmt.Sprintf("10.0.0.%d:80", i))
}

// run advances time in steps, until done returns true or d is over, and returns the time that passed.
func (h *harness) run(d time.Duration, done func() bool) time.Duration {
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += step {
		h.now = h.now.Add(step)
		for i, c := range h.carriers {
			h.traffic(c, step)
			h.exchange(i, c)
		}
		h.evaluator.Tick(h.now)
		if done != nil && done() {
			return passed + step
		}
	}
	return d
}

func (h *harness) traffic(c *Carrier, step time.Duration) {
	for i, v := range c.View(h.now) {
		mean := h.rate * step.Seconds() / float64(len(h.carriers))
		if v.State == StateEjected || v.State == StateAvoided {
			continue
		}
		for h.random.Float64() < mean {
			mean-- // Rarely more than one request per step: the tests use low rates.
			how := h.behave(i, c.self.Zone)
			latency := 40 * math.Exp(0.5*h.random.NormFloat64()) * how.slow
			c.Observe(h.now, Attempt{
				Endpoint: v.Endpoint,
				Failed:   h.random.Float64() < how.failing,
				Latency:  time.Duration(latency * float64(time.Millisecond)),
				Trial:    v.State == StateTrial,
			})
		}
	}
}

func (h *harness) exchange(i int, c *Carrier) {
	for _, s := range c.Tick(h.now) {
		h.tamper(i, s.Evidence)
		sends, err := h.evaluator.Deliver(h.now, c.self.Ref, s.Evidence)
		if err != nil {
			continue
		}
		_ = c.Deliver(h.now, h.evaluator.self.Ref, sends[0].Decision)
	}
}

// outCount returns how many carriers have an endpoint out of service.
func (h *harness) outCount(endpoint int) int {
	count := 0
	for _, c := range h.carriers {
		if isRemoved(c.View(h.now)[endpoint].State) {
			count++
		}
	}
	return count
}

// anyOutExcept reports whether any carrier has an endpoint other than except out of service.
func (h *harness) anyOutExcept(except int) bool {
	for i := range h.upstreams {
		if i != except && h.outCount(i) > 0 {
			return true
		}
	}
	return false
}
