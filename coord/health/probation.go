package health

import "time"

// Parameters of the sequential test on trial requests.
const (
	trialUnhealthyLimit = 3.0 // Nats: still unhealthy.
	trialHealthyLimit   = 2.5 // Nats, for each cause: healthy.
	minTrials           = 5
	maxTrialGain        = 3.0
)

// trialTimeout is the time without a trial request after which an endpoint returns to service
// untested: its service may have no requests that can be retried.
const trialTimeout = time.Minute

// trialRotation is the time for which one group of carriers may send trial requests.
const trialRotation = 5 * time.Second

// advanceProbation starts trial requests when the hold time is over, and restores an endpoint that gets none.
func (ev *Evaluator) advanceProbation(now time.Time, ep *endpointState) {
	r := &ep.removal
	if !ep.removed() || now.Before(r.mayReturn) {
		return
	}
	if r.state != StateTrial {
		r.state = StateTrial
		r.resetTrials()
		r.lastTrial = now
		ev.recordTransition(now, ep, ActionTrial)
		return
	}
	if now.Sub(r.lastTrial) >= trialTimeout {
		ev.restore(now, ep)
	}
}

// observeTrial adds one carrier's report on trial requests, which may end or prolong the removal.
func (ev *Evaluator) observeTrial(now time.Time, ep *endpointState, carrier int, report Report) {
	if ep.removal.state != StateTrial || !ev.outForZone(ep, ev.zoneOf[carrier]) {
		return
	}
	ep.removal.lastTrial = now
	ev.addTrial(ep, report)
	if ep.removal.trialsUnhealthy() {
		ev.extendHold(now, ep)
		return
	}
	if ep.removal.trialsHealthy() {
		ev.restore(now, ep)
	}
}

// observeAtFloor counts requests to an endpoint that only the floor keeps in service as trial
// requests, so that the endpoint can recover.
func (ev *Evaluator) observeAtFloor(now time.Time, ep *endpointState, report Report) {
	if !ep.removal.atFloor {
		return
	}
	ev.addTrial(ep, report)
	if ep.removal.trialsUnhealthy() {
		ep.removal.resetTrials()
		ep.removal.lastTrial = now
	}
	if ep.removal.trialsHealthy() {
		ev.restore(now, ep)
	}
}

func (ev *Evaluator) addTrial(ep *endpointState, report Report) {
	b := ev.baselines[0]
	r := &ep.removal
	failed, answered := failureGains(b.failureRate, extraFailureShares[testSomeFail])
	requests, failures := float64(report.Requests), float64(report.Failures)
	r.trialRequests += int(report.Requests)
	r.trialScores[CauseFailures] += clampTrial(failures*failed + (requests-failures)*answered)
	for i := 0; i+1 < len(report.Latency); i += 2 {
		gain := float64(report.Latency[i+1]) * b.slowGain(b.residual(report.Latency[i]))
		r.trialScores[CauseSlowness] += clampTrial(gain)
	}
}

// trialsUnhealthy reports whether the trial requests show the endpoint unhealthy.
func (r *removal) trialsUnhealthy() bool {
	return r.trialScores[CauseFailures] >= trialUnhealthyLimit || r.trialScores[CauseSlowness] >= trialUnhealthyLimit
}

// trialsHealthy reports whether the trial requests show the endpoint healthy.
func (r *removal) trialsHealthy() bool {
	if r.trialRequests < minTrials {
		return false
	}
	return r.trialScores[CauseFailures] <= -trialHealthyLimit && r.trialScores[CauseSlowness] <= -trialHealthyLimit
}

func clampTrial(gain float64) float64 {
	return min(max(gain, -maxTrialGain), maxTrialGain)
}

// extendHold keeps an endpoint out of service for a longer time after failed trial requests.
func (ev *Evaluator) extendHold(now time.Time, ep *endpointState) {
	r := &ep.removal
	r.cause = CauseFailures
	if r.trialScores[CauseSlowness] > r.trialScores[CauseFailures] {
		r.cause = CauseSlowness
	}
	r.score = max(r.trialScores[CauseSlowness], r.trialScores[CauseFailures])
	r.state = StateEjected
	if r.zones != nil {
		r.state = StateAvoided
	}
	r.mayReturn = now.Add(ev.holdDuration(ep))
	r.resetTrials()
	ev.recordTransition(now, ep, ActionRelapse)
	r.holdDoublings = min(r.holdDoublings+1, maxHoldDoublings)
}

// restore returns an endpoint to service.
func (ev *Evaluator) restore(now time.Time, ep *endpointState) {
	ev.recordTransition(now, ep, ActionReturn)
	ep.resetTests()
	ep.removal = removal{state: StateInService, holdDoublings: ep.removal.holdDoublings, returned: now}
}

// sendsTrials reports whether a carrier is in the group that may send trial requests to an endpoint now.
func (ev *Evaluator) sendsTrials(now time.Time, ep *endpointState, carrier int) bool {
	group := max(ep.upstream.Slots, 2)
	turn := int(now.Sub(ep.removal.mayReturn) / trialRotation)
	carriers := len(ev.assignment.Carriers)
	return (carrier+turn*group)%carriers < group
}
