package health

import "time"

// Cause says what a score speaks of.
type Cause uint8

// Causes of a removal.
const (
	CauseFailures Cause = iota // Requests fail.
	CauseSlowness              // Answers are late.
)

// String returns the word that logs use.
func (c Cause) String() string {
	if c == CauseFailures {
		return "failures"
	}
	return "slowness"
}

// causes is the number of causes.
const numCauses = 2

// The sequential tests on an endpoint. Two look for failures, since one alternative
// cannot be near both an endpoint that fails some of its work and one that fails all.
const (
	testSomeFail = iota
	testMostFail
	testSlow
	numTests
)

// causeOf returns what a test speaks of.
func causeOf(test int) Cause {
	if test == testSlow {
		return CauseSlowness
	}
	return CauseFailures
}

// totals count the requests of one endpoint since it was first seen.
type totals struct {
	requests  float64
	failures  float64
	answers   float64
	residuals float64 // Sum over the answers.
	slowGain  float64 // Sum over the answers, in nats.
}

func (t totals) minus(earlier totals) totals {
	return totals{
		requests:  t.requests - earlier.requests,
		failures:  t.failures - earlier.failures,
		answers:   t.answers - earlier.answers,
		residuals: t.residuals - earlier.residuals,
		slowGain:  t.slowGain - earlier.slowGain,
	}
}

// cusum is a cumulative-sum test: the sum of gains since it was last zero.
type cusum struct {
	score     float64
	byCarrier []float64 // Part of each carrier in score.
	// marks hold the totals of every endpoint from the time at which score rose over
	// a quarter of the limit; nil while it is below.
	snapshot []totals
	// growth is what the score may still grow by at the time grownAt, if it is bounded.
	growthLeft float64
	growthAt   time.Time
}

// Bounds of the growth of the slowness test, in limits. Requests that run at the same
// time share a short stall, and so do not speak for themselves.
const (
	growthBurst     = 0.25
	growthPerSecond = 0.8
)

// boundGrowth returns as much of a gain as the score may grow by at this time.
func (c *cusum) limitGrowth(now time.Time, gain, limit float64) float64 {
	burst := growthBurst * limit
	if c.growthAt.IsZero() {
		c.growthLeft = burst
	} else {
		c.growthLeft = min(c.growthLeft+now.Sub(c.growthAt).Seconds()*growthPerSecond*limit, burst)
	}
	c.growthAt = now
	if gain <= 0 {
		return gain
	}
	gain = min(gain, c.growthLeft)
	c.growthLeft -= gain
	return gain
}

func (c *cusum) add(gain float64, carrier int, limit float64) {
	c.score += gain
	c.byCarrier[carrier] += gain
	if c.score <= 0 {
		c.reset()
		return
	}
	if highest := scoreCap * limit; c.score > highest {
		c.scale(highest / c.score)
	}
}

// scoreCap bounds a score, in limits, so that an endpoint that recovers is seen to.
const scoreCap = 2.0

func (c *cusum) scale(factor float64) {
	c.score *= factor
	for i := range c.byCarrier {
		c.byCarrier[i] *= factor
	}
}

func (c *cusum) reset() {
	c.score = 0
	c.snapshot = nil
	clear(c.byCarrier)
}

// withoutLargest returns the score without the carrier that contributed most to it.
func (c *cusum) scoreWithoutLargest() float64 {
	largest := 0.0
	for _, part := range c.byCarrier {
		largest = max(largest, part)
	}
	return c.score - largest
}

// scope is what a judge knows of one endpoint from all carriers, or from those of one zone.
type scope struct {
	averages averages
	totals   totals
	tests    [numTests]cusum
}

func newScope(carriers int) scope {
	var s scope
	for i := range s.tests {
		s.tests[i].byCarrier = make([]float64, carriers)
	}
	return s
}

// observe takes one carrier's report into the scope.
func (s *scope) observe(now time.Time, c baseline, r Report, carrier int, limit float64) {
	requests, failures := float64(r.Requests), float64(r.Failures)
	for test, extraShare := range extraFailureShares {
		failed, answered := failureGains(c.failureRate, extraShare)
		s.tests[test].add(failures*failed+(requests-failures)*answered, carrier, limit)
	}
	s.averages.addRequests(requests, failures)
	s.totals.requests += requests
	s.totals.failures += failures
	slow := 0.0
	for i := 0; i+1 < len(r.Latency); i += 2 {
		count := float64(r.Latency[i+1])
		residual := c.residual(r.Latency[i])
		slow += count * c.slowGain(residual)
		s.averages.addAnswers(count, logOfBin(r.Latency[i]))
		s.totals.answers += count
		s.totals.residuals += count * residual
	}
	s.totals.slowGain += slow
	if c.latencyKnown {
		test := &s.tests[testSlow]
		test.add(test.limitGrowth(now, slow, limit), carrier, limit)
	}
}

// resetTests forgets what the tests have summed up.
func (s *scope) resetTests() {
	for i := range s.tests {
		s.tests[i].reset()
	}
}
