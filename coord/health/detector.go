package health

import "time"

// Cause is the kind of failure that a test detects.
type Cause uint8

// Causes of a removal.
const (
	CauseFailures Cause = iota // Requests fail.
	CauseSlowness              // Answers are slow.
)

// String returns the name used in logs.
func (c Cause) String() string {
	if c == CauseFailures {
		return "failures"
	}
	return "slowness"
}

// numCauses is the number of causes.
const numCauses = 2

// The sequential tests on an endpoint. Two look for failures, since one alternative hypothesis
// cannot be close both to an endpoint that fails some requests and to one that fails all.
const (
	testSomeFail = iota
	testMostFail
	testSlow
	numTests
)

// causeOf returns the cause that a test detects.
func causeOf(test int) Cause {
	if test == testSlow {
		return CauseSlowness
	}
	return CauseFailures
}

// totals are the sums over the requests of one endpoint since it was first seen.
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

// cusum is a cumulative-sum test: score is the sum of the gains since it was last zero, and never negative.
type cusum struct {
	score     float64
	byCarrier []float64 // Contribution of each carrier to score.
	// snapshot holds the totals of every endpoint from when score reached snapshotShare of
	// the limit; nil while score is below it.
	snapshot []totals
	// growthLeft is how much the score may still grow at time growthAt, for a test whose
	// growth is limited.
	growthLeft float64
	growthAt   time.Time
}

// Token bucket for the growth of the slowness test, in multiples of the limit. A short stall
// slows all requests that run at the time, so they are not independent samples.
const (
	growthBurst     = 0.25
	growthPerSecond = 0.8
)

// limitGrowth returns the part of a gain that the score may grow by now.
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

// scoreCap bounds a score, in multiples of the limit, so that it falls soon after an endpoint recovers.
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

// scoreWithoutLargest returns the score without the carrier that contributed most to it.
func (c *cusum) scoreWithoutLargest() float64 {
	largest := 0.0
	for _, part := range c.byCarrier {
		largest = max(largest, part)
	}
	return c.score - largest
}

// scope holds the tests on one endpoint over the reports of all carriers, or of those of one zone.
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

// observe adds one carrier's report to the averages, totals and tests.
func (s *scope) observe(now time.Time, b baseline, r Report, carrier int, limit float64) {
	requests, failures := float64(r.Requests), float64(r.Failures)
	for test, extraShare := range extraFailureShares {
		failed, answered := failureGains(b.failureRate, extraShare)
		s.tests[test].add(failures*failed+(requests-failures)*answered, carrier, limit)
	}
	s.averages.addRequests(requests, failures)
	s.totals.requests += requests
	s.totals.failures += failures
	slow := 0.0
	for i := 0; i+1 < len(r.Latency); i += 2 {
		count := float64(r.Latency[i+1])
		residual := b.residual(r.Latency[i])
		slow += count * b.slowGain(residual)
		s.averages.addAnswers(count, logOfBin(r.Latency[i]))
		s.totals.answers += count
		s.totals.residuals += count * residual
	}
	s.totals.slowGain += slow
	if b.latencyKnown {
		test := &s.tests[testSlow]
		test.add(test.limitGrowth(now, slow, limit), carrier, limit)
	}
}

// resetTests sets the scores of all tests to zero.
func (s *scope) resetTests() {
	for i := range s.tests {
		s.tests[i].reset()
	}
}
