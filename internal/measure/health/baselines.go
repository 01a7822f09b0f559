package main

import (
	"math"
	"time"

	"github.com/damaskcove/damaskcove/coord/health"
)

// slowFailureFactor is the factor over the healthy median latency from which the baselines count a
// request as failed. Without it they could not detect slowness. Baselines decide at each instance
// on its own.
const slowFailureFactor = 5.0

// baselineEjection is the duration of each ejection by a baseline: that of a first ejection, without
// growth for repeated ones.
const baselineEjection = 30 * time.Second

// localPolicy is the common part of the baselines: ejections per carrier and endpoint.
type localPolicy struct {
	ejectedUntil  [][]time.Time // By carrier and endpoint.
	ejectionCount int
	slowLatency   time.Duration // Requests this slow count as failed.
}

func newLocalPolicy(w workload, carriers int) localPolicy {
	p := localPolicy{slowLatency: time.Duration(slowFailureFactor * float64(w.latency))}
	for range carriers {
		p.ejectedUntil = append(p.ejectedUntil, make([]time.Time, w.endpoints))
	}
	return p
}

func (p *localPolicy) eject(now time.Time, carrier, endpoint int) {
	p.ejectedUntil[carrier][endpoint] = now.Add(baselineEjection)
	p.ejectionCount++
}

func (p *localPolicy) state(now time.Time, carrier, endpoint int) health.State {
	if now.Before(p.ejectedUntil[carrier][endpoint]) {
		return health.StateEjected
	}
	return health.StateInService
}

func (p *localPolicy) tick(time.Time, int)        {}
func (p *localPolicy) deliver(time.Time, message) {}
func (p *localPolicy) ejections() int             { return p.ejectionCount }
func (p *localPolicy) outbox() []message          { return nil }

// consecutive ejects after a number of failures in a row.
type consecutive struct {
	localPolicy
	limit  int
	streak [][]int // Consecutive failures, by carrier and endpoint.
}

func newConsecutive(w workload, carriers, limit int) *consecutive {
	c := &consecutive{localPolicy: newLocalPolicy(w, carriers), limit: limit}
	for range carriers {
		c.streak = append(c.streak, make([]int, w.endpoints))
	}
	return c
}

func (c *consecutive) observe(now time.Time, carrier, endpoint int, failed bool, latency time.Duration, _ bool) {
	streak := &c.streak[carrier][endpoint]
	if !failed && latency < c.slowLatency {
		*streak = 0
		return
	}
	*streak++
	if *streak >= c.limit {
		*streak = 0
		c.eject(now, carrier, endpoint)
	}
}

// outlier ejects the endpoints whose success rate over an interval is a number of standard
// deviations below the mean of the endpoints.
type outlier struct {
	localPolicy
	deviations     float64
	nextEvaluation []time.Time
	requests       [][]float64
	successes      [][]float64
}

// Parameters of the success-rate outlier.
const (
	outlierInterval     = 10 * time.Second
	outlierMinRequests  = 5 // Minimum requests of an endpoint in an interval.
	outlierMinEndpoints = 5 // Minimum endpoints with that many requests.
)

func newOutlier(w workload, carriers int, deviations float64) *outlier {
	o := &outlier{localPolicy: newLocalPolicy(w, carriers), deviations: deviations, nextEvaluation: make([]time.Time, carriers)}
	for range carriers {
		o.requests = append(o.requests, make([]float64, w.endpoints))
		o.successes = append(o.successes, make([]float64, w.endpoints))
	}
	return o
}

func (o *outlier) observe(_ time.Time, carrier, endpoint int, failed bool, latency time.Duration, _ bool) {
	o.requests[carrier][endpoint]++
	if !failed && latency < o.slowLatency {
		o.successes[carrier][endpoint]++
	}
}

func (o *outlier) tick(now time.Time, carrier int) {
	if now.Before(o.nextEvaluation[carrier]) {
		return
	}
	o.nextEvaluation[carrier] = now.Add(outlierInterval)
	o.evaluate(now, carrier)
	clear(o.requests[carrier])
	clear(o.successes[carrier])
}

func (o *outlier) evaluate(now time.Time, carrier int) {
	var eligible []int
	var sum, squares float64
	for e, n := range o.requests[carrier] {
		if n < outlierMinRequests {
			continue
		}
		rate := o.successes[carrier][e] / n
		eligible = append(eligible, e)
		sum += rate
		squares += rate * rate
	}
	n := float64(len(eligible))
	if n < outlierMinEndpoints {
		return
	}
	mean := sum / n
	sigma := math.Sqrt(max(squares/n-mean*mean, 0))
	for _, e := range eligible {
		if rate := o.successes[carrier][e] / o.requests[carrier][e]; rate < mean-o.deviations*sigma {
			o.eject(now, carrier, e)
		}
	}
}
