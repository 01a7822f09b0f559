package callers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/result"
)

// Limits bound what a caller may send.
type Limits struct {
	HeadBytes   int
	BodyBytes   int
	HeadTimeout time.Duration // For a request's whole head, from its first byte.
	IdleTimeout time.Duration // Between an answer and the next request.
}

// Request is one request of a caller.
type Request struct {
	HTTP    *fasthttp.Request // Valid until the handler returns.
	Arrived time.Time
}

// Handler answers requests. It must not use a request or an answer after it returned.
type Handler interface {
	// Serve fills in the answer. ctx ends when the caller has gone; the answer is then dropped.
	Serve(ctx context.Context, r Request, resp *fasthttp.Response)
	// Reject fills in the answer to a request that could not be read.
	Reject(code result.Code, detail string, resp *fasthttp.Response)
	// Limits returns the bounds in force.
	Limits() Limits
}

// Server serves the callers of one address.
type Server struct {
	handler  Handler
	listener *net.TCPListener
	accepted chan struct{} // Closed when Run takes no more connections.
	draining atomic.Bool
	closing  atomic.Bool
	inFlight atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// Listen listens on an IP number and port.
func Listen(addr string, handler Handler) (*Server, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", addr, err)
	}
	return &Server{handler: handler, listener: listener.(*net.TCPListener), accepted: make(chan struct{}), conns: make(map[*conn]struct{})}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

const (
	// acceptPause is how long accepting rests when descriptors have run out.
	acceptPause = 20 * time.Millisecond
	// queueWait is how long the queue of new connections must be empty before it is closed, and
	// queueMost how long it is emptied at most: closing it resets what waits in it.
	queueWait = 20 * time.Millisecond
	queueMost = 300 * time.Millisecond
)

// Run takes connections until Shutdown, and then those that wait to be taken.
func (s *Server) Run() error {
	defer close(s.accepted)
	var until time.Time // Set once Shutdown was called.
	for {
		asked := time.Now()
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			s.serve(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		case !s.closing.Load():
			// Out of descriptors or a caller that left at once: both pass.
			time.Sleep(acceptPause)
			continue
		case !until.IsZero() && time.Since(asked) >= queueWait:
			return nil // The queue was empty for that long.
		}
		if !s.closing.Load() {
			continue
		}
		if until.IsZero() {
			until = time.Now().Add(queueMost)
		}
		if time.Now().After(until) {
			return nil
		}
		_ = s.listener.SetDeadline(time.Now().Add(queueWait))
	}
}

func (s *Server) serve(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wg.Done()
		c.run()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Connections returns the open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// InFlight returns the requests that were read and have no answer yet.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Drain makes every answer from now on ask its caller to close the connection.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown answers the requests of all connections that were made, takes no further ones, and
// closes idle connections. It returns when all are answered or ctx ends. Run must have been called.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.closing.Store(true)
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // Run looks at closing.
	s.mu.Lock()
	for c := range s.conns {
		c.wake()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		<-s.accepted
		_ = s.listener.Close()
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Join(s.listener.Close(), fmt.Errorf("%d requests in flight: %w", s.InFlight(), ctx.Err()))
	}
}
