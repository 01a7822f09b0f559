package outlook

import (
	"math"
	"time"
)

// Outcome is what was observed of one request to an endpoint.
type Outcome uint8

// Outcomes of a request. A request is observed up to three times: as Running or one of the early
// outcomes once it is as old as an early failure may be, as Overdue, and at its end.
const (
	Running       Outcome = iota + 1 // It has not failed early.
	FailedEarly                      // The endpoint responded with a failure much sooner than it serves a request.
	BrokenEarly                      // Connection reset, response truncated or invalid, as soon.
	RefusedEarly                     // The endpoint rejected the request without running it, as soon.
	Served                           // A complete response with the upstream's signature.
	Failed                           // A failure after the time of a usual request.
	Broken                           // As BrokenEarly, later.
	Refused                          // As RefusedEarly, later.
	Overdue                          // No response for many times the baseline latency.
	outcomesCount = iota + 1
)

// Estimate is the chance that an endpoint is healthy at a point in time.
type Estimate struct {
	chance   float64
	at       time.Time
	observed bool   // It is more than the prior.
	recent   recent // Outcomes that the model has not learned from.
}

// New returns the estimate of an endpoint without any outcomes: the model's prior.
func New(m *Model, now time.Time) Estimate {
	return Estimate{chance: m.prior, at: now}
}

// Since returns the estimate of an endpoint whose chance was known at an earlier time.
func Since(chance float64, at time.Time) Estimate {
	return Estimate{chance: min(max(chance, minChance), 1-minChance), at: at, observed: true}
}

// minChance keeps an estimate from a certainty that no outcome could change.
const minChance = 1e-6

// Last returns the chance at the time of the last outcome; ok is false if there was none.
func (e *Estimate) Last() (chance float64, at time.Time, ok bool) {
	return e.chance, e.at, e.observed
}

// At returns the chance at a time that is not before the last outcome.
func (e *Estimate) At(m *Model, now time.Time) float64 {
	age := now.Sub(e.at).Seconds()
	if age <= 0 {
		return e.chance
	}
	return m.prior + (e.chance-m.prior)*math.Exp(-m.changeRate*age)
}

// Observe updates the estimate, and the model, with an outcome at a time.
func (e *Estimate) Observe(m *Model, at time.Time, o Outcome) {
	if o == 0 || o >= outcomesCount {
		return
	}
	healthy, failing := m.likelihood(o)
	if o == Running && !m.FailsEarly() {
		failing = healthy
	}
	before := e.At(m, at)
	after := before * healthy / (before*healthy + (1-before)*failing)
	m.noteFailure(o, after)
	e.recent.add(m, e.chance, at, o)
	e.chance, e.observed = min(max(after, minChance), 1-minChance), true
	if at.After(e.at) {
		e.at = at
	}
}
