package gateway

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/accept"
	"github.com/damaskcove/damaskcove/internal/httpconn"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// auxTimeout bounds reading a request, and writing its response.
	auxTimeout = 3 * time.Second
	// auxIdleTimeout is how long an idle connection is kept open.
	auxIdleTimeout = 10 * time.Second
)

// auxServer serves short requests about the instance itself: readiness, discovery or metrics.
type auxServer struct {
	listener net.Listener
	server   *fasthttp.Server
	observe  accept.Observer // Nil for none.
}

func listenAux(addr string, handler fasthttp.RequestHandler) (*auxServer, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return &auxServer{listener: listener, server: &fasthttp.Server{
		Handler:               handler,
		ReadTimeout:           auxTimeout,
		WriteTimeout:          auxTimeout,
		IdleTimeout:           auxIdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}}, nil
}

func (s *auxServer) run() error {
	if err := s.server.Serve(accept.Retry(s.listener, s.observe)); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve on %s: %w", s.listener.Addr(), err)
	}
	return nil
}

// connections returns the number of open connections.
func (s *auxServer) connections() int {
	return int(max(s.server.GetOpenConnectionsCount(), 0)) // It is -1 before run.
}

func (s *auxServer) close() error {
	return s.listener.Close()
}

// serveReady serves the platform's readiness check.
func (g *Gateway) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != platform.PathReadiness:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !g.ready():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serveDiscovery returns the addresses that a caller may connect to.
func (g *Gateway) serveDiscovery(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != platform.PathDiscovery {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	query := platform.ReadDiscoveryQuery(&ctx.Request)
	list := g.addresses(query.Zone)
	if len(list) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if err := platform.WriteDiscovery(&ctx.Response, list, g.current().Promises.DiscoveryTTL); err != nil {
		g.log.Error("cannot write a discovery response; answering with status 500", "error", err.Error())
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// addresses returns the addresses for callers of a zone, this instance's own included while ready.
func (g *Gateway) addresses(zone string) []string {
	alive := g.control.snapshot.Load().alive
	if g.ready() {
		alive = append(alive[:len(alive):len(alive)], &g.record)
	}
	return addresses(alive, zone)
}

// serveMetrics serves the metrics as text.
func (g *Gateway) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(g.metrics.text(g.gauges()))
}

// gauges returns the metrics other than those of answers, by name.
func (g *Gateway) gauges() map[string]int64 {
	counts := g.forwarder.Counts()
	leaving := g.control.snapshot.Load().leaving
	gauges := map[string]int64{
		"upstream_dials":         counts.Dials,
		"upstream_bytes":         httpconn.Received(),
		"upstream_strays":        counts.MismatchedAnswers,
		"streams_broken":         counts.BrokenStreams,
		"upstream_leaving":       counts.LeavingAnswers,
		"upstream_limits":        counts.LimitAnswers,
		"upstream_invalid":       counts.InvalidAnnouncements,
		"upstream_hold_offs":     counts.HoldOffAnswers,
		"hold_off_waits":         counts.Waits,
		"limit_rejections":       counts.LimitRejections,
		"credentials_read":       g.metrics.credentials.Load(),
		"credentials_sent":       counts.Credentials,
		"account_requests":       g.metrics.withAccount.Load(),
		"configurations_refused": g.control.refusedConfigs.Load(),
		"limits_in_force":        int64(g.control.snapshot.Load().limited),
		"leaving_announced":      int64(leaving.Announced),
		"leaving_reported":       int64(leaving.Reported),
		"requests_cut_off":       g.metrics.cutOff.Load(),
		"log_lines_dropped":      g.logs.dropped.Load(),
		"accept_failures":        g.acceptFailures.Count(),
		"callers_retired":        g.server.Retired(),
		"caller_connections":     int64(g.server.Connections()),
		"requests_in_flight":     g.server.InFlight(),
		"instances_alive":        int64(len(g.control.snapshot.Load().alive)),
		"config_version":         int64(g.control.snapshot.Load().Version),
		"ready":                  boolGauge(g.ready()),
		"control_commands":       int64(len(g.control.commands)),
		"process_uptime_ms":      time.Since(g.started).Milliseconds(),
		"broker_silent":          g.control.brokerTimeouts.Load(),
		"follows_store":          boolGauge(g.control.shouldFollow.Load()),
		"store_era":              int64(g.store.Era()),
		"store_revision":         int64(platform.Revision(g.control.knownRevision.Load()).Number()),
		"watches_unanswered":     g.control.unansweredWatches.Load(),
		"store_batches_gap":      g.control.batchesAfterGap.Load(),
		"store_keys_gone":        g.control.keysGone.Load(),
	}
	if at := g.control.respondedAt.Load(); at != nil {
		gauges["store_response_age_ms"] = time.Since(*at).Milliseconds()
	}
	if at := g.control.snapshot.Load().freshAt; !at.IsZero() {
		gauges["store_age_ms"] = time.Since(at).Milliseconds()
	}
	if age, known := g.control.configurationAge(); known {
		gauges["configuration_age_ms"] = age.Milliseconds()
	}
	bodies := g.bodies.Counts()
	gauges["bodies_bytes"], gauges["bodies_peak_bytes"], gauges["bodies_limit_bytes"] = bodies.Reserved, bodies.Peak, bodies.Limit
	gauges["bodies_refused"], gauges["bodies_yielded"] = bodies.Refused, bodies.Yielded
	counted, limit := g.server.Descriptors()
	gauges["descriptors_counted"], gauges["descriptors_limit"] = int64(counted), int64(limit)
	for kind, n := range g.store.Calls() {
		gauges["store_calls_"+kind.String()] = n
	}
	return gauges
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
