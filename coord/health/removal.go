package health

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Action is what a judge decided on an endpoint.
type Action string

// Actions of a judge.
const (
	ActionEject   Action = "eject"   // Out of service everywhere.
	ActionAvoid   Action = "avoid"   // Out of service for some zones.
	ActionTrial   Action = "trial"   // Trial requests may start.
	ActionRelapse Action = "relapse" // Trial requests showed it sick; its hold time grows.
	ActionReturn  Action = "return"  // Back in service.
)

// Decision is one decision of a judge with the figures that led to it.
type Decision struct {
	At        time.Time      `json:"at"`
	Service   fleet.Service  `json:"service"`
	Endpoint  fleet.Endpoint `json:"endpoint"`
	Action    Action         `json:"action"`
	Cause     string         `json:"cause"`
	Zones     []fleet.Zone   `json:"zones,omitempty"` // Empty for all.
	Score     float64        `json:"score"`           // In nats.
	Limit     float64        `json:"limit"`           // In nats.
	Budget    int            `json:"budget"`          // Slots that the judge may hold in ejections.
	Heard     int            `json:"heard"`           // Carriers that the budget rests on.
	Carriers  int            `json:"carriers"`
	Hold      time.Duration  `json:"hold"` // Time until trial requests.
	MayReturn time.Time      `json:"may_return"`
}

// maxDecisions bounds the decisions that wait for Decisions.
const maxDecisions = 1024

// Decisions returns the decisions since the last call.
func (j *Judge) Decisions() []Decision {
	taken := j.decisions
	j.decisions = nil
	return taken
}

func (j *Judge) note(now time.Time, t *tracked, action Action) {
	if len(j.decisions) >= maxDecisions {
		return
	}
	budget, heard := j.Budget(now)
	j.decisions = append(j.decisions, Decision{
		At:        now,
		Service:   j.params.Service,
		Endpoint:  t.upstream.Endpoint,
		Action:    action,
		Cause:     t.removal.cause.String(),
		Zones:     t.removal.zones,
		Score:     t.removal.score,
		Limit:     j.operating.Limit,
		Budget:    budget,
		Heard:     heard,
		Carriers:  len(j.assignment.Carriers),
		Hold:      j.hold(t),
		MayReturn: t.removal.mayReturn,
	})
}

// hold returns the time that an endpoint stays out before trial requests: it doubles with each strike.
func (j *Judge) hold(t *tracked) time.Duration {
	hold := j.cfg.Hold
	for range t.removal.strikes {
		hold = min(2*hold, j.cfg.HoldMax)
	}
	return hold
}

// remove takes an endpoint out of service for some zones, or for all when zones is nil.
func (j *Judge) remove(now time.Time, t *tracked, zones []fleet.Zone, cause Cause, score float64) {
	again := t.removed()
	if !again {
		j.forgive(now, t)
	}
	r := &t.removal
	r.zones = zones
	r.cause = cause
	r.score = score
	r.since = now
	r.mayReturn = now.Add(j.hold(t))
	r.resetTrials()
	r.state = StateEjected
	action := ActionEject
	if zones != nil {
		r.state = StateAvoided
		action = ActionAvoid
	}
	j.note(now, t, action)
	if !again {
		r.strikes = min(r.strikes+1, maxStrikes)
	}
}

// maxStrikes bounds the doublings of a hold time.
const maxStrikes = 16

// forgive undoes one strike for each Forgive of service without an ejection.
func (j *Judge) forgive(now time.Time, t *tracked) {
	r := &t.removal
	if r.returned.IsZero() {
		return
	}
	undone := int(now.Sub(r.returned) / j.cfg.Forgive)
	r.strikes = max(r.strikes-undone, 0)
}

func (r *removal) resetTrials() {
	r.trial = [causes]float64{}
	r.trials = 0
	r.lastTrial = time.Time{}
}
