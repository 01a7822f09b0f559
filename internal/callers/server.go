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
	// Refuse fills in the answer to a request that could not be read.
	Refuse(code result.Code, detail string, resp *fasthttp.Response)
	// Limits returns the bounds in force.
	Limits() Limits
}

// Server serves the callers of one address.
type Server struct {
	handler  Handler
	listener net.Listener
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
	return &Server{handler: handler, listener: listener, conns: make(map[*conn]struct{})}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// acceptPause is how long accepting rests when descriptors have run out.
const acceptPause = 20 * time.Millisecond

// Run takes connections until Shutdown.
func (s *Server) Run() error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors or a caller that left at once: both pass.
			time.Sleep(acceptPause)
			continue
		}
		s.serve(c)
	}
}

func (s *Server) serve(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	if s.closing.Load() {
		s.mu.Unlock()
		_ = nc.Close()
		return
	}
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

// Shutdown stops listening, closes idle connections, and waits until requests that were
// read are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.closing.Store(true)
	err := s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.wake()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return err
	case <-ctx.Done():
		return errors.Join(err, fmt.Errorf("%d requests in flight: %w", s.InFlight(), ctx.Err()))
	}
}
