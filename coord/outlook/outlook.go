package outlook

import (
	"math"
	"time"
)

// Outcome is how one request to an endpoint ended.
type Outcome uint8

// Outcomes of a request.
const (
	Served  Outcome = iota + 1 // Answered, whole and signed.
	Failed                     // The endpoint answered with a failure.
	Broken                     // Reset, cut off, or not an answer.
	Refused                    // The endpoint turned the request away unrun.
	Overdue                    // No answer for many times the usual time.
)

// Model describe how endpoints change between good and failing.
type Model struct {
	MeanHealthy time.Duration // Mean time that an endpoint stays good.
	MeanFailing time.Duration // Mean time that a failing spell lasts.
}

// goodShare returns the long-run share of time in which an endpoint is good.
func (r Model) goodShare() float64 {
	return float64(r.MeanHealthy) / float64(r.MeanHealthy+r.MeanFailing)
}

// relaxation returns the rate, a second, at which knowledge of the state is lost.
func (r Model) relaxation() float64 {
	return 1/r.MeanHealthy.Seconds() + 1/r.MeanFailing.Seconds()
}

// likelihoods are the chances of an outcome while the endpoint is good and while it fails.
type likelihoods struct{ good, failing float64 }

// byOutcome holds the users' figures: a failing spell fails nine requests in ten, and about
// one request in a hundred fails at a good endpoint.
var byOutcome = map[Outcome]likelihoods{
	Served:  {0.97, 0.10},
	Failed:  {0.012, 0.85},
	Broken:  {0.008, 0.40},
	Refused: {0.05, 0.30},
	Overdue: {0.02, 0.40},
}

// Estimate is the chance that an endpoint is good, as of a moment.
type Estimate struct {
	chance float64
	at     time.Time
}

// New returns the estimate of an endpoint of which nothing is known.
func New(r Model, now time.Time) Estimate {
	return Estimate{chance: r.goodShare(), at: now}
}

// At returns the chance at a moment that is not before the last outcome.
func (e Estimate) At(r Model, now time.Time) float64 {
	age := now.Sub(e.at).Seconds()
	if age <= 0 {
		return e.chance
	}
	share := r.goodShare()
	return share + (e.chance-share)*math.Exp(-r.relaxation()*age)
}

// Observe takes an outcome into account.
func (e *Estimate) Observe(r Model, now time.Time, o Outcome) {
	l, ok := byOutcome[o]
	if !ok {
		return
	}
	before := e.At(r, now)
	e.chance = before * l.good / (before*l.good + (1-before)*l.failing)
	if now.After(e.at) {
		e.at = now
	}
}
