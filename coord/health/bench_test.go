package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// behaviour is how an endpoint treats the requests of a zone.
type behaviour struct {
	failing float64
	slow    float64 // Factor on latency.
}

// bench feeds a judge with the evidence of several carriers about made traffic.
type bench struct {
	random    *rand.Rand
	now       time.Time
	judge     *Judge
	carriers  []*Carrier
	upstreams []fleet.Upstream
	rate      float64 // Requests per second and endpoint.
	behave    func(endpoint int, zone fleet.Zone) behaviour
	tamper    func(carrier int, e *Evidence)
}

func newBench(seed uint64, endpoints, carriers, floor int, rate float64) *bench {
	b := &bench{
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
		b.upstreams = append(b.upstreams, fleet.Upstream{Endpoint: endpointName(i), Slots: 3, State: fleet.UpstreamReady})
	}
	p := Parameters{Service: "s", Revision: 1, FloorSlots: floor, FalseEjectionsPerEndpointMonth: 0.001, ExpectedRequestsPerSecond: rate * float64(endpoints)}
	a := Assignment{Generation: 1, Judge: all[0].Ref, Carriers: all}
	b.judge = NewJudge(all[0], DefaultConfig())
	b.judge.Configure(b.now, p, a, b.upstreams)
	for _, self := range all {
		c := NewCarrier(self, DefaultConfig())
		c.Configure(b.now, p, a, b.upstreams)
		b.carriers = append(b.carriers, c)
	}
	return b
}

var healthy = behaviour{failing: 0.002, slow: 1}

func endpointName(i int) fleet.Endpoint {
	return fleet.Endpoint(fmt.Sprintf("10.0.0.%d:80", i))
}

// run lets time pass in steps, until done says so or d is over, and returns the time that passed.
func (b *bench) run(d time.Duration, done func() bool) time.Duration {
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += step {
		b.now = b.now.Add(step)
		for i, c := range b.carriers {
			b.traffic(c, step)
			b.exchange(i, c)
		}
		b.judge.Tick(b.now)
		if done != nil && done() {
			return passed + step
		}
	}
	return d
}

func (b *bench) traffic(c *Carrier, step time.Duration) {
	for i, v := range c.View(b.now) {
		mean := b.rate * step.Seconds() / float64(len(b.carriers))
		if v.State == StateEjected || v.State == StateAvoided {
			continue
		}
		for b.random.Float64() < mean {
			mean-- // At most one request; rates of the tests are small.
			how := b.behave(i, c.self.Zone)
			latency := 40 * math.Exp(0.5*b.random.NormFloat64()) * how.slow
			c.Observe(b.now, Attempt{
				Endpoint: v.Endpoint,
				Failed:   b.random.Float64() < how.failing,
				Latency:  time.Duration(latency * float64(time.Millisecond)),
				Trial:    v.State == StateTrial,
			})
		}
	}
}

func (b *bench) exchange(i int, c *Carrier) {
	for _, s := range c.Tick(b.now) {
		b.tamper(i, s.Evidence)
		sends, err := b.judge.Deliver(b.now, c.self.Ref, s.Evidence)
		if err != nil {
			continue
		}
		_ = c.Deliver(b.now, b.judge.self.Ref, sends[0].Verdict)
	}
}

// out returns how many carriers have an endpoint out of service.
func (b *bench) out(endpoint int) int {
	count := 0
	for _, c := range b.carriers {
		if removes(c.View(b.now)[endpoint].State) {
			count++
		}
	}
	return count
}

// anyOut reports whether any carrier has any endpoint but the excepted out of service.
func (b *bench) anyOut(except int) bool {
	for i := range b.upstreams {
		if i != except && b.out(i) > 0 {
			return true
		}
	}
	return false
}
