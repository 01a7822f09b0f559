package main

import (
	"math"
	"time"

	"github.com/damaskcove/damaskcove/coord/health"
)

// Baselines decide at each instance alone. To give them a chance at slowness, a request
// over slowFailure times the healthy median counts as failed.
const slowFailure = 5.0

// baselineEjection is the time for which a baseline's first ejection of an endpoint lasts.
const baselineEjection = 30 * time.Second

// alone is what both baselines share: ejections per carrier and endpoint.
type alone struct {
	until   [][]time.Time
	ejected int
	slow    time.Duration
}

func newAlone(w workload, carriers int) alone {
	a := alone{slow: time.Duration(slowFailure * float64(w.latency))}
	for range carriers {
		a.until = append(a.until, make([]time.Time, w.endpoints))
	}
	return a
}

func (a *alone) eject(now time.Time, carrier, endpoint int) {
	a.until[carrier][endpoint] = now.Add(baselineEjection)
	a.ejected++
}

func (a *alone) state(now time.Time, carrier, endpoint int) health.State {
	if now.Before(a.until[carrier][endpoint]) {
		return health.StateEjected
	}
	return health.StateInService
}

func (a *alone) tick(time.Time, int)        {}
func (a *alone) deliver(time.Time, message) {}
func (a *alone) ejections() int             { return a.ejected }
func (a *alone) outbox() []message          { return nil }

// consecutive ejects after a number of failures in a row.
type consecutive struct {
	alone
	limit int
	row   [][]int
}

func newConsecutive(w workload, carriers, limit int) *consecutive {
	c := &consecutive{alone: newAlone(w, carriers), limit: limit}
	for range carriers {
		c.row = append(c.row, make([]int, w.endpoints))
	}
	return c
}

func (c *consecutive) observe(now time.Time, carrier, endpoint int, failed bool, latency time.Duration, _ bool) {
	row := &c.row[carrier][endpoint]
	if !failed && latency < c.slow {
		*row = 0
		return
	}
	*row++
	if *row >= c.limit {
		*row = 0
		c.eject(now, carrier, endpoint)
	}
}

// outlier ejects the endpoints whose success rate over an interval is a number of standard
// deviations below the mean of the endpoints.
type outlier struct {
	alone
	deviations float64
	next       []time.Time
	requests   [][]float64
	successes  [][]float64
}

// Bounds of the success-rate outlier.
const (
	outlierInterval = 10 * time.Second
	outlierRequests = 5 // Least requests of an endpoint in an interval.
	outlierHosts    = 5 // Least endpoints with that many.
)

func newOutlier(w workload, carriers int, deviations float64) *outlier {
	o := &outlier{alone: newAlone(w, carriers), deviations: deviations, next: make([]time.Time, carriers)}
	for range carriers {
		o.requests = append(o.requests, make([]float64, w.endpoints))
		o.successes = append(o.successes, make([]float64, w.endpoints))
	}
	return o
}

func (o *outlier) observe(_ time.Time, carrier, endpoint int, failed bool, latency time.Duration, _ bool) {
	o.requests[carrier][endpoint]++
	if !failed && latency < o.slow {
		o.successes[carrier][endpoint]++
	}
}

func (o *outlier) tick(now time.Time, carrier int) {
	if now.Before(o.next[carrier]) {
		return
	}
	o.next[carrier] = now.Add(outlierInterval)
	o.judge(now, carrier)
	clear(o.requests[carrier])
	clear(o.successes[carrier])
}

func (o *outlier) judge(now time.Time, carrier int) {
	var hosts []int
	var sum, squares float64
	for e, n := range o.requests[carrier] {
		if n < outlierRequests {
			continue
		}
		rate := o.successes[carrier][e] / n
		hosts = append(hosts, e)
		sum += rate
		squares += rate * rate
	}
	n := float64(len(hosts))
	if n < outlierHosts {
		return
	}
	mean := sum / n
	sigma := math.Sqrt(max(squares/n-mean*mean, 0))
	for _, e := range hosts {
		if rate := o.successes[carrier][e] / o.requests[carrier][e]; rate < mean-o.deviations*sigma {
			o.eject(now, carrier, e)
		}
	}
}
