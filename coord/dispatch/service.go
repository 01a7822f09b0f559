package dispatch

import (
	"math"
	"time"

	"github.com/damaskcove/damaskcove/coord/internal/window"
	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// service is the state of one service.
type service struct {
	endpoints []*endpointState
	health    *outlook.Model
	budget    *retrybudget.Budget
	latency   ewma[time.Duration]
	spread    ewma[float64] // Squared deviation of the logarithm of latencies from their endpoint's mean.
	attempts  window.Pair   // Recent attempts of all instances, served and unserved.
	retries   window.Pair   // Recent retries of all instances, as the first kind.

	room   window.Pair       // This instance's recent requests that found no room at limited endpoints, and those that were placed.
	scarce map[int]time.Time // When a request last found no room, by its priority.
}

const (
	// recentSlices and recentSlice make up the two seconds over which the use of endpoints is judged.
	recentSlices = 8
	recentSlice  = 250 * time.Millisecond
)

// sent counts an attempt by any instance.
func (s *service) sent(now time.Time, retry bool) {
	s.budget.Sent(now, retry)
	if retry {
		s.retries.Add(now, false)
	}
}

// unservedShare returns the recent share of requests that were not served, and the number of all
// recent requests. A failed attempt that is followed by a retry is not a request that goes unserved.
func (s *service) unservedShare(now time.Time) (float64, int) {
	served, failed := s.attempts.Sums(now)
	retries, _ := s.retries.Sums(now)
	unserved := max(failed-retries, 0)
	if served+unserved == 0 {
		return 0, 0
	}
	return float64(unserved) / float64(served+unserved), served + unserved
}

const (
	// defaultVariance is the prior of spread.
	defaultVariance = 0.25
	// minSpread keeps latencies that have hardly varied from being taken for certain.
	minSpread = 0.1
)

// latencySpread returns the standard deviation of the logarithm of latencies.
func (s *service) latencySpread() float64 {
	return max(math.Sqrt(s.spread.withPrior(defaultVariance)), minSpread)
}

// recordLatency records the latency of a served request.
func (s *service) recordLatency(e *endpointState, latency time.Duration) {
	deviation := math.Log(float64(max(latency, time.Millisecond)) / float64(max(e.latency.withPrior(s.baselineLatency()), time.Millisecond)))
	s.spread.addSlowly(deviation * deviation)
	e.latency.add(latency)
	s.latency.add(latency)
}

// figures are a service's values that hold for all endpoints in one decision.
type figures struct {
	baseline   time.Duration // baselineLatency
	spread     float64       // latencySpread
	certain    float64       // Multiple of its mean that a latency almost certainly does not exceed.
	earlyLimit time.Duration
}

func (s *service) figures() figures {
	const deviations = 3
	spread := s.latencySpread()
	return figures{
		baseline: s.baselineLatency(), spread: spread, certain: math.Exp(deviations*spread - spread*spread/2), earlyLimit: s.earlyLimit(),
	}
}

const (
	// earlyShare is the share of the baseline latency within which a failure is early.
	earlyShare = 1.0 / 8
	// minEarlyLimit is longer than an early failure and its report to another instance take.
	minEarlyLimit = 20 * time.Millisecond
)

// earlyLimit returns the age from which a request that has not ended has not failed early.
func (s *service) earlyLimit() time.Duration {
	return max(time.Duration(earlyShare*float64(s.baselineLatency())), minEarlyLimit)
}

// baselineLatency returns the usual latency of the service's requests.
func (s *service) baselineLatency() time.Duration {
	return s.latency.withPrior(defaultLatency)
}
