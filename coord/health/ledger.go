package health

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// answeredHistory is the number of messages to one carrier whose time a judge remembers.
const decisionHistory = 16

// answered is when a judge sent one message.
type sentDecision struct {
	number uint64
	at     time.Time
}

// loan is what a judge knows of one carrier's loan to it.
type voter struct {
	sequence  uint64 // Of the newest evidence.
	voteUntil time.Time
	decisions [decisionHistory]sentDecision
}

// echoed notes that a carrier which lends itself to the judge has received message number.
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

// ledger keeps what a judge may eject and what its live verdicts name, per zone of carriers.
//
// It names an endpoint that the last verdict did not name only while the slots of all
// that live verdicts name, and this one, fit the allowance of the moment. So whatever
// is alive at any time was within an allowance whose carriers are all still lent.
type ledger struct {
	charges map[fleet.Zone]map[EndpointKey]charge
	last    map[fleet.Zone]map[EndpointKey]struct{} // Named by the last verdict.
}

// spending is what one endpoint counts against the budget, also when the list drops it meanwhile.
type charge struct {
	slots int
	until time.Time // From then on no live verdict names it.
}

func newLedger() ledger {
	return ledger{
		charges: make(map[fleet.Zone]map[EndpointKey]charge),
		last:    make(map[fleet.Zone]map[EndpointKey]struct{}),
	}
}

// expire forgets what no live verdict names any more.
func (l *ledger) expire(now time.Time) {
	for zone, reserved := range l.charges {
		for key, c := range reserved {
			if !now.Before(c.until) {
				delete(reserved, key)
			}
		}
		if len(reserved) == 0 {
			delete(l.charges, zone)
		}
	}
}

// issue is the naming of endpoints for one verdict.
type reservation struct {
	ledger    *ledger
	allowance int
	reserved  map[fleet.Zone]map[EndpointKey]int // Slots of each endpoint.
}

func (l *ledger) begin(allowance int) *reservation {
	return &reservation{ledger: l, allowance: allowance, reserved: make(map[fleet.Zone]map[EndpointKey]int)}
}

// add names an endpoint for the carriers of some zones, and reports whether the budget let it.
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

// spentBesides returns the slots that live verdicts name besides key and what this verdict names.
func (r *reservation) otherCharges(key EndpointKey, zone fleet.Zone) int {
	total := 0
	for other, c := range r.ledger.charges[zone] {
		if _, counted := r.reserved[zone][other]; !counted && other != key {
			total += c.slots
		}
	}
	return total
}

// end records the verdict's names as spent for some time.
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
