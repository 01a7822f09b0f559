package broker

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
)

// Ticket names one request of one instance's life.
type Ticket struct {
	Asker uint64
	Seq   uint64
}

// entry is one grant.
type entry struct {
	endpoint dispatch.EndpointID
	until    time.Time // The request is over by then, whether its end was told or not.
}

// Ledger is what a broker has granted and not been told the end of. It is not safe for
// concurrent use.
type Ledger struct {
	open map[Ticket]entry
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{open: make(map[Ticket]entry)}
}

// Granted enters a grant that is over by a moment. It returns false where the ticket has one
// already: the question came twice.
func (l *Ledger) Granted(t Ticket, endpoint dispatch.EndpointID, until time.Time) bool {
	if _, ok := l.open[t]; ok {
		return false
	}
	l.open[t] = entry{endpoint: endpoint, until: until}
	return true
}

// Holds tells whether a ticket has a grant whose end was not told, and for which endpoint.
func (l *Ledger) Holds(t Ticket) (dispatch.EndpointID, bool) {
	e, ok := l.open[t]
	return e.endpoint, ok
}

// Ended takes out a grant. ok is false where there is none, or its end was told before.
func (l *Ledger) Ended(t Ticket) (_ dispatch.EndpointID, ok bool) {
	e, ok := l.open[t]
	delete(l.open, t)
	return e.endpoint, ok
}

// Expire takes out the grants that are over, and returns their endpoints.
func (l *Ledger) Expire(now time.Time) []dispatch.EndpointID {
	var over []dispatch.EndpointID
	for t, e := range l.open {
		if !now.Before(e.until) {
			over = append(over, e.endpoint)
			delete(l.open, t)
		}
	}
	return over
}

// Len returns the number of grants.
func (l *Ledger) Len() int {
	return len(l.open)
}
