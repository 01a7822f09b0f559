package claim

import "time"

// clock turns the times that a Machine is handed into local time: nanoseconds since 1970 by
// the wall clock at the first call, moved on by the monotonic clock. It never goes back, also
// when the wall clock does.
type clock struct {
	start time.Time
	last  int64
}

// nanos returns the local time of now.
func (c *clock) nanos(now time.Time) int64 {
	if c.start.IsZero() {
		c.start = now
	}
	nanos := c.start.UnixNano() + int64(now.Sub(c.start))
	if nanos > c.last {
		c.last = nanos
	}
	return c.last
}

// wallTime returns the wallTime of a local wallTime.
func (c *clock) wallTime(nanos int64) time.Time {
	return c.start.Add(time.Duration(nanos - c.start.UnixNano()))
}
