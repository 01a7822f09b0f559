package callers

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/admission"
)

// roomCheckInterval is how often a server without room for another connection counts again the
// connections that it is not told of, those to upstreams.
const roomCheckInterval = 20 * time.Millisecond

// awaitRoom waits until another connection may be accepted, or the server shuts down. It closes idle
// connections to make room, the longest idle first.
func (s *Server) awaitRoom() {
	for !s.closing.Load() {
		s.mu.Lock()
		use := s.use()
		surplus := s.table.CloseIdle(use, true)
		mayAccept := s.table.MayAccept(use)
		s.mu.Unlock()
		s.retire(surplus)
		s.crowded.Store(!mayAccept && len(surplus) == 0)
		if mayAccept {
			return
		}
		select {
		case <-s.closed:
		case <-time.After(roomCheckInterval):
		}
	}
}

// setBusy records that a request of a connection has begun to arrive, and closes idle connections for
// the connection that it needs to an upstream.
func (s *Server) setBusy(c *conn) {
	s.mu.Lock()
	s.table.Busy(c.entry)
	surplus := s.table.CloseIdle(s.use(), false)
	s.mu.Unlock()
	s.retire(surplus)
}

// setIdle records that a connection's request was answered.
func (s *Server) setIdle(c *conn) {
	s.mu.Lock()
	s.table.Idle(c.entry)
	s.mu.Unlock()
}

// retire closes idle connections, unless a request has arrived.
func (s *Server) retire(surplus []*admission.Connection[*conn]) {
	if len(surplus) > 0 {
		s.retired.Add(int64(len(surplus)))
	}
	for _, entry := range surplus {
		entry.Owner.retire()
	}
}

// retire makes awaitRequest close an idle connection. If a request has arrived, it is answered first.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.interruptIdle()
}

// Descriptors returns the number of descriptors that are in use or needed by the requests of open
// connections, and their limit (0: none).
func (s *Server) Descriptors() (counted, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Counted(s.use()), s.table.Limit()
}

// Retired returns the number of idle connections that were closed to make room.
func (s *Server) Retired() int64 {
	return s.retired.Load()
}
