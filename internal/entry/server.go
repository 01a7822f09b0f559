package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/damaskcove/damaskcove/client"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/tracing"
)

// Times and sizes of the callers' side.
const (
	idleTimeout     = 60 * time.Second
	headerBytes     = 16 << 10
	defaultDeadline = 5 * time.Second
)

// Backend is what the entry needs of the instance.
type Backend interface {
	// Router returns the routes in force, or nil before the first configuration.
	Router() *Router
	// Serve runs a routed request somewhere in the fleet and returns its answer before r.Deadline, or soon after.
	Serve(ctx context.Context, r exchange.Request) exchange.Answer
	// Outcome tells what came of an idempotency key.
	Outcome(ctx context.Context, key string) exchange.Answer
	// Discover returns the entries that a caller should use.
	Discover(service fleet.Service, account fleet.Account, zone fleet.Zone) (client.Discovery, result.Code)
}

// Config is what the server needs.
type Config struct {
	Listen         string // IP number and port.
	MaxBodyBytes   int
	MaxInFlight    int64         // Requests without an answer, past which new ones are refused; 0 for no bound.
	MaxHeaderBytes int           // Of a request's head; 0 for headerBytes.
	MaxConnections int           // Of callers; 0 for the library's bound.
	IdleTimeout    time.Duration // Of callers' connections; 0 for idleTimeout.
	ReadTimeout    time.Duration // Of one request from its first byte; 0 for none.
	Tracer         trace.Tracer
	Log            *slog.Logger
	Wrap           func(net.Listener) net.Listener // Faults of callers' connections for tests; nil for none.
}

// Server answers callers.
type Server struct {
	cfg      Config
	backend  Backend
	app      *fiber.App
	listener net.Listener
	draining atomic.Bool
	inFlight atomic.Int64
	last     atomic.Int64 // Monotonic nanoseconds since started of the last request's end.
	started  time.Time
	served   atomic.Int64
}

// New listens on cfg.Listen.
func New(cfg Config, backend Backend) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %q: %w", cfg.Listen, err)
	}
	if cfg.Wrap != nil {
		listener = cfg.Wrap(listener)
	}
	if cfg.MaxHeaderBytes == 0 {
		cfg.MaxHeaderBytes = headerBytes
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = idleTimeout
	}
	s := &Server{cfg: cfg, backend: backend, listener: listener, started: time.Now()}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage:        true,
		BodyLimit:                    cfg.MaxBodyBytes,
		ReadBufferSize:               cfg.MaxHeaderBytes,
		Concurrency:                  cfg.MaxConnections,
		IdleTimeout:                  cfg.IdleTimeout,
		ReadTimeout:                  cfg.ReadTimeout,
		ErrorHandler:                 s.fail,
		DisablePreParseMultipartForm: true,
	})
	s.app.Server().NoDefaultServerHeader = true
	s.app.Server().NoDefaultDate = false
	s.app.Get(client.DiscoverPath, s.discover)
	s.app.Get(client.OutcomePath, s.outcome)
	s.app.Use(s.proxy)
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Run serves callers until Shutdown.
func (s *Server) Run() error {
	err := s.app.Listener(s.listener)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve callers on %q: %w", s.cfg.Listen, err)
	}
	return nil
}

// Close stops listening. It is for a server that was never run.
func (s *Server) Close() error {
	return s.listener.Close()
}

// InFlight returns the requests that have no answer yet.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Served returns the requests answered since the start.
func (s *Server) Served() int64 {
	return s.served.Load()
}

// Quiet returns the time since the last request, or zero while one is in flight.
func (s *Server) Quiet() time.Duration {
	if s.inFlight.Load() > 0 {
		return 0
	}
	return time.Since(s.started) - time.Duration(s.last.Load())
}

// Drain makes every answer from now on ask its caller to close the connection.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown closes the listener and the idle connections, and waits for the rest until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.app.ShutdownWithContext(ctx)
}

// begin counts a request in and returns the function that counts it out.
func (s *Server) begin() func() {
	s.inFlight.Add(1)
	return func() {
		s.last.Store(int64(time.Since(s.started)))
		s.served.Add(1)
		s.inFlight.Add(-1)
	}
}

func (s *Server) finish(c *fiber.Ctx, a exchange.Answer) error {
	if s.draining.Load() {
		c.Response().SetConnectionClose()
	}
	return writeAnswer(c, a)
}

// proxy serves a caller's request.
func (s *Server) proxy(c *fiber.Ctx) error {
	defer s.begin()()
	now := time.Now()
	r := readRequest(c, now)
	ctx := tracing.Extract(c.UserContext(), r.TraceParent)
	ctx, span := s.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	endWatch := watchCaller(c.Context().Conn(), cancel)
	a := s.serve(ctx, r, now)
	endWatch()
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("account", string(r.Account)),
			attribute.String("http.request.method", r.Method),
			attribute.String("url.path", pathOf(r.URI)),
			attribute.Int("http.response.status_code", a.Status),
			attribute.Int("damaskcove.code", int(a.Code)),
		)
	}
	return s.finish(c, a)
}

func (s *Server) serve(ctx context.Context, r exchange.Request, now time.Time) exchange.Answer {
	router := s.backend.Router()
	if router == nil {
		return r.RejectAttempt(result.CodeNotReady, "")
	}
	if bound := s.cfg.MaxInFlight; bound > 0 && s.inFlight.Load() > bound {
		return r.RejectAttempt(overloadCode(r), fmt.Sprintf("%d requests in flight at the instance, bound %d", s.inFlight.Load(), bound))
	}
	if hasDotSegment(pathOf(r.URI)) {
		return r.RejectAttempt(result.CodeMalformedRequest, fmt.Sprintf("path %q has a segment of dots", pathOf(r.URI)))
	}
	match, code := router.Find(r.Account, r.Service, r.Method, pathOf(r.URI))
	if code != result.CodeAnswered {
		return r.RejectAttempt(code, fmt.Sprintf("account %q, %s %s", r.Account, r.Method, pathOf(r.URI)))
	}
	if bound := match.Service.MaxBodyBytes; bound > 0 && len(r.Body) > bound {
		return r.RejectAttempt(result.CodeBodyTooLarge, fmt.Sprintf("got %d bytes, bound %d", len(r.Body), bound))
	}
	r.Service = match.Service.Name
	r.Idempotent = match.Route.Idempotent
	r.Deadline = earliest(r.Deadline, now.Add(deadlineOf(match.Service.Deadline)))
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	r.TraceParent = tracing.Inject(ctx, r.TraceParent)
	return s.backend.Serve(ctx, r)
}

// overloadCode returns the code of a request that the instance has no room for. A keyed one gets
// a code that speaks of the attempt alone: shed-queue-full is said of keys that are sealed.
func overloadCode(r exchange.Request) result.Code {
	if r.Key != "" {
		return result.CodeAttemptNotRun
	}
	return result.CodeShedQueueFull
}

func deadlineOf(configured time.Duration) time.Duration {
	if configured <= 0 {
		return defaultDeadline
	}
	return configured
}

// earliest returns the earlier of two moments; a zero caller moment does not count.
func earliest(caller, service time.Time) time.Time {
	if caller.IsZero() || service.Before(caller) {
		return service
	}
	return caller
}

func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// outcome tells what came of a key.
func (s *Server) outcome(c *fiber.Ctx) error {
	defer s.begin()()
	key := strings.Clone(c.Get(client.HeaderKey))
	ctx, cancel := context.WithTimeout(c.UserContext(), defaultDeadline)
	defer cancel()
	return s.finish(c, s.backend.Outcome(ctx, key))
}

// discover tells a caller which entries to use.
func (s *Server) discover(c *fiber.Ctx) error {
	defer s.begin()()
	service := fleet.Service(strings.Clone(c.Query(client.ParamService)))
	account := fleet.Account(strings.Clone(c.Query(client.ParamAccount)))
	zone := fleet.Zone(strings.Clone(c.Query(client.ParamZone)))
	d, code := s.backend.Discover(service, account, zone)
	if code != result.CodeAnswered {
		return s.finish(c, exchange.Rejection(code, fmt.Sprintf("service %q, account %q", service, account)))
	}
	if s.draining.Load() {
		c.Response().SetConnectionClose()
	}
	return c.JSON(d)
}

// fail answers what the HTTP library refused before a handler ran.
func (s *Server) fail(c *fiber.Ctx, err error) error {
	code := result.CodeMalformedRequest
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) && fiberError.Code == fasthttp.StatusRequestEntityTooLarge {
		code = result.CodeBodyTooLarge
	}
	c.Response().SetConnectionClose()
	if c.Get(client.HeaderKey) != "" {
		return writeAnswer(c, exchange.AttemptRejection(code, err.Error()))
	}
	return writeAnswer(c, exchange.Rejection(code, err.Error()))
}
