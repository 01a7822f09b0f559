package admission

import "container/list"

// reserveDivisor is the share of all descriptors that callers and upstreams leave to others: the
// sockets for peers and the store, files, hedged requests, and connections that are about to be counted.
const reserveDivisor = 8

// Use counts the open connections other than those of callers.
type Use struct {
	Upstreams int // To upstreams, in use or idle.
	Others    int // Of readiness checks, discovery and metrics.
}

// Connections decides how many connections of callers stay open. A connection with a request needs two
// descriptors, its own and that of a connection to an upstream; an idle one needs one. While the sum is
// within the limit, every request of an open connection finds a descriptor for its upstream.
type Connections[T any] struct {
	limit   int       // Descriptors of callers, upstreams and Use.Others; 0: no limit.
	idle    list.List // Of *Connection[T], the longest idle first, without those that are closing.
	open    int
	busy    int
	closing int // Idle connections that CloseIdle has returned.
}

// Connection is a connection of a caller.
type Connection[T any] struct {
	Owner   T
	element *list.Element // In idle, or nil.
	busy    bool
	closing bool
}

// NewConnections returns a Connections for a process that may have a number of open descriptors; 0: no
// limit.
func NewConnections[T any](descriptors int) *Connections[T] {
	return &Connections[T]{limit: descriptors - descriptors/reserveDivisor}
}

// Limit returns the number of descriptors that callers, upstreams and others share; 0: no limit.
func (c *Connections[T]) Limit() int { return c.limit }

// Open records a new connection. It counts as one with a request, which is on its way, until Idle.
func (c *Connections[T]) Open(owner T) *Connection[T] {
	c.open++
	c.busy++
	return &Connection[T]{Owner: owner, busy: true}
}

// Busy records that a request has begun to arrive.
func (c *Connections[T]) Busy(conn *Connection[T]) {
	if conn.busy {
		return
	}
	c.leaveIdle(conn)
	conn.busy = true
	c.busy++
}

// Idle records that the request was answered, or that no first request has come.
func (c *Connections[T]) Idle(conn *Connection[T]) {
	if !conn.busy {
		return
	}
	conn.busy = false
	c.busy--
	conn.element = c.idle.PushBack(conn)
}

// Close records that a connection was closed.
func (c *Connections[T]) Close(conn *Connection[T]) {
	if conn.busy {
		c.busy--
	}
	c.leaveIdle(conn)
	c.open--
}

func (c *Connections[T]) leaveIdle(conn *Connection[T]) {
	if conn.closing {
		conn.closing = false
		c.closing--
	}
	if conn.element != nil {
		c.idle.Remove(conn.element)
		conn.element = nil
	}
}

// Counted returns the number of descriptors that are in use, or that the requests of open connections
// need.
func (c *Connections[T]) Counted(u Use) int {
	return c.open + max(c.busy, u.Upstreams) + u.Others
}

// perRequest is what a new connection needs once its request arrives.
const perRequest = 2

// MayAccept reports whether there is room for another connection and its request.
func (c *Connections[T]) MayAccept(u Use) bool {
	return c.limit <= 0 || c.Counted(u)+perRequest <= c.limit
}

// CloseIdle returns the idle connections to close, the longest idle first, so that all requests find
// descriptors and, if accepting, so does another connection. Connections with requests are never among
// them.
func (c *Connections[T]) CloseIdle(u Use, accepting bool) []*Connection[T] {
	if c.limit <= 0 {
		return nil
	}
	surplus := c.Counted(u) - c.closing - c.limit
	if accepting {
		surplus += perRequest
	}
	var out []*Connection[T]
	for ; surplus > 0 && c.idle.Len() > 0; surplus-- {
		conn := c.idle.Front().Value.(*Connection[T])
		c.leaveIdle(conn)
		conn.closing = true
		c.closing++
		out = append(out, conn)
	}
	return out
}
