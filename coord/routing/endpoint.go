package routing

import (
	"math"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

const (
	loadHalfLife    = time.Second     // Age at which the weight of a reported load has halved.
	loadWeight      = 0.5             // Weight of a new reported load in the score, relative to utilization.
	failureHalfLife = 2 * time.Second // Age at which the weight of a failure has halved.
	failureWeight   = 0.5             // Added to the score per recent failure.
	failureMax      = 4.0             // Maximum number of recent failures counted.
	slowStartWeight = 0.5             // Added to the score at the start of slow start, falling to zero at its end.
)

// endpoint is the balancer's record of one endpoint.
type endpoint struct {
	target        Target
	outstanding   int
	slowStartFrom time.Time // Start of slow start; zero when it has never been in slow start.
	loadAt        time.Time // When the load was measured.
	nextTrialAt   time.Time // Earliest time of the next trial request.
	failures      float64   // Decayed number of failures at failedAt.
	failedAt      time.Time
	meanLatency   latencyMean
	listed        bool // In the targets; false while its last attempts run after its removal.
}

// usable reports whether the endpoint may take ordinary requests when it has a free slot.
func (e *endpoint) usable() bool {
	return e.listed && (e.target.State == StateAvailable || e.target.State == StateCold)
}

// limit returns how many attempts may run at once.
func (e *endpoint) limit(now time.Time, slowStart time.Duration) int {
	full := max(e.target.Limit, 0)
	if e.target.State == StateTrial {
		return min(full, 1)
	}
	progress := e.slowStartProgress(now, slowStart)
	if progress >= 1 || full <= 1 {
		return full
	}
	return 1 + int(progress*float64(full-1))
}

// slowStartProgress returns the elapsed fraction of slow start, 0 to 1; 1 when not in slow start.
func (e *endpoint) slowStartProgress(now time.Time, slowStart time.Duration) float64 {
	if e.slowStartFrom.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(e.slowStartFrom))/float64(slowStart), 0), 1)
}

// update replaces the target. Slow start begins when the endpoint becomes cold, or
// becomes available after being excluded or on trial. known is false for a new endpoint.
func (e *endpoint) update(now time.Time, t Target, known bool) {
	previous := e.target.State
	hint := e.target.LoadHint
	e.target = t
	e.target.LoadHint = hint
	e.listed = true
	if t.LoadHint > 0 {
		e.setLoad(t.LoadHint, now.Add(-t.LoadAge))
	}
	readmitted := known && t.State == StateAvailable && (previous == StateExcluded || previous == StateTrial)
	becameCold := t.State == StateCold && (!known || previous != StateCold)
	if readmitted || becameCold {
		e.slowStartFrom = now
	}
}

// setLoad records a reported load, unless a newer one has been recorded.
func (e *endpoint) setLoad(load float64, at time.Time) {
	if at.Before(e.loadAt) {
		return
	}
	e.target.LoadHint = load
	e.loadAt = at
}

// load returns the reported load, decayed by its age.
func (e *endpoint) load(now time.Time) float64 {
	if e.target.LoadHint <= 0 {
		return 0
	}
	return min(e.target.LoadHint, 1) * decay(now.Sub(e.loadAt), loadHalfLife)
}

// recentFailures returns the number of failures, decayed by their age.
func (e *endpoint) recentFailures(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * decay(now.Sub(e.failedAt), failureHalfLife)
}

func (e *endpoint) recordFailure(now time.Time) {
	e.failures = min(e.recentFailures(now)+1, failureMax)
	e.failedAt = now
}

// score returns the estimated cost of an attempt on e; lower is better. all is the mean
// latency over all endpoints.
func (e *endpoint) score(now time.Time, slowStart time.Duration, all *latencyMean) float64 {
	score := float64(e.outstanding+1) / float64(max(e.limit(now, slowStart), 1))
	score *= 1 + e.meanLatency.excess(now, all)
	score += loadWeight * e.load(now)
	score += failureWeight * e.recentFailures(now)
	return score + slowStartWeight*(1-e.slowStartProgress(now, slowStart))
}

// decay returns the weight of a value of the given age, 0 to 1.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

func (e *endpoint) address() fleet.Endpoint { return e.target.Upstream.Endpoint }
