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

// healthyRun is the time of one run without a fault.
const healthyRun = 30 * time.Minute

// acceptedFor returns the accepted rate that makes a service's limit a number of nats.
func acceptedFor(w workload, limit float64) float64 {
	const high = 1e6
	p := health.Parameters{FalseEjectionsPerEndpointMonth: high, ExpectedRequestsPerSecond: w.expected}
	at := health.Threshold(p, w.endpoints).Limit
	// The limit falls by one nat when the accepted rate grows by e; high is far from the least limit's bound.
	return high * math.Exp(at-limit)
}

func limitOf(w workload) float64 {
	p := health.Parameters{FalseEjectionsPerEndpointMonth: w.accepted, ExpectedRequestsPerSecond: w.expected}
	return health.Threshold(p, w.endpoints).Limit
}

// falseEjections returns the ejections of healthy endpoints over several runs, and the
// endpoint-months that they cover. An ejection at one carrier counts as its share.
func falseEjections(w workload, make func([]fleet.Instance, time.Time) policy, seeds int) (ejections, months float64) {
	var mu sync.Mutex
	runs := pool.New().WithMaxGoroutines(workers)
	for seed := range seeds {
		runs.Go(func() {
			s := newSimulation(w, uint64(seed+1), make)
			s.run(warmUp, nil)
			before := s.policy.ejections()
			s.run(healthyRun, nil)
			count := float64(s.policy.ejections()-before) / s.sharers()
			mu.Lock()
			defer mu.Unlock()
			ejections += count
			months += float64(w.endpoints) * healthyRun.Hours() / month.Hours()
		})
	}
	runs.Wait()
	return ejections, months
}

// sharers returns the mean number of carriers that use an endpoint, or 1 when all act as one.
func (s *simulation) sharers() float64 {
	if _, together := s.policy.(*judged); together {
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

// line is ln(rate) = start + slope * setting.
type line struct {
	start, slope float64
}

func (l line) at(x float64) float64 { return math.Exp(l.start + l.slope*x) }

// fewest is the least count of a point that a line is fitted to.
const fewest = 4

// fit returns the least-squares line through points weighted by their count of ejections.
func fit(x, rates, counts []float64) line {
	var n, sx, sy, sxx, sxy float64
	for i := range x {
		if counts[i] < fewest {
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
	return line{start: (sy - slope*sx) / n, slope: slope}
}

// measured is a policy's false ejections over its setting.
type measured struct {
	settings, counts, rates []float64
	line                    line
	months                  float64 // Endpoint-months behind the counts.
	ejected                 int     // At the service's own limit.
}

func measure(w workload, settings []float64, make func(setting float64) func([]fleet.Instance, time.Time) policy, seeds int) measured {
	m := measured{settings: settings}
	for _, setting := range settings {
		count, months := falseEjections(w, make(setting), seeds)
		m.counts = append(m.counts, count)
		m.rates = append(m.rates, count/months)
	}
	m.line = fit(m.settings, m.rates, m.counts)
	return m
}

// Settings at which false ejections are frequent enough to count.
var (
	countedConsecutive = []float64{1, 2, 3}
	countedDeviations  = []float64{1.6, 1.8, 2, 2.2}
)

// peaks counts how often a healthy endpoint's score rises over each of some levels. A
// rise counts once until the score has been near zero again.
type peaks struct {
	counts  []float64 // By level: firstLevel, firstLevel+1 and so on, in nats.
	reached map[fleet.Endpoint]int
}

// Levels of score that are counted, in nats.
const (
	firstLevel = 4
	levels     = 23
	nearZero   = 1.0
)

func newPeaks() *peaks {
	return &peaks{counts: make([]float64, levels), reached: make(map[fleet.Endpoint]int)}
}

func (p *peaks) add(views []health.EndpointView) {
	for _, v := range views {
		if v.Score < nearZero {
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

// measureJudged counts at the service's own limit how often a healthy endpoint's score
// rises over lower levels. That bounds the ejections at such a level from above, since
// an ejection also needs several carriers and healthier peers.
func measureJudged(w workload, seeds int) measured {
	var mu sync.Mutex
	m := measured{counts: make([]float64, levels)}
	months := 0.0
	runs := pool.New().WithMaxGoroutines(workers)
	for seed := range seeds {
		runs.Go(func() {
			s := newSimulation(w, uint64(seed+1), methods[0].make(w))
			s.run(warmUp, nil)
			own := s.policy.(*judged)
			before := own.ejected
			own.peaks = newPeaks()
			s.run(healthyRun, nil)
			mu.Lock()
			defer mu.Unlock()
			m.ejected += own.ejected - before
			months += float64(w.endpoints) * healthyRun.Hours() / month.Hours()
			for i, count := range own.peaks.counts {
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

func measureConsecutive(w workload, seeds int) measured {
	return measure(w, countedConsecutive, func(limit float64) func([]fleet.Instance, time.Time) policy {
		return consecutiveOf(int(limit))(w)
	}, seeds)
}

func measureOutlier(w workload, seeds int) measured {
	return measure(w, countedDeviations, func(deviations float64) func([]fleet.Instance, time.Time) policy {
		return outlierOf(deviations)(w)
	}, seeds)
}

func writeFalse(out io.Writer, seeds int) {
	fmt.Fprintln(out, "| service | method | setting | ejections | per endpoint-month | 95% interval |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, w := range []workload{find("catalogue").day(), find("stock").day()} {
		own := measureJudged(w, seeds)
		own.write(out, w.name, "damaskcove, score rose over, nats")
		measureConsecutive(w, seeds).write(out, w.name, "failures in a row")
		measureOutlier(w, seeds).write(out, w.name, "deviations")
		limit := limitOf(w)
		fmt.Fprintf(out, "| %s | damaskcove, ejections seen in %.2f endpoint-months | %.1f | %d | - | - |\n", w.name, own.months, limit, own.ejected)
		fmt.Fprintf(out, "| %s | damaskcove, extrapolated | %.1f | - | %.2g | slope %.2f per nat; accepted %.3g |\n",
			w.name, limit, own.line.at(limit), own.line.slope, w.accepted)
	}
}

func (m measured) write(out io.Writer, service, method string) {
	for i := range m.settings {
		low, high := poisson(m.counts[i])
		scale := 0.0
		if m.counts[i] > 0 {
			scale = m.rates[i] / m.counts[i]
		}
		fmt.Fprintf(out, "| %s | %s | %g | %.1f | %.3g | %.3g to %.3g |\n", service, method, m.settings[i], m.counts[i], m.rates[i], low*scale, high*scale)
	}
}

// poisson returns an approximate 95% interval of a count.
func poisson(count float64) (low, high float64) {
	const z = 1.96
	return max(count-z*math.Sqrt(count), 0), count + z*math.Sqrt(count+1)
}

func find(service fleet.Service) workload {
	for _, w := range services {
		if w.service == service {
			return w
		}
	}
	panic("no workload of service " + string(service))
}
