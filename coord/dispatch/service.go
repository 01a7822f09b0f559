package dispatch

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/internal/window"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// service is what an instance knows of one service.
type service struct {
	endpoints []*tracked
	budget    *retrybudget.Budget
	took      average[time.Duration]
	recent    window.Pair // Served and unserved requests of all instances.
}

const (
	// recentSlices and recentSlice make up the two seconds over which the users judge spread.
	recentSlices = 8
	recentSlice  = 250 * time.Millisecond
)

// unservedShare returns the recent share of requests that were not served, and their number.
func (s *service) unservedShare(now time.Time) (float64, int) {
	served, unserved := s.recent.Sums(now)
	if served+unserved == 0 {
		return 0, 0
	}
	return float64(unserved) / float64(served+unserved), served + unserved
}

// usual returns the time that a request of the service takes.
func (s *service) usual() time.Duration {
	return s.took.or(usualTime)
}
