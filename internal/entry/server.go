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
	"github.com/damaskcove/damaskcove/internal/accept"
	"github.com/damaskcove/damaskcove/internal/exchange"
	"github.com/damaskcove/damaskcove/internal/tracing"
)

// Defaults of Config and of the services' deadlines.
const (
	defaultIdleTimeout    = 60 * time.Second
	defaultMaxHeaderBytes = 16 << 10
	defaultDeadline       = 5 * time.Second
)

// Backend executes the requests and answers the lookups that a Server receives.
type Backend interface {
	// Router returns the active routes, or nil before the first configuration.
	Router() *Router
	// Serve runs a routed request somewhere in the fleet and returns its answer before r.Deadline, or soon after.
	Serve(ctx context.Context, r exchange.Request) exchange.Answer
	// Outcome returns the outcome of the request with an idempotency key.
	Outcome(ctx context.Context, key string) exchange.Answer
	// Discover returns the entry addresses that a caller should use.
	Discover(service fleet.Service, account fleet.Account, zone fleet.Zone) (client.Discovery, result.Code)
}

// Config configures a Server.
type Config struct {
	Listen         string // IP address and port.
	MaxBodyBytes   int
	MaxInFlight    int64         // New requests are rejected above this many unanswered ones; 0 for no limit.
	MaxHeaderBytes int           // Largest request head; 0 for defaultMaxHeaderBytes.
	MaxConnections int           // Of callers; 0 for fasthttp's default.
	IdleTimeout    time.Duration // Of callers' connections; 0 for defaultIdleTimeout.
	ReadTimeout    time.Duration // For reading a request, from its first byte; 0 for none.
	Tracer         trace.Tracer
	Log            *slog.Logger
	WrapListener   func(net.Listener) net.Listener // Injects connection faults in tests; may be nil.
}

// Server is the HTTP server for callers.
type Server struct {
	cfg      Config
	backend  Backend
	app      *fiber.App
	listener net.Listener
	draining atomic.Bool
	inFlight atomic.Int64
	lastEnd  atomic.Int64 // End of the last request, in monotonic nanoseconds since started.
	started  time.Time
	served   atomic.Int64
}

// New listens on cfg.Listen.
func New(cfg Config, backend Backend) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %q: %w", cfg.Listen, err)
	}
	if cfg.WrapListener != nil {
		listener = cfg.WrapListener(listener)
	}
	if cfg.MaxHeaderBytes == 0 {
		cfg.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	s := &Server{cfg: cfg, backend: backend, listener: listener, started: time.Now()}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage:        true,
		BodyLimit:                    cfg.MaxBodyBytes,
		ReadBufferSize:               cfg.MaxHeaderBytes,
		Concurrency:                  cfg.MaxConnections,
		IdleTimeout:                  cfg.IdleTimeout,
		ReadTimeout:                  cfg.ReadTimeout,
		ErrorHandler:                 s.handleError,
		DisablePreParseMultipartForm: true,
	})
	s.app.Server().NoDefaultServerHeader = true
	s.app.Server().NoDefaultDate = false
	s.app.Get(client.DiscoverPath, s.discover)
	s.app.Get(client.OutcomePath, s.outcome)
	s.app.Use(s.proxy)
	return s, nil
}

// Addr returns the listening address.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Run serves callers until Shutdown.
func (s *Server) Run() error {
	err := s.app.Listener(accept.Retry(s.listener, accept.NewFailures(s.cfg.Log).Observe))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve callers on %q: %w", s.cfg.Listen, err)
	}
	return nil
}

// Close closes the listener of a server that was never run.
func (s *Server) Close() error {
	return s.listener.Close()
}

// InFlight returns the number of unanswered requests.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Served returns the number of requests answered since the start.
func (s *Server) Served() int64 {
	return s.served.Load()
}

// IdleTime returns the time since the last request ended, or since the start before the first one. It
// returns zero while a request is in flight.
func (s *Server) IdleTime() time.Duration {
	if s.inFlight.Load() > 0 {
		return 0
	}
	return time.Since(s.started) - time.Duration(s.lastEnd.Load())
}

// Drain adds "Connection: close" to every answer from now on.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown closes the listener and the idle connections, and waits for the other connections
// until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.app.ShutdownWithContext(ctx)
}

// trackRequest counts a request as in flight until the returned function is called.
func (s *Server) trackRequest() func() {
	s.inFlight.Add(1)
	return func() {
		s.lastEnd.Store(int64(time.Since(s.started)))
		s.served.Add(1)
		s.inFlight.Add(-1)
	}
}

func (s *Server) respond(c *fiber.Ctx, a exchange.Answer) error {
	if s.draining.Load() {
		c.Response().SetConnectionClose()
	}
	return writeAnswer(c, a)
}

// proxy handles a request for a service.
func (s *Server) proxy(c *fiber.Ctx) error {
	defer s.trackRequest()()
	now := time.Now()
	r := readRequest(c, now)
	ctx := tracing.Extract(c.UserContext(), r.TraceParent)
	ctx, span := s.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatch := watchCaller(c.Context().Conn(), cancel)
	a := s.serve(ctx, r, now)
	stopWatch()
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("account", string(r.Account)),
			attribute.String("http.request.method", r.Method),
			attribute.String("url.path", pathOf(r.URI)),
			attribute.Int("http.response.status_code", a.Status),
			attribute.Int("damaskcove.code", int(a.Code)),
		)
	}
	return s.respond(c, a)
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

// overloadCode returns the result code of a request over MaxInFlight. A request with an
// idempotency key gets a code about this attempt only, since shed-queue-full would be read
// as the final outcome of a sealed key.
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

// earliest returns the earlier of two deadlines; a zero caller deadline means none.
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

// outcome handles the lookup of an idempotency key's outcome.
func (s *Server) outcome(c *fiber.Ctx) error {
	defer s.trackRequest()()
	key := strings.Clone(c.Get(client.HeaderKey))
	ctx, cancel := context.WithTimeout(c.UserContext(), defaultDeadline)
	defer cancel()
	return s.respond(c, s.backend.Outcome(ctx, key))
}

// discover handles a caller's discovery request.
func (s *Server) discover(c *fiber.Ctx) error {
	defer s.trackRequest()()
	service := fleet.Service(strings.Clone(c.Query(client.ParamService)))
	account := fleet.Account(strings.Clone(c.Query(client.ParamAccount)))
	zone := fleet.Zone(strings.Clone(c.Query(client.ParamZone)))
	d, code := s.backend.Discover(service, account, zone)
	if code != result.CodeAnswered {
		return s.respond(c, exchange.Rejection(code, fmt.Sprintf("service %q, account %q", service, account)))
	}
	if s.draining.Load() {
		c.Response().SetConnectionClose()
	}
	return c.JSON(d)
}

// handleError answers requests that fasthttp rejected before a handler ran.
func (s *Server) handleError(c *fiber.Ctx, err error) error {
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
