package main

import (
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// month is the time over which false ejections are counted.
const month = 30 * 24 * time.Hour

// healthyRunDuration is the duration of one run without a fault.
const healthyRunDuration = 30 * time.Minute

// acceptedRateFor returns the accepted rate of false ejections at which the threshold of a service
// is limit, in nats.
func acceptedRateFor(w workload, limit float64) float64 {
	const high = 1e6
	p := health.Parameters{FalseEjectionsPerEndpointMonth: high, ExpectedRequestsPerSecond: w.expectedRate}
	at := health.Threshold(p, w.endpoints).Limit
	// The threshold falls by one nat when the accepted rate grows by a factor of e. At the rate high
	// it is still far above its lower bound.
	return high * math.Exp(at-limit)
}

// thresholdOf returns the threshold of a service at its accepted rate, in nats.
func thresholdOf(w workload) float64 {
	p := health.Parameters{FalseEjectionsPerEndpointMonth: w.acceptedRate, ExpectedRequestsPerSecond: w.expectedRate}
	return health.Threshold(p, w.endpoints).Limit
}

// falseEjections returns the ejections of healthy endpoints over several runs, and the
// endpoint-months that these cover. If carriers decide on their own, an ejection at one of them
// counts as a fraction.
func falseEjections(w workload, newPolicy func([]fleet.Instance, time.Time) policy, seeds int) (ejections, months float64) {
	var mu sync.Mutex
	runs := pool.New().WithMaxGoroutines(workers)
	for seed := range seeds {
		runs.Go(func() {
			s := newSimulation(w, uint64(seed+1), newPolicy)
			s.run(warmUpDuration, nil)
			before := s.policy.ejections()
			s.run(healthyRunDuration, nil)
			count := float64(s.policy.ejections()-before) / s.carriersPerEndpoint()
			mu.Lock()
			defer mu.Unlock()
			ejections += count
			months += float64(w.endpoints) * healthyRunDuration.Hours() / month.Hours()
		})
	}
	runs.Wait()
	return ejections, months
}

// carriersPerEndpoint returns the mean number of carriers that use an endpoint, or 1 if they share
// their decisions.
func (s *simulation) carriersPerEndpoint() float64 {
	if _, isShared := s.policy.(*evaluatorPolicy); isShared {
		return 1
	}
	uses := 0
	for _, limits := range s.limits {
		for _, limit := range limits {
			if limit > 0 {
				uses++
			}
		}
	}
	return float64(uses) / float64(s.w.endpoints)
}

// line is ln(rate) = intercept + slope * setting.
type line struct {
	intercept, slope float64
}

func (l line) at(x float64) float64 { return math.Exp(l.intercept + l.slope*x) }

// minFitCount is the minimum count of a point for it to be used in a fit.
const minFitCount = 4

// fit returns the least-squares line through the points, weighted by their counts.
func fit(x, rates, counts []float64) line {
	var n, sx, sy, sxx, sxy float64
	for i := range x {
		if counts[i] < minFitCount {
			continue
		}
		y := math.Log(rates[i])
		n += counts[i]
		sx += counts[i] * x[i]
		sy += counts[i] * y
		sxx += counts[i] * x[i] * x[i]
		sxy += counts[i] * x[i] * y
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{intercept: (sy - slope*sx) / n, slope: slope}
}

// falseRates holds the false ejections of a policy by its setting.
type falseRates struct {
	settings, counts, rates []float64
	line                    line
	months                  float64 // Endpoint-months behind the counts.
	ejected                 int     // At the configured threshold of the service.
}

func measureSettings(w workload, settings []float64, newPolicy func(setting float64) func([]fleet.Instance, time.Time) policy, seeds int) falseRates {
	m := falseRates{settings: settings}
	for _, setting := range settings {
		count, months := falseEjections(w, newPolicy(setting), seeds)
		m.counts = append(m.counts, count)
		m.rates = append(m.rates, count/months)
	}
	m.line = fit(m.settings, m.rates, m.counts)
	return m
}

// Settings at which false ejections are frequent enough to be counted.
var (
	consecutiveSettings = []float64{1, 2, 3}
	deviationSettings   = []float64{1.6, 1.8, 2, 2.2}
)

// peakCounter counts how often the score of a healthy endpoint rises over each level. A level
// counts once until the score has fallen below resetLevel.
type peakCounter struct {
	counts  []float64              // By level: firstLevel, firstLevel+1 and so on, in nats.
	reached map[fleet.Endpoint]int // Levels reached since the last reset.
}

// Levels of the score, in nats.
const (
	firstLevel = 4
	levels     = 23
	resetLevel = 1.0
)

func newPeakCounter() *peakCounter {
	return &peakCounter{counts: make([]float64, levels), reached: make(map[fleet.Endpoint]int)}
}

func (p *peakCounter) add(views []health.EndpointView) {
	for _, v := range views {
		if v.Score < resetLevel {
			delete(p.reached, v.Endpoint)
			continue
		}
		next := p.reached[v.Endpoint]
		for next < levels && v.Score >= float64(firstLevel+next) {
			p.counts[next]++
			next++
		}
		p.reached[v.Endpoint] = next
	}
}

// measureEvaluator counts how often the score of a healthy endpoint rises over levels below the
// configured threshold of the service. That is an upper bound of the ejections at a threshold of
// that level, since an ejection also needs several carriers and healthier peers.
func measureEvaluator(w workload, seeds int) falseRates {
	var mu sync.Mutex
	m := falseRates{counts: make([]float64, levels)}
	months := 0.0
	runs := pool.New().WithMaxGoroutines(workers)
	for seed := range seeds {
		runs.Go(func() {
			s := newSimulation(w, uint64(seed+1), methods[0].newPolicy(w))
			s.run(warmUpDuration, nil)
			policy := s.policy.(*evaluatorPolicy)
			before := policy.ejected
			policy.peaks = newPeakCounter()
			s.run(healthyRunDuration, nil)
			mu.Lock()
			defer mu.Unlock()
			m.ejected += policy.ejected - before
			months += float64(w.endpoints) * healthyRunDuration.Hours() / month.Hours()
			for i, count := range policy.peaks.counts {
				m.counts[i] += count
			}
		})
	}
	runs.Wait()
	for i, count := range m.counts {
		m.settings = append(m.settings, float64(firstLevel+i))
		m.rates = append(m.rates, count/months)
	}
	m.months = months
	m.line = fit(m.settings, m.rates, m.counts)
	return m
}

func measureConsecutive(w workload, seeds int) falseRates {
	return measureSettings(w, consecutiveSettings, func(limit float64) func([]fleet.Instance, time.Time) policy {
		return consecutiveOf(int(limit))(w)
	}, seeds)
}

func measureOutlier(w workload, seeds int) falseRates {
	return measureSettings(w, deviationSettings, func(deviations float64) func([]fleet.Instance, time.Time) policy {
		return outlierOf(deviations)(w)
	}, seeds)
}

func writeFalseEjections(out io.Writer, seeds int) {
	fmt.Fprintln(out, "| service | method | setting | ejections | per endpoint-month | 95% interval |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, w := range []workload{findWorkload("catalogue").day(), findWorkload("stock").day()} {
		policy := measureEvaluator(w, seeds)
		policy.write(out, w.name, "damaskcove, score rose over, nats")
		measureConsecutive(w, seeds).write(out, w.name, "failures in a row")
		measureOutlier(w, seeds).write(out, w.name, "deviations")
		limit := thresholdOf(w)
		fmt.Fprintf(out, "| %s | damaskcove, ejections in %.2f endpoint-months | %.1f | %d | - | - |\n", w.name, policy.months, limit, policy.ejected)
		fmt.Fprintf(out, "| %s | damaskcove, extrapolated | %.1f | - | %.2g | slope %.2f per nat; accepted %.3g |\n",
			w.name, limit, policy.line.at(limit), policy.line.slope, w.acceptedRate)
	}
}

func (m falseRates) write(out io.Writer, service, method string) {
	for i := range m.settings {
		low, high := poisson(m.counts[i])
		scale := 0.0
		if m.counts[i] > 0 {
			scale = m.rates[i] / m.counts[i]
		}
		fmt.Fprintf(out, "| %s | %s | %g | %.1f | %.3g | %.3g to %.3g |\n", service, method, m.settings[i], m.counts[i], m.rates[i], low*scale, high*scale)
	}
}

// poisson returns an approximate 95% confidence interval of a Poisson count.
func poisson(count float64) (low, high float64) {
	const z = 1.96
	return max(count-z*math.Sqrt(count), 0), count + z*math.Sqrt(count+1)
}

func findWorkload(service fleet.Service) workload {
	for _, w := range services {
		if w.service == service {
			return w
		}
	}
	panic("no workload of service " + string(service))
}
