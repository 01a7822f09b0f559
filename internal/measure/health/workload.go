package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// workload is one service of a firm at one time of day.
type workload struct {
	name         string
	service      fleet.Service
	endpoints    int
	slots        int           // Of each endpoint.
	floor        float64       // Fraction of the slots that must stay in service.
	latency      time.Duration // Median of healthy requests.
	load         float64       // Fraction of the slots in use.
	acceptedRate float64       // Accepted false ejections per endpoint-month.
	expectedRate float64       // Requests per second by day, as in the template.
}

// Parameters of the synthetic traffic. The latency of healthy requests is lognormally distributed
// around the median, some requests are far slower, and few fail.
const (
	logSigma          = 0.5
	tailShare         = 0.01             // Fraction of slow requests.
	tailFactor        = 5.0              // Their latency over that of the others.
	healthyFailRate   = 0.002            // Fraction of healthy requests that fail.
	meanStallInterval = 10 * time.Minute // Mean time between two stalls of a healthy endpoint.
	stallDuration     = 300 * time.Millisecond
	nightLoadShare    = 0.02 // Fraction of the daytime load.
	instances         = 36
	carriers          = 12
	deadline          = 2 * time.Second
)

func meanLatency(median time.Duration) time.Duration {
	body := math.Exp(logSigma * logSigma / 2)
	return time.Duration(float64(median) * body * (1 + tailShare*(tailFactor-1)))
}

// rate returns the requests per second of the service: slots in use over the mean latency.
func (w workload) rate() float64 {
	return float64(w.endpoints*w.slots) * w.load / meanLatency(w.latency).Seconds()
}

// night returns the workload by night. Its expected rate stays that of the day.
func (w workload) night() workload {
	w.name += ", night"
	w.expectedRate = w.rate()
	w.load *= nightLoadShare
	return w
}

func (w workload) day() workload {
	w.name += ", day"
	w.expectedRate = w.rate()
	return w
}

// Accepted false ejections per endpoint-month. Bunya Ridge gives priority to few false ejections,
// Qalqan to a short detection time.
const (
	acceptedBunya  = 0.001
	acceptedQalqan = 0.01
)

var services = []workload{
	{name: "Qalqan catalogue", service: "catalogue", endpoints: 7, slots: 3, floor: 0.6, latency: 40 * time.Millisecond, load: 0.4, acceptedRate: acceptedQalqan},
	{name: "Qalqan cutting", service: "cutting", endpoints: 15, slots: 3, floor: 0.6, latency: 120 * time.Millisecond, load: 0.3, acceptedRate: acceptedQalqan},
	{name: "Qalqan scheduling", service: "scheduling", endpoints: 6, slots: 3, floor: 0.6, latency: 100 * time.Millisecond, load: 0.3, acceptedRate: acceptedQalqan},
	{name: "Bunya stock", service: "stock", endpoints: 10, slots: 4, floor: 0.6, latency: 40 * time.Millisecond, load: 0.25, acceptedRate: acceptedBunya},
	{name: "Bunya drums", service: "drums", endpoints: 20, slots: 4, floor: 0.6, latency: 150 * time.Millisecond, load: 0.1, acceptedRate: acceptedBunya},
	{name: "Bunya pickup", service: "pickup", endpoints: 6, slots: 4, floor: 0.6, latency: 150 * time.Millisecond, load: 0.1, acceptedRate: acceptedBunya},
}

var zones = []fleet.Zone{"a", "b", "c"}

func (w workload) upstreams() []fleet.Upstream {
	var all []fleet.Upstream
	for i := range w.endpoints {
		all = append(all, fleet.Upstream{
			Endpoint: fleet.Endpoint(fmt.Sprintf("10.0.0.%d:80", 10+i)),
			Zone:     zones[i%len(zones)],
			Slots:    w.slots,
			State:    fleet.UpstreamReady,
		})
	}
	return all
}

func fleetOf(count int) []fleet.Instance {
	var all []fleet.Instance
	for i := range count {
		all = append(all, fleet.Instance{
			Ref:  fleet.Ref{ID: fleet.InstanceID(fmt.Sprintf("i%02d", i)), Incarnation: 1},
			Zone: zones[i%len(zones)],
		})
	}
	return all
}

// healthyLatency returns a random latency of a healthy request.
func (w workload) healthyLatency(random *rand.Rand) time.Duration {
	latency := float64(w.latency) * math.Exp(logSigma*random.NormFloat64())
	if random.Float64() < tailShare {
		latency *= tailFactor
	}
	return time.Duration(latency)
}

// fault is a gray fault of one endpoint.
type fault struct {
	name     string
	failRate float64       // Fraction of requests that fail.
	slowdown float64       // Factor on the latency.
	period   time.Duration // Of flapping: the fault is active in the first half of each period.
	zone     fleet.Zone    // If set, only requests from this zone are affected: they time out.
}

var faults = []fault{
	{name: "slow 3x", slowdown: 3},
	{name: "slow 10x", slowdown: 10},
	{name: "failing 10%", slowdown: 1, failRate: 0.1},
	{name: "failing 30%", slowdown: 1, failRate: 0.3},
	{name: "failing 100%", slowdown: 1, failRate: 1},
	{name: "flapping 1 s", slowdown: 1, failRate: 1, period: time.Second},
	{name: "flapping 10 s", slowdown: 1, failRate: 1, period: 10 * time.Second},
	{name: "flapping 60 s", slowdown: 1, failRate: 1, period: time.Minute},
	{name: "dead from one zone", slowdown: 1, zone: "b"},
}

// active reports whether the fault is active at a time since its onset.
func (f fault) active(since time.Duration) bool {
	return f.period == 0 || since%f.period < f.period/2
}
