package dispatch

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/internal/window"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// service is the state of one service.
type service struct {
	endpoints []*endpointState
	budget    *retrybudget.Budget
	latency   ewma[time.Duration]
	recent    window.Pair // Served and unserved requests of all instances.
}

const (
	// recentSlices and recentSlice make up the two seconds over which the use of endpoints is judged.
	recentSlices = 8
	recentSlice  = 250 * time.Millisecond
)

// unservedShare returns the recent share of requests that were not served, and the number of all recent requests.
func (s *service) unservedShare(now time.Time) (float64, int) {
	served, unserved := s.recent.Sums(now)
	if served+unserved == 0 {
		return 0, 0
	}
	return float64(unserved) / float64(served+unserved), served + unserved
}

// baselineLatency returns the usual latency of the service's requests.
func (s *service) baselineLatency() time.Duration {
	return s.latency.withPrior(defaultLatency)
}
