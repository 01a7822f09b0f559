package dispatch

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// service is what an instance knows of one service.
type service struct {
	endpoints []*tracked
	budget    *retrybudget.Budget
	took      average
	recent    recent
}

// recent counts how requests of all instances ended over the last two seconds.
type recent struct {
	served, unserved [recentSlices]int
	current          int64
}

const (
	// recentSlices and recentSlice make up the two seconds over which the users judge spread.
	recentSlices = 8
	recentSlice  = 250 * time.Millisecond
)

func (r *recent) advance(now time.Time) {
	n := now.UnixNano() / int64(recentSlice)
	if n-r.current >= recentSlices {
		*r = recent{current: n}
		return
	}
	for r.current < n {
		r.current++
		r.served[r.current%recentSlices], r.unserved[r.current%recentSlices] = 0, 0
	}
}

func (r *recent) add(now time.Time, ok bool) {
	r.advance(now)
	if ok {
		r.served[r.current%recentSlices]++
	} else {
		r.unserved[r.current%recentSlices]++
	}
}

// unservedShare returns the share of requests that were not served, and their number.
func (r *recent) unservedShare(now time.Time) (float64, int) {
	r.advance(now)
	var served, unserved int
	for i := range r.served {
		served += r.served[i]
		unserved += r.unserved[i]
	}
	if served+unserved == 0 {
		return 0, 0
	}
	return float64(unserved) / float64(served+unserved), served + unserved
}

// usual returns the time that a request of the service takes.
func (s *service) usual() time.Duration {
	return s.took.or(usualTime)
}
