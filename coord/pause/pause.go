// Package pause detects that the process was paused.
//
// An instance is stopped or suspended for seconds, or gets no processor time, and then resumes
// where it was. Meanwhile its state has become stale: the configuration, the upstreams that
// accept requests, its idle connections, and the time left to the requests in its socket buffers.
package pause

import "time"

const (
	// MinPause is the shortest pause that is detected: several heartbeat intervals, and more than
	// the delay of a heartbeat in a busy instance.
	MinPause = 1500 * time.Millisecond
	// RefreshTimeout is how long after a pause an instance waits at most for fresh state. If it
	// gets none, it goes on with the state from before the pause.
	RefreshTimeout = time.Second
	// Cooldown is how long after a pause no other is detected: on a machine so slow that its own
	// work looks like a pause, a full refresh each time would leave time for nothing else.
	Cooldown = 5 * time.Second
)

// Detector detects pauses by missing heartbeats. It is not safe for concurrent use.
type Detector struct {
	lastBeat   time.Time // Zero before the first.
	resumedAt  time.Time // End of the last pause.
	staleUntil time.Time // State may be stale until then, unless it is refreshed.
}

// Beat records a heartbeat, and reports whether the process was paused before it.
func (d *Detector) Beat(now time.Time) bool {
	paused := d.Paused(now)
	d.lastBeat = now
	if paused {
		d.resumedAt, d.staleUntil = now, now.Add(RefreshTimeout)
	}
	return paused
}

// Paused reports whether the process has been paused since the last heartbeat.
func (d *Detector) Paused(now time.Time) bool {
	coolingDown := !d.resumedAt.IsZero() && now.Sub(d.resumedAt) < Cooldown
	return !d.lastBeat.IsZero() && !coolingDown && Elapsed(d.lastBeat, now) >= MinPause
}

// Elapsed returns the time between two times, a suspension included. The monotonic clock stops
// during a suspension and the wall clock may be set, so the one that advanced further counts.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Refreshed records that all state has been read again by a request sent at a time.
func (d *Detector) Refreshed(requestedAt time.Time) {
	if !requestedAt.Before(d.resumedAt) {
		d.staleUntil = time.Time{}
	}
}

// MayBeStale reports whether the instance's state may be stale after a pause.
func (d *Detector) MayBeStale(now time.Time) bool {
	return d.Paused(now) || now.Before(d.staleUntil)
}
