package routing

import (
	"math"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

const (
	loadHalfLife    = time.Second     // Age at which a reported load counts half.
	loadWeight      = 0.5             // Weight of a fresh reported load against own utilization.
	failureHalfLife = 2 * time.Second // Time after which a failure counts half.
	failureWeight   = 0.5             // Added to the score per recent failure.
	failureMax      = 4.0             // Bound of the recent failures counted.
	coldWeight      = 0.5             // Added to the score of an endpoint at the start of its slow start.
)

// endpoint is the balancer's record of one endpoint.
type endpoint struct {
	target      Target
	outstanding int
	rampFrom    time.Time // Start of the slow start; zero when it takes its full limit.
	loadAt      time.Time // When the reported load was true.
	nextTrial   time.Time
	failures    float64
	failedAt    time.Time
	latency     latencyMean
	listed      bool
}

// usable reports whether the endpoint may take ordinary work when it has a free slot.
func (e *endpoint) usable() bool {
	return e.listed && (e.target.Standing == StandingOpen || e.target.Standing == StandingCold)
}

// limit returns how many attempts may run now.
func (e *endpoint) limit(now time.Time, slowStart time.Duration) int {
	full := max(e.target.Limit, 0)
	if e.target.Standing == StandingTrial {
		return min(full, 1)
	}
	ramp := e.ramp(now, slowStart)
	if ramp >= 1 || full <= 1 {
		return full
	}
	return 1 + int(ramp*float64(full-1))
}

// ramp returns how far the slow start has come, 0 to 1.
func (e *endpoint) ramp(now time.Time, slowStart time.Duration) float64 {
	if e.rampFrom.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(e.rampFrom))/float64(slowStart), 0), 1)
}

// update takes a new target. An endpoint that turns cold, or comes back from being
// avoided or on trial, starts slowly.
func (e *endpoint) update(now time.Time, t Target, known bool) {
	former := e.target.Standing
	hint := e.target.LoadHint
	e.target = t
	e.target.LoadHint = hint
	e.listed = true
	if t.LoadHint > 0 {
		e.reported(t.LoadHint, now.Add(-t.LoadAge))
	}
	returned := known && t.Standing == StandingOpen && (former == StandingAvoided || former == StandingTrial)
	turnedCold := t.Standing == StandingCold && (!known || former != StandingCold)
	if returned || turnedCold {
		e.rampFrom = now
	}
}

// reported takes a reported load, unless a newer one is known.
func (e *endpoint) reported(load float64, at time.Time) {
	if at.Before(e.loadAt) {
		return
	}
	e.target.LoadHint = load
	e.loadAt = at
}

// load returns the reported load, discounted by its age.
func (e *endpoint) load(now time.Time) float64 {
	if e.target.LoadHint <= 0 {
		return 0
	}
	return min(e.target.LoadHint, 1) * decay(now.Sub(e.loadAt), loadHalfLife)
}

// recentFailures returns the failures seen here, discounted by their age.
func (e *endpoint) recentFailures(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * decay(now.Sub(e.failedAt), failureHalfLife)
}

// failed records one failure.
func (e *endpoint) failed(now time.Time) {
	e.failures = min(e.recentFailures(now)+1, failureMax)
	e.failedAt = now
}

// score returns the estimated cost of an attempt here; lower is better.
func (e *endpoint) score(now time.Time, slowStart time.Duration, all *latencyMean) float64 {
	score := float64(e.outstanding+1) / float64(max(e.limit(now, slowStart), 1))
	score *= 1 + e.latency.excess(now, all)
	score += loadWeight * e.load(now)
	score += failureWeight * e.recentFailures(now)
	return score + coldWeight*(1-e.ramp(now, slowStart))
}

// decay returns the weight of a value after age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// name returns the endpoint's address.
func (e *endpoint) name() fleet.Endpoint { return e.target.Upstream.Endpoint }
