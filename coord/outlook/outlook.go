package outlook

import (
	"math"
	"time"
)

// Outcome is how one request to an endpoint ended.
type Outcome uint8

// Outcomes of a request.
const (
	Served  Outcome = iota + 1 // A complete response with the upstream's signature.
	Failed                     // The endpoint responded with a failure.
	Broken                     // Connection reset, response truncated or invalid.
	Refused                    // The endpoint rejected the request without running it.
	Overdue                    // No response for many times the baseline latency.
)

// Model describes how endpoints change between healthy and failing.
type Model struct {
	MeanHealthy time.Duration // Mean duration of the healthy state.
	MeanFailing time.Duration // Mean duration of the failing state.
}

// prior returns the long-run share of time in which an endpoint is healthy.
func (m Model) prior() float64 {
	return float64(m.MeanHealthy) / float64(m.MeanHealthy+m.MeanFailing)
}

// decayRate returns the rate, per second, at which an estimate returns to the prior.
func (m Model) decayRate() float64 {
	return 1/m.MeanHealthy.Seconds() + 1/m.MeanFailing.Seconds()
}

// likelihoods are the chances of an outcome while the endpoint is healthy and while it is failing.
type likelihoods struct{ healthy, failing float64 }

// byOutcome follows the platform's figures: a failing endpoint fails nine requests in ten, a
// healthy one about one in a hundred.
var byOutcome = map[Outcome]likelihoods{
	Served:  {0.97, 0.10},
	Failed:  {0.012, 0.85},
	Broken:  {0.008, 0.40},
	Refused: {0.05, 0.30},
	Overdue: {0.02, 0.40},
}

// Estimate is the chance that an endpoint is healthy at a point in time.
type Estimate struct {
	chance float64
	at     time.Time
}

// New returns the estimate of an endpoint without any outcomes: the prior.
func New(m Model, now time.Time) Estimate {
	return Estimate{chance: m.prior(), at: now}
}

// At returns the chance at a time that is not before the last outcome.
func (e Estimate) At(m Model, now time.Time) float64 {
	age := now.Sub(e.at).Seconds()
	if age <= 0 {
		return e.chance
	}
	prior := m.prior()
	return prior + (e.chance-prior)*math.Exp(-m.decayRate()*age)
}

// Observe updates the estimate with an outcome.
func (e *Estimate) Observe(m Model, now time.Time, o Outcome) {
	l, ok := byOutcome[o]
	if !ok {
		return
	}
	before := e.At(m, now)
	e.chance = before * l.healthy / (before*l.healthy + (1-before)*l.failing)
	if now.After(e.at) {
		e.at = now
	}
}
