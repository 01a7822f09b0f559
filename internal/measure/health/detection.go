package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// Durations of one run.
const (
	warmUpDuration = 30 * time.Second
	maxRunDuration = 3 * time.Minute
	nightFactor    = 5 // Factor on the duration of night runs, as requests are rare.
)

// method is a named policy.
type method struct {
	name      string
	newPolicy func(w workload) func([]fleet.Instance, time.Time) policy
}

var methods = []method{
	{"damaskcove", func(w workload) func([]fleet.Instance, time.Time) policy {
		return func(all []fleet.Instance, now time.Time) policy {
			return newEvaluatorPolicy(w, health.DefaultConfig(), all, now)
		}
	}},
	{"five consecutive failures", consecutiveOf(5)},
	{"success rate, 2 deviations", outlierOf(2)},
}

func consecutiveOf(limit int) func(w workload) func([]fleet.Instance, time.Time) policy {
	return func(w workload) func([]fleet.Instance, time.Time) policy {
		return func(all []fleet.Instance, _ time.Time) policy { return newConsecutive(w, len(all), limit) }
	}
}

func outlierOf(deviations float64) func(w workload) func([]fleet.Instance, time.Time) policy {
	return func(w workload) func([]fleet.Instance, time.Time) policy {
		return func(all []fleet.Instance, _ time.Time) policy { return newOutlier(w, len(all), deviations) }
	}
}

// detect returns the time from the onset of a fault until every affected carrier has taken the
// endpoint out of service at least once, and false if that didn't happen within the run.
func detect(w workload, f fault, m method, seed uint64) (time.Duration, bool) {
	s := newSimulation(w, seed, m.newPolicy(w))
	limit, settleTime := maxRunDuration, warmUpDuration
	if w.load < 0.05 {
		limit, settleTime = limit*nightFactor, settleTime*nightFactor
	}
	s.run(settleTime+time.Duration(s.random.Int64N(int64(10*time.Second))), nil)
	s.injectFault(f, int(seed)%w.endpoints)
	missing := s.affectedCarriers()
	if len(missing) == 0 {
		return 0, false
	}
	done := s.run(limit, func() bool {
		missing = slices.DeleteFunc(missing, func(c int) bool {
			return s.policy.state(s.now, c, s.unhealthy) != health.StateInService
		})
		return len(missing) == 0
	})
	return s.now.Sub(s.onset), done
}

// detections runs the given number of seeds and returns the detection times in ascending order.
// A run without a detection counts as infinite.
func detections(w workload, f fault, m method, seeds int) []float64 {
	var mu sync.Mutex
	var times []float64
	runs := pool.New().WithMaxGoroutines(workers)
	for seed := range seeds {
		runs.Go(func() {
			took, ok := detect(w, f, m, uint64(seed+1))
			t := math.Inf(1)
			if ok {
				t = took.Seconds()
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, t)
		})
	}
	runs.Wait()
	slices.Sort(times)
	return times
}

// workers is the number of concurrent runs.
const workers = 3

func quantile(sorted []float64, q float64) float64 {
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// confidenceInterval returns a 95% confidence interval of a quantile, by bootstrap resampling.
func confidenceInterval(sorted []float64, q float64) (low, high float64) {
	const resamples = 1000
	random := rand.New(rand.NewPCG(1, 2))
	estimates := make([]float64, resamples)
	resample := make([]float64, len(sorted))
	for i := range estimates {
		for k := range resample {
			resample[k] = sorted[random.IntN(len(sorted))]
		}
		slices.Sort(resample)
		estimates[i] = quantile(resample, q)
	}
	slices.Sort(estimates)
	return quantile(estimates, 0.025), quantile(estimates, 0.975)
}

// writeDetections prints a table with a row for each service, fault and method.
func writeDetections(out io.Writer, workloads []workload, seeds int) {
	fmt.Fprintln(out, "| service | fault | method | p50 s (95% interval) | p99 s (95% interval) | detected |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, w := range workloads {
		for _, f := range faults {
			for _, m := range methods {
				times := detections(w, f, m, seeds)
				found, _ := slices.BinarySearch(times, math.Inf(1))
				fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %d of %d |\n", w.name, f.name, m.name,
					formatQuantile(times, 0.5), formatQuantile(times, 0.99), found, len(times))
			}
		}
	}
}

func formatQuantile(times []float64, q float64) string {
	low, high := confidenceInterval(times, q)
	return fmt.Sprintf("%s (%s to %s)", formatSeconds(quantile(times, q)), formatSeconds(low), formatSeconds(high))
}

func formatSeconds(seconds float64) string {
	if math.IsInf(seconds, 1) {
		return "none"
	}
	return fmt.Sprintf("%.2f", seconds)
}
