package health

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// answeredHistory is the number of messages to one carrier whose time a judge remembers.
const answeredHistory = 16

// answered is when a judge sent one message.
type answered struct {
	number uint64
	at     time.Time
}

// loan is what a judge knows of one carrier's loan to it.
type loan struct {
	sequence   uint64 // Of the newest evidence.
	heardUntil time.Time
	messages   [answeredHistory]answered
}

// echoed notes that a carrier which lends itself to the judge has received message number.
func (l *loan) echoed(number uint64, heardFor time.Duration) {
	m := l.messages[number%answeredHistory]
	if number == 0 || m.number != number {
		return
	}
	if until := m.at.Add(heardFor); until.After(l.heardUntil) {
		l.heardUntil = until
	}
}

func (l *loan) sent(now time.Time, number uint64) {
	l.messages[number%answeredHistory] = answered{number: number, at: now}
}

// ledger keeps what a judge may eject and what its live verdicts name, per zone of carriers.
//
// It names an endpoint that the last verdict did not name only while the slots of all
// that live verdicts name, and this one, fit the allowance of the moment. So whatever
// is alive at any time was within an allowance whose carriers are all still lent.
type ledger struct {
	spent map[fleet.Zone]map[EndpointKey]spending
	last  map[fleet.Zone]map[EndpointKey]struct{} // Named by the last verdict.
}

// spending is what one endpoint counts against the budget, also when the list drops it meanwhile.
type spending struct {
	slots int
	until time.Time // From then on no live verdict names it.
}

func newLedger() ledger {
	return ledger{
		spent: make(map[fleet.Zone]map[EndpointKey]spending),
		last:  make(map[fleet.Zone]map[EndpointKey]struct{}),
	}
}

// expire forgets what no live verdict names any more.
func (l *ledger) expire(now time.Time) {
	for zone, named := range l.spent {
		for key, s := range named {
			if !now.Before(s.until) {
				delete(named, key)
			}
		}
		if len(named) == 0 {
			delete(l.spent, zone)
		}
	}
}

// issue is the naming of endpoints for one verdict.
type issue struct {
	ledger    *ledger
	allowance int
	named     map[fleet.Zone]map[EndpointKey]int // Slots of each endpoint.
}

func (l *ledger) begin(allowance int) *issue {
	return &issue{ledger: l, allowance: allowance, named: make(map[fleet.Zone]map[EndpointKey]int)}
}

// add names an endpoint for the carriers of some zones, and reports whether the budget let it.
func (i *issue) add(key EndpointKey, slots int, zones []fleet.Zone) bool {
	for _, zone := range zones {
		if !i.fits(key, slots, zone) {
			return false
		}
	}
	for _, zone := range zones {
		if i.named[zone] == nil {
			i.named[zone] = make(map[EndpointKey]int)
		}
		i.named[zone][key] = slots
	}
	return true
}

func (i *issue) fits(key EndpointKey, slots int, zone fleet.Zone) bool {
	total := slots
	for _, other := range i.named[zone] {
		total += other
	}
	if total > i.allowance {
		return false
	}
	if _, again := i.ledger.last[zone][key]; again {
		return true
	}
	return total+i.spentBesides(key, zone) <= i.allowance
}

// spentBesides returns the slots that live verdicts name besides key and what this verdict names.
func (i *issue) spentBesides(key EndpointKey, zone fleet.Zone) int {
	total := 0
	for other, s := range i.ledger.spent[zone] {
		if _, counted := i.named[zone][other]; !counted && other != key {
			total += s.slots
		}
	}
	return total
}

// end records the verdict's names as spent for some time.
func (i *issue) end(now time.Time, spentFor time.Duration) {
	i.ledger.last = make(map[fleet.Zone]map[EndpointKey]struct{}, len(i.named))
	for zone, named := range i.named {
		i.ledger.end(zone, named, now.Add(spentFor))
	}
}

func (l *ledger) end(zone fleet.Zone, named map[EndpointKey]int, until time.Time) {
	l.last[zone] = make(map[EndpointKey]struct{}, len(named))
	if l.spent[zone] == nil {
		l.spent[zone] = make(map[EndpointKey]spending)
	}
	for key, slots := range named {
		l.last[zone][key] = struct{}{}
		l.spent[zone][key] = spending{slots: max(slots, l.spent[zone][key].slots), until: until}
	}
}
