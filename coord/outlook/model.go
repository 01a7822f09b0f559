package outlook

import (
	"math"
	"time"
)

// Prior is what is assumed of a service's endpoints before anything is observed.
type Prior struct {
	MeanHealthy time.Duration // Mean duration of the healthy state.
	MeanFailing time.Duration // Mean duration of the failing state.
}

// Model describes how the endpoints of one service change between healthy and failing, and how
// requests end in either state. It starts from a Prior and learns from every outcome, by expected
// counts: an outcome counts for each state by the chance that the endpoint is in it. It is not safe
// for concurrent use.
type Model struct {
	healthy state
	failing state

	// Expected number of failures of failing endpoints, early or after that.
	earlyFailures, lateFailures float64

	// Derived from the durations of the states.
	prior      float64 // Long-run share of time in which an endpoint is healthy.
	changeRate float64 // Rate, per second, at which an estimate returns to the prior.
}

// state is one state of an endpoint, by expected counts.
type state struct {
	outcomes [outcomesCount]float64
	first    float64 // Sum of the outcomes with which a request is first observed.
	last     float64 // Sum of those at its end, after Running.
	seconds  float64 // Time spent in the state.
	exits    float64 // Changes to the other state.
}

const (
	// priorRequests and priorExits are the weight of the prior: the number of requests and of changes
	// of state that outweigh it.
	priorRequests = 15
	priorExits    = 6
	// priorLateFailures are assumed before any failure is observed.
	priorLateFailures = 2
	// maxRequests, maxExits and maxFailures bound the weight of the past, so that what has changed is learned anew.
	maxRequests = 4000
	maxExits    = 120
	maxFailures = 200
	// Bounds of the learned durations of a state.
	minStateSeconds = 1
	maxStateSeconds = 900
)

// Chances of a refusal: a weak sign that an endpoint fails, outweighed by one request that is served.
const (
	refusedHealthy = 0.05
	refusedFailing = 0.15
)

// Shares of outcomes that are assumed before anything is observed.
var (
	healthyShares = [outcomesCount]float64{
		FailedEarly: 0.006, BrokenEarly: 0.004, RefusedEarly: 0.025, Running: 0.965,
		Served: 0.965, Failed: 0.006, Broken: 0.004, Refused: 0.025, Overdue: 0.02,
	}
	failingShares = [outcomesCount]float64{
		FailedEarly: 0.40, BrokenEarly: 0.10, RefusedEarly: 0.10, Running: 0.40,
		Served: 0.20, Failed: 0.45, Broken: 0.20, Refused: 0.15, Overdue: 0.40,
	}
)

// NewModel returns a model that has observed nothing.
func NewModel(p Prior) *Model {
	m := &Model{
		lateFailures: priorLateFailures,

		healthy: newState(&healthyShares, p.MeanHealthy),
		failing: newState(&failingShares, p.MeanFailing),
	}
	m.update()
	return m
}

// update derives the prior and the rate of change from the durations of the states.
func (m *Model) update() {
	in, out := m.failing.exitRate(), m.healthy.exitRate()
	m.prior, m.changeRate = in/(in+out), in+out
}

func newState(shares *[outcomesCount]float64, mean time.Duration) state {
	s := state{seconds: priorExits * mean.Seconds(), exits: priorExits}
	for o, share := range shares {
		s.add(Outcome(o), share*priorRequests)
	}
	return s
}

// isFirst reports whether an outcome is the first that is observed of a request.
func isFirst(o Outcome) bool {
	return o >= Running && o <= RefusedEarly
}

func (s *state) add(o Outcome, weight float64) {
	s.outcomes[o] += weight
	switch {
	case o == 0 || o == Overdue:
	case isFirst(o):
		s.first += weight
	default:
		s.last += weight
	}
}

// share returns the chance of an outcome among those that are observed at the same age of a request.
func (s *state) share(o Outcome) float64 {
	all := s.last
	if isFirst(o) {
		all = s.first
	}
	return min(max(s.outcomes[o]/all, minShare), 1)
}

// minShare keeps an outcome that was never observed in a state from being a proof against it.
const minShare = 0.002

// forget bounds the weight of what was observed long ago.
func (s *state) forget() {
	if s.first+s.last > maxRequests {
		for o := range s.outcomes {
			s.outcomes[o] /= 2
		}
		s.first, s.last = s.first/2, s.last/2
	}
	if s.exits > maxExits {
		s.exits, s.seconds = s.exits/2, s.seconds/2
	}
}

// exitRate returns the rate of changes to the other state, per second.
func (s *state) exitRate() float64 {
	return min(max(s.exits/s.seconds, 1.0/maxStateSeconds), 1.0/minStateSeconds)
}

// Durations returns the mean duration of the healthy and of the failing state, as learned.
func (m *Model) Durations() (healthy, failing time.Duration) {
	return durationOf(m.healthy.exitRate()), durationOf(m.failing.exitRate())
}

func durationOf(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}

// FailsEarly reports whether requests to failing endpoints are known to fail early, mostly. Only then is
// a request that goes on a sign of health, and a failure costs one that can be retried hardly any time.
// It is known long before the shares of outcomes are, which wait for what comes after each outcome.
func (m *Model) FailsEarly() bool {
	return m.earlyFailures > m.lateFailures
}

// noteFailure counts a failure by when it came. after is the chance after it that the endpoint is healthy.
func (m *Model) noteFailure(o Outcome, after float64) {
	switch o {
	case FailedEarly, BrokenEarly:
		m.earlyFailures += 1 - after
	case Failed, Broken, Overdue:
		m.lateFailures += 1 - after
	}
	if m.earlyFailures+m.lateFailures > maxFailures {
		m.earlyFailures, m.lateFailures = m.earlyFailures/2, m.lateFailures/2
	}
}

// likelihood returns the chances of an outcome while an endpoint is healthy and while it is failing.
// Those of a refusal are not learned: a whole service that sheds load would teach that its endpoints
// fail, and its requests would be rejected though many of them would be served.
func (m *Model) likelihood(o Outcome) (healthy, failing float64) {
	if o == RefusedEarly || o == Refused {
		return refusedHealthy, refusedFailing
	}
	return m.healthy.share(o), m.failing.share(o)
}

// change returns the chances that an endpoint that is healthy is failing after a time, and the other
// way round.
func (m *Model) change(seconds float64) (toFailing, toHealthy float64) {
	if seconds <= 0 {
		return 0, 0
	}
	changed := 1 - math.Exp(-m.changeRate*seconds)
	return changed * (1 - m.prior), changed * m.prior
}
