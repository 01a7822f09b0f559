package callers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/admission"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/accept"
	"github.com/damaskcove/damaskcove/internal/body"
)

// Limits bound what a caller may send.
type Limits struct {
	HeadBytes   int
	BodyBytes   int
	HeadTimeout time.Duration // To receive a request's complete head, from its first byte.
	IdleTimeout time.Duration // Between an answer and the next request.
}

// Request is a caller's request.
type Request struct {
	HTTP    *fasthttp.Request // Head of the request. Valid until the handler returns.
	Body    *body.Body        // Counted until the handler returns, unless it retains the body.
	Arrived time.Time         // When the request was read completely.

	conn *conn // Nil outside a Server.
}

// SetInfo records what InService reports about the request: its ID and its route.
func (r Request) SetInfo(id, route string) {
	if r.conn != nil {
		r.conn.inService.Store(&InService{ID: id, Route: route, Arrived: r.Arrived})
	}
}

// InService describes a request that was read and whose answer is not yet written.
type InService struct {
	ID      string // Request ID that the caller sent; empty before SetInfo.
	Route   string // Name of its route; empty before SetInfo.
	Arrived time.Time
}

// Handler answers requests. It must not retain a request or an answer after it returns.
type Handler interface {
	// Serve fills in the answer. ctx is cancelled when the caller disconnects; the answer is then
	// dropped.
	Serve(ctx context.Context, r Request, resp *fasthttp.Response)
	// Reject fills in the answer to a request that could not be read.
	Reject(code result.Code, detail string, resp *fasthttp.Response)
	// Expects reports whether a request whose body has not arrived may still be served, by its head.
	Expects(head *fasthttp.RequestHeader) bool
	// Limits returns the active limits.
	Limits() Limits
}

// Server serves callers on one address.
type Server struct {
	handler    Handler
	listener   *net.TCPListener
	options    Options
	acceptDone chan struct{} // Closed when Run accepts no more connections.
	draining   atomic.Bool
	closing    atomic.Bool
	ending     atomic.Bool // Requests that have not arrived completely are rejected.
	inFlight   atomic.Int64

	crowded atomic.Bool   // No more connections are accepted, as all open ones have requests.
	retired atomic.Int64  // Idle connections closed to make room.
	closed  chan struct{} // Signalled when a connection was closed.

	mu    sync.Mutex
	conns map[*conn]struct{}
	table *admission.Connections[*conn]
	wg    sync.WaitGroup
}

// Options configure a Server. The zero value sets no limits.
type Options struct {
	ObserveAccept accept.Observer        // Told of accepts that fail and are tried again.
	Descriptors   int                    // File descriptors that the process may have open; 0: no limit.
	Use           func() admission.Use   // Counts the other connections of the process.
	Bodies        *body.Budget           // Bounds the bytes of bodies in service; nil: no limit.
	DropTrailer   func(name string) bool // Whether a field of a trailer, whose name has any letter case, is dropped; nil: none is.
}

// Listen listens on an IP number and port.
func Listen(addr string, handler Handler, options Options) (*Server, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", addr, err)
	}
	if options.Bodies == nil {
		options.Bodies = body.NewBudget(0)
	}
	return &Server{
		handler: handler, listener: listener.(*net.TCPListener), options: options, acceptDone: make(chan struct{}),
		conns: make(map[*conn]struct{}), table: admission.NewConnections[*conn](options.Descriptors), closed: make(chan struct{}, 1),
	}, nil
}

func (s *Server) use() admission.Use {
	if s.options.Use == nil {
		return admission.Use{}
	}
	return s.options.Use()
}

// Addr returns the IP number and port that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

const (
	// On shutdown, connections in the listener's backlog are accepted until it has been empty for
	// backlogIdleTime, for at most backlogTimeout: closing the listener resets those left in it.
	backlogIdleTime = 20 * time.Millisecond
	backlogTimeout  = 300 * time.Millisecond
)

// Run accepts connections until Shutdown, and then those in the listener's backlog.
func (s *Server) Run() error {
	defer close(s.acceptDone)
	listener := accept.Retry(s.listener, s.options.ObserveAccept)
	var backlogDeadline time.Time // Zero until Shutdown was called.
	for {
		s.awaitRoom()
		waitStart := time.Now()
		c, err := listener.Accept()
		switch {
		case err == nil:
			s.serve(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("accept callers on %s: %w", s.Addr(), err)
		case !backlogDeadline.IsZero() && time.Since(waitStart) >= backlogIdleTime:
			return nil // The backlog was empty for that long.
		}
		if !s.closing.Load() {
			continue
		}
		if backlogDeadline.IsZero() {
			backlogDeadline = time.Now().Add(backlogTimeout)
		}
		if time.Now().After(backlogDeadline) {
			return nil
		}
		_ = s.listener.SetDeadline(time.Now().Add(backlogIdleTime))
	}
}

func (s *Server) serve(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	c.entry = s.table.Open(c)
	s.wg.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wg.Done()
		c.run()
		s.mu.Lock()
		delete(s.conns, c)
		s.table.Close(c.entry)
		s.mu.Unlock()
		select {
		case s.closed <- struct{}{}:
		default:
		}
	}()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// InFlight returns the number of requests that were read and not yet answered.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// InService returns the requests that were read and not yet answered, in the order in which they
// were read.
func (s *Server) InService() []InService {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []InService
	for c := range s.conns {
		if r := c.inService.Load(); r != nil {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, func(a, b InService) int { return a.Arrived.Compare(b.Arrived) })
	return list
}

// Drain adds "Connection: close" to every answer from now on.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// RejectIncomplete rejects the requests that have begun to arrive and are incomplete, and those that
// begin to arrive from now on.
func (s *Server) RejectIncomplete() {
	s.ending.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interruptArriving()
	}
}

// Shutdown stops accepting connections, closes idle ones, and answers the requests of all connections
// that were made, including those in the backlog. It returns when all are answered or ctx ends. Run
// must have been called.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.closing.Store(true)
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // Interrupts Accept; Run then checks closing.
	s.mu.Lock()
	for c := range s.conns {
		c.interruptIdle()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		<-s.acceptDone
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
