package health

import "time"

// Bounds of the sequential test on trial requests.
const (
	trialSickLimit    = 3.0 // Nats: sick again.
	trialHealthyLimit = 2.5 // Nats, for each cause: healthy.
	minTrials         = 5
	maxTrialGain      = 3.0
)

// trialPatience is the time without a trial request after which an endpoint returns
// untested: its service may have no requests that can be repeated.
const trialPatience = time.Minute

// trialTurn is the time for which one group of carriers may send trial requests.
const trialTurn = 5 * time.Second

// tickProbation starts trial requests when the hold time is over.
func (j *Judge) tickProbation(now time.Time, t *tracked) {
	r := &t.removal
	if !t.removed() || now.Before(r.mayReturn) {
		return
	}
	if r.state != StateTrial {
		r.state = StateTrial
		r.resetTrials()
		r.lastTrial = now
		j.note(now, t, ActionTrial)
		return
	}
	if now.Sub(r.lastTrial) >= trialPatience {
		j.restore(now, t)
	}
}

// observeTrial takes one carrier's report on trial requests.
func (j *Judge) observeTrial(now time.Time, t *tracked, carrier int, report Report) {
	if t.removal.state != StateTrial || !j.outFor(t, j.zoneOf[carrier]) {
		return
	}
	t.removal.lastTrial = now
	j.addTrial(t, report)
	if t.removal.trialSick() {
		j.relapse(now, t)
		return
	}
	if t.removal.trialHealthy() {
		j.restore(now, t)
	}
}

// observeAtFloor takes requests to an endpoint that only the floor keeps in service: it may show itself healthy.
func (j *Judge) observeAtFloor(now time.Time, t *tracked, report Report) {
	if !t.removal.atFloor {
		return
	}
	j.addTrial(t, report)
	if t.removal.trialSick() {
		t.removal.resetTrials()
		t.removal.lastTrial = now
	}
	if t.removal.trialHealthy() {
		j.restore(now, t)
	}
}

func (j *Judge) addTrial(t *tracked, report Report) {
	c := j.centres[0]
	r := &t.removal
	failed, answered := failureGains(c.failureRate, failureSteps[testSomeFail])
	requests, failures := float64(report.Requests), float64(report.Failures)
	r.trials += int(report.Requests)
	r.trial[CauseFailures] += clampTrial(failures*failed + (requests-failures)*answered)
	for i := 0; i+1 < len(report.Latency); i += 2 {
		gain := float64(report.Latency[i+1]) * c.slowGain(c.residual(report.Latency[i]))
		r.trial[CauseSlowness] += clampTrial(gain)
	}
}

// trialSick reports whether the trial requests show the endpoint sick.
func (r *removal) trialSick() bool {
	return r.trial[CauseFailures] >= trialSickLimit || r.trial[CauseSlowness] >= trialSickLimit
}

// trialHealthy reports whether the trial requests show the endpoint healthy.
func (r *removal) trialHealthy() bool {
	if r.trials < minTrials {
		return false
	}
	return r.trial[CauseFailures] <= -trialHealthyLimit && r.trial[CauseSlowness] <= -trialHealthyLimit
}

func clampTrial(gain float64) float64 {
	return min(max(gain, -maxTrialGain), maxTrialGain)
}

// relapse holds an endpoint back for longer.
func (j *Judge) relapse(now time.Time, t *tracked) {
	r := &t.removal
	r.cause = CauseFailures
	if r.trial[CauseSlowness] > r.trial[CauseFailures] {
		r.cause = CauseSlowness
	}
	r.score = max(r.trial[CauseSlowness], r.trial[CauseFailures])
	r.state = StateEjected
	if r.zones != nil {
		r.state = StateAvoided
	}
	r.mayReturn = now.Add(j.hold(t))
	r.resetTrials()
	j.note(now, t, ActionRelapse)
	r.strikes = min(r.strikes+1, maxStrikes)
}

// restore returns an endpoint to service.
func (j *Judge) restore(now time.Time, t *tracked) {
	j.note(now, t, ActionReturn)
	t.resetTests()
	t.removal = removal{state: StateOpen, strikes: t.removal.strikes, returned: now}
}

// takesTrials reports whether it is a carrier's turn to send trial requests to an endpoint.
func (j *Judge) takesTrials(now time.Time, t *tracked, carrier int) bool {
	group := max(t.upstream.Slots, 2)
	turn := int(now.Sub(t.removal.mayReturn) / trialTurn)
	carriers := len(j.assignment.Carriers)
	return (carrier+turn*group)%carriers < group
}
