package dispatch

import (
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
	var first, firstUntried time.Time // When an endpoint returns, or has room.
	for _, e := range s.endpoints {
		var at time.Time
		switch {
		case e.Draining || e.leaving == leavingAnnounced:
			out.Leaving++
			continue
		case now.Before(e.holdUntil):
			out.HeldOff++
			at = e.holdUntil
		case e.limit.isActive():
			out.Limited++
			room, ok := e.limit.roomAt(now)
			if !ok {
				continue
			}
			at = latest(room, e.reach.backoffUntil).Add(time.Duration(m.rand().Int64N(int64(reportDelay))))
			if first.IsZero() || at.Before(first) {
				out.LimitEndpoint, out.LimitRate = e.Name, e.limit.rate
			}
		default:
			continue
		}
		first = earliest(first, at)
		if !slices.Contains(r.Tried, e.ID) {
			firstUntried = earliest(firstUntried, at)
		}
	}
	if first.IsZero() {
		return out
	}
	scarcity := 1.0
	if out.Limited > 0 {
		s.foundNoRoom(now, r)
		scarcity = m.scarcity(now, s)
	}
	returns := first.Sub(now)
	spread := min(time.Duration(returnSpread*float64(returns)), maxReturnSpread)
	if scarcity > 1 {
		spread = maxReturnSpread
	}
	out.RetryAfter = returns + time.Duration(m.rand().Float64()*float64(spread))
	mayWait := out.HeldOff > 0 || r.Waiting || m.rand().Float64()*scarcity < 1
	if mayWait && !firstUntried.IsZero() && !firstUntried.Add(s.baselineLatency()).After(r.Objective) {
		out.Wait = max(firstUntried.Sub(now), time.Millisecond)
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
