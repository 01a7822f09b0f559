package broker

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
)

// GrantID names one request of one instance's life.
type GrantID struct {
	Requester uint64
	Seq       uint64
}

// entry is one grant.
type entry struct {
	endpoint dispatch.EndpointID
	until    time.Time // The request is over by then, whether its end was told or not.
}

// GrantTable is what a broker has granted and not been told the end of. It is not safe for
// concurrent use.
type GrantTable struct {
	open map[GrantID]entry
}

// NewGrantTable returns an empty GrantTable.
func NewGrantTable() *GrantTable {
	return &GrantTable{open: make(map[GrantID]entry)}
}

// Add enters a grant that is over by a moment. It returns false where the ticket has one
// already: the question came twice.
func (l *GrantTable) Add(t GrantID, endpoint dispatch.EndpointID, until time.Time) bool {
	if _, ok := l.open[t]; ok {
		return false
	}
	l.open[t] = entry{endpoint: endpoint, until: until}
	return true
}

// Lookup tells whether a ticket has a grant whose end was not told, and for which endpoint.
func (l *GrantTable) Lookup(t GrantID) (dispatch.EndpointID, bool) {
	e, ok := l.open[t]
	return e.endpoint, ok
}

// Remove takes out a grant. ok is false where there is none, or its end was told before.
func (l *GrantTable) Remove(t GrantID) (_ dispatch.EndpointID, ok bool) {
	e, ok := l.open[t]
	delete(l.open, t)
	return e.endpoint, ok
}

// Expire takes out the grants that are over, and returns their endpoints.
func (l *GrantTable) Expire(now time.Time) []dispatch.EndpointID {
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
func (l *GrantTable) Len() int {
	return len(l.open)
}
