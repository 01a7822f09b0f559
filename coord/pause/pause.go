// Package pause tells when a process has stood still.
//
// The load pattern that it answers: an instance is stopped or suspended for seconds, or its
// processor is taken away, and goes on where it was. What it knew has run out meanwhile: the
// configuration, which upstreams take work, connections that were idle, and the time that the
// requests have left which wait in its sockets.
package pause

import "time"

const (
	// MinPause is the shortest pause that is told of: several intervals of beats, and longer than
	// a busy instance is late.
	MinPause = 1500 * time.Millisecond
	// RefreshTimeout is how long after a pause an instance waits at most for news of what has changed.
	// While there is none to be had, it goes on with what it knew.
	RefreshTimeout = time.Second
	// Cooldown is how long after a pause no other is told of: on a machine so slow that its own work
	// looks like one, reading everything anew each time would leave time for nothing else.
	Cooldown = 5 * time.Second
)

// Detector sees pauses by beats that do not come. It is not safe for concurrent use.
type Detector struct {
	beat  time.Time // Last one; zero before the first.
	woken time.Time // End of the last pause.
	until time.Time // What is known may have run out until then, unless it is renewed.
}

// Beat notes that the process runs, and tells whether it was paused before.
func (d *Detector) Beat(now time.Time) bool {
	paused := d.Paused(now)
	d.beat = now
	if paused {
		d.woken, d.until = now, now.Add(RefreshTimeout)
	}
	return paused
}

// Paused tells whether the process was paused since the last beat. The steady clock does not
// count a suspension, and the time of day may be set: whichever has gone on further counts.
func (d *Detector) Paused(now time.Time) bool {
	rests := !d.woken.IsZero() && now.Sub(d.woken) < Cooldown
	return !d.beat.IsZero() && !rests && Elapsed(d.beat, now) >= MinPause
}

// Elapsed returns the time from one moment to a later one, a suspension included.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Refreshed notes that all that is known was asked for at a moment.
func (d *Detector) Refreshed(asked time.Time) {
	if !asked.Before(d.woken) {
		d.until = time.Time{}
	}
}

// MayBeStale tells whether what is known may have run out.
func (d *Detector) MayBeStale(now time.Time) bool {
	return d.Paused(now) || now.Before(d.until)
}
