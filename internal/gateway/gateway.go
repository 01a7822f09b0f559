package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/callers"
	"github.com/damaskcove/damaskcove/internal/forward"
	"github.com/damaskcove/damaskcove/platform"
)

// Gateway is one running instance.
type Gateway struct {
	path      string    // Of the settings file.
	loaded    time.Time // When the settings file was changed last, as of its last reading.
	settings  atomic.Pointer[Settings]
	logs      *logWriter
	log       *slog.Logger
	store     *platform.Store
	control   *control
	forwarder *forward.Forwarder
	metrics   *metrics
	server    *callers.Server
	sides     []*side
	socket    *peerSocket
	record    memberRecord
	leaving   atomic.Bool
	started   time.Time
}

// New reads the settings and opens the listeners. Logs are written to out.
func New(path string, out io.Writer) (*Gateway, error) {
	loaded := modified(path) // Before the file is read: a change meanwhile is seen later.
	s, err := LoadSettings(path)
	if err != nil {
		return nil, err
	}
	g := &Gateway{path: path, loaded: loaded, started: time.Now(), metrics: newMetrics()}
	g.settings.Store(s)
	if err := g.listen(s, out); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) listen(s *Settings, out io.Writer) error {
	var err error
	if g.socket, err = listenPeers(s.Listen.Peers); err != nil {
		return err
	}
	g.logs = newLogWriter(out)
	g.log = slog.New(slog.NewJSONHandler(g.logs, nil)).With("instance", s.Instance.ID)
	g.store = platform.NewStore(s.Store.Address)
	g.control = newControl(s, g.log, g.socket)
	g.forwarder = forward.New(g.control)
	h := &handler{control: g.control, forwarder: g.forwarder, metrics: g.metrics, log: g.log, logAll: func() bool { return g.current().Log.Requests == LogAll }}
	if g.server, err = callers.Listen(s.Listen.Callers, h); err != nil {
		return err
	}
	peers, err := netip.ParseAddrPort(s.Listen.Peers)
	if err != nil {
		return fmt.Errorf("address for peers %q: %w", s.Listen.Peers, err)
	}
	g.record = memberRecord{Peer: g.control.peer, Zone: s.Instance.Zone, Callers: s.Listen.Callers, Peers: peers}
	return g.listenSides(s)
}

func (g *Gateway) listenSides(s *Settings) error {
	handlers := []struct {
		addr    string
		handler fasthttp.RequestHandler
	}{
		{s.Listen.Ready, g.serveReady},
		{s.Listen.Discovery, g.serveDiscovery},
		{s.Listen.Metrics, g.serveMetrics},
	}
	for _, h := range handlers {
		if h.addr == "" {
			continue
		}
		side, err := listenSide(h.addr, h.handler)
		if err != nil {
			return err
		}
		g.sides = append(g.sides, side)
	}
	return nil
}

func (g *Gateway) close() {
	if g.socket != nil {
		_ = g.socket.conn.Close()
	}
	for _, s := range g.sides {
		_ = s.close()
	}
	if g.logs != nil {
		_ = g.logs.Close()
	}
}

// current returns the settings in force.
func (g *Gateway) current() *Settings {
	return g.settings.Load()
}

// ready tells whether callers may come here.
func (g *Gateway) ready() bool {
	return g.control.snapshot.Load().router != nil && !g.leaving.Load()
}

// Run serves until ctx ends, and then makes a planned stop. reload asks for the settings file to be read again.
func (g *Gateway) Run(ctx context.Context, reload <-chan os.Signal) error {
	s := g.current()
	g.log.Info("start", "callers", s.Listen.Callers, "zone", s.Instance.Zone, "store", s.Store.Address, "life", uint64(g.control.peer))
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	listed, unlist := context.WithCancel(life)
	failed := make(chan error, 1)
	var tasks conc.WaitGroup
	tasks.Go(func() { g.control.run(life) })
	reach := &reach{log: g.log, control: g.control}
	tasks.Go(func() {
		f := &follower{store: g.store, control: g.control, log: g.log, reach: reach}
		f.run(life)
	})
	registration := make(chan struct{})
	tasks.Go(func() {
		defer close(registration)
		r := &registrar{store: g.store, key: g.control.members.self, record: g.record, log: g.log, reach: reach, gone: g.control.unlisted}
		r.run(listed)
	})
	tasks.Go(func() { g.socket.receive(g.hear) })
	for _, side := range g.sides {
		tasks.Go(func() { fail(failed, side.run()) })
	}
	tasks.Go(func() { fail(failed, g.server.Run()) })
	tasks.Go(func() { g.watchSettings(life, reload) })
	tasks.Go(func() { g.sweep(life) })

	var err error
	select {
	case <-ctx.Done():
		unlist()
		err = g.stop()
		<-registration
	case err = <-failed:
		unlist()
	}
	end()
	g.log.Info("stop", "error", errorText(err))
	g.close()
	_ = g.server.Shutdown(life)
	tasks.Wait()
	return err
}

func fail(to chan<- error, err error) {
	if err != nil {
		select {
		case to <- err:
		default:
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

const (
	// stopMargin is kept to the time in which the process must be gone.
	stopMargin = 400 * time.Millisecond
	// staleTTLs is the number of discovery TTLs for which callers may use an answer.
	staleTTLs = 3
	// repeatLeaving is how often the others are told of the leaving, since datagrams get lost.
	repeatLeaving = 100 * time.Millisecond
	leavingTimes  = 3
)

// stop takes the instance out of discovery, serves the callers that still come, and
// returns when all are answered.
func (g *Gateway) stop() error {
	s := g.current()
	began := time.Now()
	deadline := began.Add(s.Promises.StopWithin - stopMargin)
	g.leaving.Store(true)
	g.log.Info("planned stop", "in_flight", g.server.InFlight())
	g.server.Drain()
	for range leavingTimes {
		g.control.post(func() { g.control.leaving = true; g.control.tell() })
		time.Sleep(repeatLeaving)
	}
	time.Sleep(time.Until(began.Add(staleTTLs*s.Promises.DiscoveryTTL + s.Promises.DiscoveryTTL/2)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}

// hear takes in a datagram.
func (g *Gateway) hear(data []byte) {
	m, err := decodeMessage(data)
	if err != nil {
		g.log.Warn("datagram ignored", "error", err.Error())
		return
	}
	if data[0] == forZone {
		data[0] = forReceiver
		g.socket.send(data, g.control.snapshot.Load().routes.zone)
	}
	g.control.post(func() { g.control.hear(time.Now(), m) })
}

// sweepInterval is how often idle connections to upstreams are looked at.
const sweepInterval = 2 * time.Second

func (g *Gateway) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		g.forwarder.Sweep(time.Now())
	}
}

// settingsInterval is how often the settings file is looked at: it may change without a signal.
const settingsInterval = time.Second

// watchSettings reads the settings file again when it changes or a signal asks for it.
func (g *Gateway) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		if at := modified(g.path); signalled || !at.Equal(g.loaded) {
			g.loaded = at
			g.reload(signalled)
		}
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (g *Gateway) reload(signalled bool) {
	next, err := LoadSettings(g.path)
	if err != nil {
		g.log.Error("settings not reloaded; the former ones stay", "error", err.Error())
		return
	}
	kept := g.current().restartNeeded(next)
	g.settings.Store(next)
	g.log.Info("reload", "signal", signalled, "need_restart", kept)
}
