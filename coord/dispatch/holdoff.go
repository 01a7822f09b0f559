package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// returnSpread is the part of a hold-off over which callers are spread that come back after it, so that
	// those who were rejected during all of it do not return at the same moment.
	returnSpread = 0.5
	// maxReturnSpread bounds that time: callers do not wait for much longer.
	maxReturnSpread = 2 * time.Second
)

// NoEndpoint returns the rejection of a request for which no endpoint can be chosen.
func (m *Machine) NoEndpoint(now time.Time, r Request) *Rejection {
	return m.noEndpoint(now, m.service(r.Service), &r)
}

func (m *Machine) noEndpoint(now time.Time, s *service, r *Request) *Rejection {
	out := &Rejection{Reason: NoEndpoint, RetryAfter: s.baselineLatency(), TimeLeft: r.Deadline.Sub(now)}
	var first, firstUntried time.Time // When an endpoint returns.
	for _, e := range s.endpoints {
		switch {
		case e.Draining || e.leaving == leavingAnnounced:
			out.Leaving++
		case now.Before(e.holdUntil):
			out.HeldOff++
			first = earliest(first, e.holdUntil)
			if !slices.Contains(r.Tried, e.ID) {
				firstUntried = earliest(firstUntried, e.holdUntil)
			}
		}
	}
	if out.HeldOff == 0 {
		return out
	}
	returns := first.Sub(now)
	spread := min(time.Duration(returnSpread*float64(returns)), maxReturnSpread)
	out.RetryAfter = returns + time.Duration(rand.New(m.random).Float64()*float64(spread))
	if !firstUntried.IsZero() && !firstUntried.Add(s.baselineLatency()).After(r.Objective) {
		out.Wait = firstUntried.Sub(now)
	}
	return out
}

// earliest returns the earlier of two times; a zero time counts as none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
