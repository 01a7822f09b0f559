package claim

import "time"

// clock converts the times passed to a Machine into local time: nanoseconds since 1970, read
// from the wall clock at the first call and advanced by the monotonic clock. Local time never
// goes back, even if the wall clock does.
type clock struct {
	start time.Time
	last  int64
}

// nanos converts now to local time.
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

// wallTime converts a local time back to a time.Time.
func (c *clock) wallTime(nanos int64) time.Time {
	return c.start.Add(time.Duration(nanos - c.start.UnixNano()))
}
