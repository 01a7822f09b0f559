package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Weights of an endpoint's score, in parts of one request's credit. A response within the
// objective earns the full credit of 1.
const (
	// lateCredit is the credit of a response that comes after the objective.
	lateCredit = 0.5
	// loadCost prefers the less loaded of equal endpoints; endpoints slow down when nearly full.
	loadCost = 0.015
	// queueCost is subtracted for each baseline latency that a request would wait for a slot.
	queueCost = 0.05
	// retrySuccessChance is the chance that a retry is served, if one is allowed.
	retrySuccessChance = 0.7
	// newEndpointBonus attracts a first request to an endpoint that was added.
	newEndpointBonus = 0.3
	// scoreJitter keeps instances with the same view from making the same choice.
	scoreJitter = 0.004
	// unprovenChance is the chance below which an endpoint is tried by one request at a time.
	unprovenChance = 0.85
	// unprovenCost is subtracted for each request in flight at an unproven endpoint.
	unprovenCost = 0.1
	// minPreference is the least factor to which load and queue costs reduce a score.
	minPreference = 0.2
	// minSuccessChance is the chance of a response below which a request that is not idempotent
	// is rejected without being sent: a rejection that says so serves the caller better than an
	// almost certain failure.
	minSuccessChance = 0.05
	// warmUpFactor is how many times longer a request takes at an endpoint that is warming up.
	warmUpFactor = 2
)

const (
	// healthyChance is the chance from which an endpoint counts as healthy. Most healthy
	// endpoints are to be in use at any time: when instances fail, their requests count as unserved.
	healthyChance = 0.45
	// useInterval is how often each healthy endpoint gets a request that cannot be retried while
	// too few are in use, well within the two seconds over which use is judged.
	useInterval = 1400 * time.Millisecond
	// probeChance and probeInterval take the place of healthyChance and useInterval for requests
	// that can be retried, however many endpoints are in use: a failure costs them only a retry.
	probeChance   = 0.35
	probeInterval = 900 * time.Millisecond
	// otherZoneFactor is how many times longer an endpoint of another zone is left to the instances there.
	otherZoneFactor = 3
	// spreadUnservedShare is the share of unserved requests above which endpoints are used
	// whatever their chance, while too few are in use. The objective is that most of them are in
	// use from a share of a tenth on.
	spreadUnservedShare = 0.08
	// spreadMargin is added to the share of endpoints that is then to be in use.
	spreadMargin = 0.05
	// inUseWindow is how long an endpoint counts as in use after a request, well within the two
	// seconds over which use is judged.
	inUseWindow = 1500 * time.Millisecond
	// minSpreadSamples is the minimum number of requests from which the unserved share is computed.
	minSpreadSamples = 10
	// failureBackoff is how long a failed endpoint is avoided even while requests are spread.
	failureBackoff = 1800 * time.Millisecond
)

// candidate is an endpoint with its score for one request.
type candidate struct {
	endpoint        *endpointState
	chance          float64
	expectedLatency time.Duration // Queueing included.
	score           float64       // Expected credit.
}

// choose returns the best endpoint for a request; ok is false if none is usable. An endpoint of which only
// other instances know that it is leaving is chosen if there is no other, as it still serves for a while, but for a
// hedge, which can do without.
func (m *Machine) choose(now time.Time, s *service, r *Request) (best candidate, ok bool) {
	highUnserved := s.highUnserved(now)
	// Requests that can be retried probe endpoints however many are in use, so that the share in use
	// is computed for them only while many requests go unserved.
	tooFewInUse := (highUnserved || !r.retryable) && s.inUseShare(now) < m.cfg.FloorShare+spreadMargin
	spread := tooFewInUse && highUnserved
	// Requests that can be retried also confirm that endpoints are healthy, so that the others, which
	// have one attempt, know where to go. Where failing endpoints hang, they would be late.
	scouts := r.retryable && s.health.FailsEarly()
	var due, scout, leaving candidate
	f := s.figures()
	for _, e := range s.endpoints {
		if !m.usable(now, e, r) || e.limit != nil && !m.drawsRoom(now, s, e.limit, r) {
			continue
		}
		c := m.evaluate(now, s, &f, e, r)
		if r.Hedge && !c.mayHedge() {
			continue
		}
		if e.leaving == leavingReported {
			if !r.Hedge && (leaving.endpoint == nil || c.score > leaving.score) {
				leaving = c
			}
			continue
		}
		if !ok || c.score > best.score {
			best, ok = c, true
		}
		if !r.Retry && c.due(now, r.retryable || tooFewInUse, spread, r.retryable, m.usedByOtherZone(e)) && (due.endpoint == nil || c.score > due.score) {
			due = c
		}
		if scouts && c.mayScout() && !m.usedByOtherZone(e) && (scout.endpoint == nil || c.chance < scout.chance) {
			scout = c
		}
	}
	if due.endpoint == nil {
		due = scout
	}
	if due.endpoint != nil && due.expectedLatency < r.Deadline.Sub(now) {
		return due, true
	}
	if !ok && leaving.endpoint != nil {
		return leaving, true
	}
	return best, ok
}

// mayScout reports whether a request that can be retried may confirm that the endpoint is healthy.
func (c *candidate) mayScout() bool {
	return c.chance >= unprovenChance && c.endpoint.inFlight < c.endpoint.Slots
}

// mayHedge reports whether the endpoint has a slot to spare for a request that another attempt may serve.
func (c *candidate) mayHedge() bool {
	return c.chance >= healthyChance && c.endpoint.inFlight < c.endpoint.Slots-1
}

// tooUnlikely reports whether a request is better rejected than sent to its best endpoint.
func (c *candidate) tooUnlikely(timeLeft time.Duration, idempotent bool) bool {
	inTime := chanceWithin(timeLeft, c.expectedLatency)
	return inTime == 0 || !idempotent && c.chance*inTime < minSuccessChance
}

// due reports whether an endpoint is to be used because it has not been used for an interval. With
// tryHealthy it is due if its chance is high enough, with spread whatever its chance, unless it
// has just failed.
func (c *candidate) due(now time.Time, tryHealthy, spread, retryable, otherZone bool) bool {
	minChance, interval := healthyChance, useInterval
	if retryable {
		minChance, interval = probeChance, probeInterval
	}
	if otherZone && !spread {
		interval *= otherZoneFactor
	}
	if now.Sub(c.endpoint.lastUsed) < interval {
		return false
	}
	return tryHealthy && c.chance >= minChance || spread && now.Sub(c.endpoint.lastFailed) > failureBackoff
}

// usedByOtherZone reports whether an endpoint is in another zone that has instances to use it.
func (m *Machine) usedByOtherZone(e *endpointState) bool {
	return e.Zone != m.cfg.Zone && m.peersByZone[e.Zone] > 0
}

// highUnserved reports whether so many requests go unserved that most endpoints are to be used.
func (s *service) highUnserved(now time.Time) bool {
	share, n := s.unservedShare(now)
	return n >= minSpreadSamples && share > spreadUnservedShare
}

// inUseShare returns the share of the endpoints that have been used recently. One that has just
// failed is not counted at all: by the objective it is not a healthy endpoint.
func (s *service) inUseShare(now time.Time) float64 {
	used, total := 0, 0
	for _, e := range s.endpoints {
		if !e.accepts(now) || e.leaving != notLeaving || now.Sub(e.lastFailed) <= failureBackoff {
			continue
		}
		total++
		if now.Sub(e.lastUsed) < inUseWindow {
			used++
		}
	}
	return float64(used) / float64(max(total, 1))
}

// usable reports whether a request may go to an endpoint at all.
func (m *Machine) usable(now time.Time, e *endpointState, r *Request) bool {
	return e.accepts(now) && !now.Before(e.reach.backoffUntil) && !slices.Contains(r.Tried, e.ID)
}

// evaluate scores an endpoint for a request. Load and queue costs scale the expected credit, so
// that a healthy endpoint goes before a failing one however loaded it is.
func (m *Machine) evaluate(now time.Time, s *service, f *figures, e *endpointState, r *Request) candidate {
	e.settle(s, now, f.earlyLimit)
	c := candidate{endpoint: e, chance: e.estimate.At(s.health, now)}
	latency := e.latency.withPrior(f.baseline)
	if now.Before(e.WarmUpEnd) {
		latency *= warmUpFactor
	}
	wait := queueDelay(e, latency)
	c.expectedLatency = latency + wait
	preference := 1 - loadCost*float64(e.inFlight)/float64(e.Slots) - queueCost*wait.Seconds()/latency.Seconds()
	if c.chance < unprovenChance && !r.Idempotent {
		preference -= unprovenCost * float64(e.inFlight)
	}
	c.score = m.eventualChance(c.chance, r) * credit(r, now, latency, wait, f) * max(preference, minPreference)
	c.score -= r.CrossZoneCost * m.crossZoneChance(e, c.chance, r)
	if e.lastUsed.IsZero() && now.After(e.WarmUpEnd) && now.Sub(e.addedAt) > time.Second {
		c.score += newEndpointBonus
	}
	c.score += scoreJitter * rand.New(m.random).Float64()
	return c
}

// eventualChance returns the chance that a request is served in the end: if the first attempt
// of an idempotent one fails, mostly at once, it is retried elsewhere.
func (m *Machine) eventualChance(chance float64, r *Request) float64 {
	if !r.retryable {
		return chance
	}
	return chance + (1-chance)*retrySuccessChance
}

// crossZoneChance returns the chance that a request's response comes from another zone: from
// this endpoint, or from a retry, which may go to any zone.
func (m *Machine) crossZoneChance(e *endpointState, chance float64, r *Request) float64 {
	if e.Zone != m.cfg.Zone {
		return chance
	}
	if !r.retryable {
		return 0
	}
	return (1 - chance) * retrySuccessChance
}

// queueDelay returns how long a request waits for a slot.
func queueDelay(e *endpointState, latency time.Duration) time.Duration {
	ahead := e.inFlight - e.Slots + 1
	if ahead <= 0 {
		return 0
	}
	return latency * time.Duration(ahead) / time.Duration(e.Slots)
}

// credit returns the expected part of a request's credit that a response earns after a wait for a slot
// and a latency of the given mean.
func credit(r *Request, now time.Time, latency, wait time.Duration, f *figures) float64 {
	onTime := f.chanceOfLatency(r.Objective.Sub(now)-wait, latency)
	served := f.chanceOfLatency(r.Deadline.Sub(now)-wait, latency)
	return lateCredit*served + (1-lateCredit)*min(onTime, served)
}

// chanceOfLatency returns the chance that a log-normal latency of the given mean and of the service's
// spread is at most within.
func (f *figures) chanceOfLatency(within, mean time.Duration) float64 {
	ratio := float64(within) / float64(max(mean, time.Millisecond))
	switch {
	case ratio <= 0:
		return 0
	case ratio >= f.certain:
		return 1
	}
	deviations := (math.Log(ratio) + f.spread*f.spread/2) / f.spread
	return 0.5 * math.Erfc(-deviations/math.Sqrt2)
}

// minLatencyRatio is the ratio of available time to expected latency up to which a response counts as impossible.
const minLatencyRatio = 0.6

// chanceWithin returns a cautious chance that a response with an expected latency comes within a
// time, by which requests are rejected: it falls from 1 at 1.8 times the expected latency to 0 at 0.6.
func chanceWithin(within, expectedLatency time.Duration) float64 {
	const certain = 1.8
	ratio := float64(within) / float64(max(expectedLatency, time.Millisecond))
	return min(max((ratio-minLatencyRatio)/(certain-minLatencyRatio), 0), 1)
}
