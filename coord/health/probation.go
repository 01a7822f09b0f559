package health

import "time"

// Bounds of the sequential test on trial requests.
const (
	trialUnhealthyLimit = 3.0 // Nats: sick again.
	trialHealthyLimit   = 2.5 // Nats, for each cause: healthy.
	minTrials           = 5
	maxTrialGain        = 3.0
)

// trialPatience is the time without a trial request after which an endpoint returns
// untested: its service may have no requests that can be repeated.
const trialTimeout = time.Minute

// trialTurn is the time for which one group of carriers may send trial requests.
const trialRotation = 5 * time.Second

// tickProbation starts trial requests when the hold time is over.
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

// observeTrial takes one carrier's report on trial requests.
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

// observeAtFloor takes requests to an endpoint that only the floor keeps in service: it may show itself healthy.
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
	c := ev.baselines[0]
	r := &ep.removal
	failed, answered := failureGains(c.failureRate, extraFailureShares[testSomeFail])
	requests, failures := float64(report.Requests), float64(report.Failures)
	r.trialRequests += int(report.Requests)
	r.trialScores[CauseFailures] += clampTrial(failures*failed + (requests-failures)*answered)
	for i := 0; i+1 < len(report.Latency); i += 2 {
		gain := float64(report.Latency[i+1]) * c.slowGain(c.residual(report.Latency[i]))
		r.trialScores[CauseSlowness] += clampTrial(gain)
	}
}

// trialSick reports whether the trial requests show the endpoint sick.
func (r *removal) trialsUnhealthy() bool {
	return r.trialScores[CauseFailures] >= trialUnhealthyLimit || r.trialScores[CauseSlowness] >= trialUnhealthyLimit
}

// trialHealthy reports whether the trial requests show the endpoint healthy.
func (r *removal) trialsHealthy() bool {
	if r.trialRequests < minTrials {
		return false
	}
	return r.trialScores[CauseFailures] <= -trialHealthyLimit && r.trialScores[CauseSlowness] <= -trialHealthyLimit
}

func clampTrial(gain float64) float64 {
	return min(max(gain, -maxTrialGain), maxTrialGain)
}

// relapse holds an endpoint back for longer.
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

// takesTrials reports whether it is a carrier's turn to send trial requests to an endpoint.
func (ev *Evaluator) sendsTrials(now time.Time, ep *endpointState, carrier int) bool {
	group := max(ep.upstream.Slots, 2)
	turn := int(now.Sub(ep.removal.mayReturn) / trialRotation)
	carriers := len(ev.assignment.Carriers)
	return (carrier+turn*group)%carriers < group
}
