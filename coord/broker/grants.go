package broker

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
)

// GrantID identifies a grant by a request of one incarnation of an instance.
type GrantID struct {
	Requester uint64 // Incarnation of the instance that sent the request.
	Seq       uint64
}

// grant is a grant that has not ended.
type grant struct {
	endpoint dispatch.EndpointID
	expires  time.Time
}

// GrantTable holds a broker's grants whose end has not been reported. It is not safe for
// concurrent use.
type GrantTable struct {
	open map[GrantID]grant
}

// NewGrantTable returns an empty GrantTable.
func NewGrantTable() *GrantTable {
	return &GrantTable{open: make(map[GrantID]grant)}
}

// Add adds a grant that expires at a time. It returns false if the table has one with this ID,
// so that a request that is received twice counts once.
func (t *GrantTable) Add(id GrantID, endpoint dispatch.EndpointID, expires time.Time) bool {
	if _, ok := t.open[id]; ok {
		return false
	}
	t.open[id] = grant{endpoint: endpoint, expires: expires}
	return true
}

// Lookup returns the endpoint of a grant; ok is false if the table has none with this ID.
func (t *GrantTable) Lookup(id GrantID) (dispatch.EndpointID, bool) {
	g, ok := t.open[id]
	return g.endpoint, ok
}

// Remove removes a grant. ok is false if the table has none with this ID: it was never granted,
// has expired, or its end was reported before.
func (t *GrantTable) Remove(id GrantID) (_ dispatch.EndpointID, ok bool) {
	g, ok := t.open[id]
	delete(t.open, id)
	return g.endpoint, ok
}

// Expire removes the grants that have expired, and returns their endpoints.
func (t *GrantTable) Expire(now time.Time) []dispatch.EndpointID {
	var expired []dispatch.EndpointID
	for id, g := range t.open {
		if !now.Before(g.expires) {
			expired = append(expired, g.endpoint)
			delete(t.open, id)
		}
	}
	return expired
}

// Len returns the number of grants.
func (t *GrantTable) Len() int {
	return len(t.open)
}
