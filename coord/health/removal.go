package health

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Action is the kind of a Transition.
type Action string

// Actions of an evaluator.
const (
	ActionEject   Action = "eject"   // Out of service in all zones.
	ActionAvoid   Action = "avoid"   // Out of service for some zones.
	ActionTrial   Action = "trial"   // Trial requests may start.
	ActionRelapse Action = "relapse" // Trial requests showed it unhealthy; its hold time grows.
	ActionReturn  Action = "return"  // Back in service.
)

// Transition is a change of an endpoint's state at the evaluator, with the figures that led to it.
type Transition struct {
	At        time.Time      `json:"at"`
	Service   fleet.Service  `json:"service"`
	Endpoint  fleet.Endpoint `json:"endpoint"`
	Action    Action         `json:"action"`
	Cause     string         `json:"cause"`
	Zones     []fleet.Zone   `json:"zones,omitempty"` // Empty for all.
	Score     float64        `json:"score"`           // In nats.
	Limit     float64        `json:"limit"`           // In nats.
	Budget    int            `json:"budget"`          // Slots that the evaluator may remove.
	Votes     int            `json:"heard"`           // Carriers with a valid vote for the evaluator.
	Carriers  int            `json:"carriers"`
	Hold      time.Duration  `json:"hold"` // Time until trial requests.
	MayReturn time.Time      `json:"may_return"`
}

// maxTransitions bounds the transitions kept for Transitions; later ones are dropped.
const maxTransitions = 1024

// Transitions returns the transitions since the last call.
func (ev *Evaluator) Transitions() []Transition {
	taken := ev.transitions
	ev.transitions = nil
	return taken
}

func (ev *Evaluator) recordTransition(now time.Time, ep *endpointState, action Action) {
	if len(ev.transitions) >= maxTransitions {
		return
	}
	budget, votes := ev.Budget(now)
	ev.transitions = append(ev.transitions, Transition{
		At:        now,
		Service:   ev.params.Service,
		Endpoint:  ep.upstream.Endpoint,
		Action:    action,
		Cause:     ep.removal.cause.String(),
		Zones:     ep.removal.zones,
		Score:     ep.removal.score,
		Limit:     ev.operating.Limit,
		Budget:    budget,
		Votes:     votes,
		Carriers:  len(ev.assignment.Carriers),
		Hold:      ev.holdDuration(ep),
		MayReturn: ep.removal.mayReturn,
	})
}

// holdDuration returns the time that an endpoint stays out of service before trial requests. It
// doubles with each removal and each failed trial, up to Config.HoldMax.
func (ev *Evaluator) holdDuration(ep *endpointState) time.Duration {
	hold := ev.cfg.Hold
	for range ep.removal.holdDoublings {
		hold = min(2*hold, ev.cfg.HoldMax)
	}
	return hold
}

// remove takes an endpoint out of service for some zones, or for all when zones is nil.
func (ev *Evaluator) remove(now time.Time, ep *endpointState, zones []fleet.Zone, cause Cause, score float64) {
	alreadyRemoved := ep.removed()
	if !alreadyRemoved {
		ev.decayHold(now, ep)
	}
	r := &ep.removal
	r.zones = zones
	r.cause = cause
	r.score = score
	r.since = now
	r.mayReturn = now.Add(ev.holdDuration(ep))
	r.resetTrials()
	r.state = StateEjected
	action := ActionEject
	if zones != nil {
		r.state = StateAvoided
		action = ActionAvoid
	}
	ev.recordTransition(now, ep, action)
	if !alreadyRemoved {
		r.holdDoublings = min(r.holdDoublings+1, maxHoldDoublings)
	}
}

// maxHoldDoublings bounds the doublings of a hold time.
const maxHoldDoublings = 16

// decayHold undoes one doubling for each Config.HoldDecay in service since the last return.
func (ev *Evaluator) decayHold(now time.Time, ep *endpointState) {
	r := &ep.removal
	if r.returned.IsZero() {
		return
	}
	undone := int(now.Sub(r.returned) / ev.cfg.HoldDecay)
	r.holdDoublings = max(r.holdDoublings-undone, 0)
}

func (r *removal) resetTrials() {
	r.trialScores = [numCauses]float64{}
	r.trialRequests = 0
	r.lastTrial = time.Time{}
}
