package health

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// decisionHistory is the number of decisions to one carrier whose time an evaluator keeps.
const decisionHistory = 16

// sentDecision records when an evaluator sent one decision.
type sentDecision struct {
	number uint64
	at     time.Time
}

// voter is an evaluator's state of one carrier.
type voter struct {
	sequence  uint64    // Of the newest evidence.
	voteUntil time.Time // The carrier's vote counts until then.
	decisions [decisionHistory]sentDecision
}

// recordAck extends the vote of a carrier that votes for the evaluator and has acknowledged a
// decision, by when that decision was sent.
func (v *voter) recordAck(number uint64, voteValidity time.Duration) {
	m := v.decisions[number%decisionHistory]
	if number == 0 || m.number != number {
		return
	}
	if until := m.at.Add(voteValidity); until.After(v.voteUntil) {
		v.voteUntil = until
	}
}

func (v *voter) recordDecision(now time.Time, number uint64) {
	v.decisions[number%decisionHistory] = sentDecision{number: number, at: now}
}

// ledger accounts for the slots that an evaluator's unexpired decisions remove, per zone of carriers.
//
// A decision may remove an endpoint that the last one did not only if its slots, with those
// of all endpoints in unexpired decisions, fit the current allowance: the slots that
// Evaluator.Budget returns. So the removals in force
// at any time fit an allowance whose votes are all still valid.
type ledger struct {
	charges map[fleet.Zone]map[EndpointKey]charge
	last    map[fleet.Zone]map[EndpointKey]struct{} // In the last decision.
}

// charge is the part of the budget that one endpoint uses, also after the platform's list drops the endpoint.
type charge struct {
	slots int
	until time.Time // All decisions that remove the endpoint have expired then.
}

func newLedger() ledger {
	return ledger{
		charges: make(map[fleet.Zone]map[EndpointKey]charge),
		last:    make(map[fleet.Zone]map[EndpointKey]struct{}),
	}
}

// expire drops the charges of endpoints that no unexpired decision removes.
func (l *ledger) expire(now time.Time) {
	for zone, zoneCharges := range l.charges {
		for key, c := range zoneCharges {
			if !now.Before(c.until) {
				delete(zoneCharges, key)
			}
		}
		if len(zoneCharges) == 0 {
			delete(l.charges, zone)
		}
	}
}

// reservation gathers the endpoints that one decision removes.
type reservation struct {
	ledger    *ledger
	allowance int
	reserved  map[fleet.Zone]map[EndpointKey]int // Slots of each endpoint.
}

func (l *ledger) begin(allowance int) *reservation {
	return &reservation{ledger: l, allowance: allowance, reserved: make(map[fleet.Zone]map[EndpointKey]int)}
}

// add reserves an endpoint's slots for the carriers of some zones, and reports whether they fit the allowance.
func (r *reservation) add(key EndpointKey, slots int, zones []fleet.Zone) bool {
	for _, zone := range zones {
		if !r.fits(key, slots, zone) {
			return false
		}
	}
	for _, zone := range zones {
		if r.reserved[zone] == nil {
			r.reserved[zone] = make(map[EndpointKey]int)
		}
		r.reserved[zone][key] = slots
	}
	return true
}

func (r *reservation) fits(key EndpointKey, slots int, zone fleet.Zone) bool {
	total := slots
	for _, other := range r.reserved[zone] {
		total += other
	}
	if total > r.allowance {
		return false
	}
	if _, renewed := r.ledger.last[zone][key]; renewed {
		return true
	}
	return total+r.otherCharges(key, zone) <= r.allowance
}

// otherCharges returns the slots that unexpired decisions remove in a zone, except those of
// key and of the endpoints in this reservation.
func (r *reservation) otherCharges(key EndpointKey, zone fleet.Zone) int {
	total := 0
	for other, c := range r.ledger.charges[zone] {
		if _, counted := r.reserved[zone][other]; !counted && other != key {
			total += c.slots
		}
	}
	return total
}

// commit charges the reserved endpoints for chargeDuration.
func (r *reservation) commit(now time.Time, chargeDuration time.Duration) {
	r.ledger.last = make(map[fleet.Zone]map[EndpointKey]struct{}, len(r.reserved))
	for zone, reserved := range r.reserved {
		r.ledger.commitZone(zone, reserved, now.Add(chargeDuration))
	}
}

func (l *ledger) commitZone(zone fleet.Zone, reserved map[EndpointKey]int, until time.Time) {
	l.last[zone] = make(map[EndpointKey]struct{}, len(reserved))
	if l.charges[zone] == nil {
		l.charges[zone] = make(map[EndpointKey]charge)
	}
	for key, slots := range reserved {
		l.last[zone][key] = struct{}{}
		l.charges[zone][key] = charge{slots: max(slots, l.charges[zone][key].slots), until: until}
	}
}
