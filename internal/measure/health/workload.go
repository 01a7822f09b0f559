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
	name      string
	service   fleet.Service
	endpoints int
	slots     int     // Of each endpoint.
	floor     float64 // Part of the slots that must remain.
	latency   time.Duration
	load      float64 // Part of the slots in use.
	accepted  float64 // False ejections per endpoint-month.
	expected  float64 // Requests per second by day, as in the template.
}

// Made traffic: the median latency of a healthy request has a lognormal spread, some
// requests are far slower, and few fail.
const (
	logSigma       = 0.5
	tailPart       = 0.01 // Of the requests.
	tailFactor     = 5.0
	healthyFailing = 0.002
	stallEvery     = 10 * time.Minute // Mean time between two stalls of a healthy endpoint.
	stallFor       = 300 * time.Millisecond
	nightPart      = 0.02 // Of the daytime load.
	instances      = 36
	carriers       = 12
	deadline       = 2 * time.Second
)

func meanLatency(median time.Duration) time.Duration {
	body := math.Exp(logSigma * logSigma / 2)
	return time.Duration(float64(median) * body * (1 + tailPart*(tailFactor-1)))
}

// rate returns the requests per second of the service: slots in use over the mean latency.
func (w workload) rate() float64 {
	return float64(w.endpoints*w.slots) * w.load / meanLatency(w.latency).Seconds()
}

func (w workload) night() workload {
	w.name += ", night"
	w.expected = w.rate()
	w.load *= nightPart
	return w
}

func (w workload) day() workload {
	w.name += ", day"
	w.expected = w.rate()
	return w
}

// Accepted false ejections per endpoint-month: Bunya Ridge weighs them more, Qalqan detection time.
const (
	acceptedBunya  = 0.001
	acceptedQalqan = 0.01
)

var services = []workload{
	{name: "Qalqan catalogue", service: "catalogue", endpoints: 7, slots: 3, floor: 0.6, latency: 40 * time.Millisecond, load: 0.4, accepted: acceptedQalqan},
	{name: "Qalqan cutting", service: "cutting", endpoints: 15, slots: 3, floor: 0.6, latency: 120 * time.Millisecond, load: 0.3, accepted: acceptedQalqan},
	{name: "Qalqan scheduling", service: "scheduling", endpoints: 6, slots: 3, floor: 0.6, latency: 100 * time.Millisecond, load: 0.3, accepted: acceptedQalqan},
	{name: "Bunya stock", service: "stock", endpoints: 10, slots: 4, floor: 0.6, latency: 40 * time.Millisecond, load: 0.25, accepted: acceptedBunya},
	{name: "Bunya drums", service: "drums", endpoints: 20, slots: 4, floor: 0.6, latency: 150 * time.Millisecond, load: 0.1, accepted: acceptedBunya},
	{name: "Bunya pickup", service: "pickup", endpoints: 6, slots: 4, floor: 0.6, latency: 150 * time.Millisecond, load: 0.1, accepted: acceptedBunya},
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

// healthyLatency draws the latency of a healthy request.
func (w workload) healthyLatency(random *rand.Rand) time.Duration {
	latency := float64(w.latency) * math.Exp(logSigma*random.NormFloat64())
	if random.Float64() < tailPart {
		latency *= tailFactor
	}
	return time.Duration(latency)
}

// fault is a gray fault of one endpoint.
type fault struct {
	name    string
	failing float64
	slow    float64
	period  time.Duration // Of flapping: sick in the first half of each period.
	zone    fleet.Zone    // Only requests from this zone are lost; they end at their deadline.
}

var faults = []fault{
	{name: "slow 3x", slow: 3},
	{name: "slow 10x", slow: 10},
	{name: "failing 10%", slow: 1, failing: 0.1},
	{name: "failing 30%", slow: 1, failing: 0.3},
	{name: "failing 100%", slow: 1, failing: 1},
	{name: "flapping 1 s", slow: 1, failing: 1, period: time.Second},
	{name: "flapping 10 s", slow: 1, failing: 1, period: 10 * time.Second},
	{name: "flapping 60 s", slow: 1, failing: 1, period: time.Minute},
	{name: "dead from one zone", slow: 1, zone: "b"},
}

// active reports whether the fault shows some time after its onset.
func (f fault) active(since time.Duration) bool {
	return f.period == 0 || since%f.period < f.period/2
}
