package claim

import "time"

// clock turns the times that a Machine is handed into local time: nanoseconds since 1970 by
// the wall clock at the first call, moved on by the monotonic clock. It never goes back, also
// when the wall clock does.
type clock struct {
	first time.Time
	last  int64
}

// at returns the local time of now.
func (c *clock) at(now time.Time) int64 {
	if c.first.IsZero() {
		c.first = now
	}
	local := c.first.UnixNano() + int64(now.Sub(c.first))
	if local > c.last {
		c.last = local
	}
	return c.last
}

// time returns the time of a local time.
func (c *clock) time(local int64) time.Time {
	return c.first.Add(time.Duration(local - c.first.UnixNano()))
}
