package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/following"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/accept"
	"github.com/damaskcove/damaskcove/internal/body"
	"github.com/damaskcove/damaskcove/internal/callers"
	"github.com/damaskcove/damaskcove/internal/forward"
	"github.com/damaskcove/damaskcove/platform"
)

// Gateway is one running instance.
type Gateway struct {
	path             string    // Path of the settings file.
	settingsModified time.Time // Modification time of the settings file when it was last read.
	settings         atomic.Pointer[Settings]
	logs             *logWriter
	log              *slog.Logger
	store            *platform.Store
	control          *control
	forwarder        *forward.Forwarder
	metrics          *metrics
	handler          *handler
	server           *callers.Server
	auxServers       []*auxServer
	acceptFailures   *accept.Failures
	bodies           *body.Budget
	socket           *peerSocket
	record           memberRecord
	reassembler      reassembler // Owned by the goroutine that receives datagrams.
	leaving          atomic.Bool
	started          time.Time
	noStopBefore     func() time.Time // A time until which no stop had been requested.
}

// New reads the settings file at path and opens the listeners. Logs are written to out.
func New(path string, out io.Writer) (*Gateway, error) {
	settingsModified := modTime(path) // Taken before the read, so that a change during it triggers a reload.
	s, err := LoadSettings(path)
	if err != nil {
		return nil, err
	}
	g := &Gateway{path: path, settingsModified: settingsModified, started: time.Now(), metrics: newMetrics(), noStopBefore: time.Now}
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
	g.control.schedule = g.schedule
	g.control.promises = func() PromiseSettings { return g.current().Promises }
	g.forwarder = forward.New(g.control)
	g.bodies = body.NewBudget(bodyBudget(s.Instance.MemoryMB))
	g.acceptFailures = accept.NewFailures(g.log)
	g.handler = &handler{control: g.control, forwarder: g.forwarder, metrics: g.metrics, log: g.log, logAll: func() bool { return g.current().Log.Requests == LogAll }, mayStart: g.mayStart,
		bounds: func() accounts.Bounds { return g.current().Promises.bounds() }}
	if g.server, err = callers.Listen(s.Listen.Callers, g.handler, callers.Options{
		ObserveAccept: g.acceptFailures.Observe, Descriptors: descriptorLimit(s.Instance.MaxFDs), Use: g.otherConnections, Bodies: g.bodies, DropTrailer: g.dropsFromTrailers,
	}); err != nil {
		return err
	}
	g.control.dropIdle = g.forwarder.CloseIdleConnections
	g.forwarder.SetInServiceCount(g.server.InFlight)
	peers, err := netip.ParseAddrPort(s.Listen.Peers)
	if err != nil {
		return fmt.Errorf("parse the address for peers %q: %w", s.Listen.Peers, err)
	}
	g.record = memberRecord{Peer: g.control.peer, Zone: s.Instance.Zone, CallerAddr: s.Listen.Callers, PeerAddr: peers, LinkMbps: s.Instance.LinkMbps}
	g.control.self = g.record
	return g.listenAuxServers(s)
}

// dropsFromTrailers reports whether a field is dropped from trailers: without accounts, none is.
func (g *Gateway) dropsFromTrailers(name string) bool {
	return g.control.snapshot.Load().accounts != nil && platform.IsReadFromHead(name)
}

func (g *Gateway) listenAuxServers(s *Settings) error {
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
		aux, err := listenAux(h.addr, h.handler)
		if err != nil {
			return err
		}
		aux.observe = g.acceptFailures.Observe
		g.auxServers = append(g.auxServers, aux)
	}
	return nil
}

func (g *Gateway) close() {
	if g.socket != nil {
		_ = g.socket.conn.Close()
	}
	for _, s := range g.auxServers {
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

// ready reports whether callers may connect: a configuration is in force, and no planned stop has begun. With accounts
// it takes a confirmation of the configuration, which an instance that has just started gets within apply_within.
func (g *Gateway) ready() bool {
	s := g.control.snapshot.Load()
	if s.router == nil || g.leaving.Load() {
		return false
	}
	_, confirmed := g.control.configurationAge()
	return s.accounts == nil || confirmed || time.Since(g.started) > g.current().Promises.ApplyWithin
}

// SetNoStopBefore sets the source of a time until which no stop had been requested. It is called before Run;
// without it a stop counts from the end of Run's context.
func (g *Gateway) SetNoStopBefore(source func() time.Time) {
	g.noStopBefore = source
}

// Run serves until ctx ends or a listener fails. When ctx ends it makes a planned stop. A value
// from reload makes it reread the settings file.
func (g *Gateway) Run(ctx context.Context, reload <-chan os.Signal) error {
	s := g.current()
	g.log.Info("instance started", "callers", s.Listen.Callers, "zone", s.Instance.Zone, "store", s.Store.Address, "life", uint64(g.control.peer))
	lifetime, endLifetime := context.WithCancel(context.WithoutCancel(ctx))
	registered, deregister := context.WithCancel(lifetime)
	failed := make(chan error, 1)
	var tasks conc.WaitGroup
	tasks.Go(func() { g.control.run(lifetime) })
	health := &storeHealth{log: g.log, control: g.control}
	tasks.Go(func() {
		f := &follower{store: g.store, control: g.control, log: g.log, health: health}
		if s.Instance.FirstStart {
			f.wait = firstStartWait
		}
		f.run(lifetime)
	})
	registration := make(chan struct{})
	tasks.Go(func() {
		defer close(registration)
		r := &registrar{store: g.store, key: g.control.members.self, record: g.record, log: g.log, health: health, deregistered: g.control.deregistered, era: g.storeEra, instances: func() int { return len(g.control.snapshot.Load().alive) }}
		r.run(registered)
	})
	tasks.Go(func() { g.socket.receive(g.handleDatagram) })
	for _, aux := range g.auxServers {
		tasks.Go(func() { reportFailure(failed, aux.run()) })
	}
	tasks.Go(func() { reportFailure(failed, g.server.Run()) })
	tasks.Go(func() { g.watchSettings(lifetime, reload) })
	tasks.Go(func() { g.sweep(lifetime) })

	var err error
	select {
	case <-ctx.Done():
		deregister()
		err = g.stop()
		<-registration
	case err = <-failed:
		deregister()
	}
	endLifetime()
	g.log.Info("instance stopped", "error", errorText(err), "cut_off", g.metrics.cutOff.Load(), "turned_away", g.metrics.answers(result.CodeStopping))
	g.close()
	_ = g.server.Shutdown(lifetime)
	tasks.Wait()
	return err
}

func reportFailure(to chan<- error, err error) {
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

// handleDatagram processes a datagram by its kind, the first byte.
func (g *Gateway) handleDatagram(data []byte) {
	if len(data) == 0 {
		return
	}
	switch data[0] {
	case datagramChanges:
		decodeAndPost(g, data, g.control.handleChanges)
	case datagramFragment:
		g.handleFragment(data)
	case datagramResendRequest:
		decodeAndPost(g, data, g.control.handleResendRequest)
	case datagramLiveness:
		decodeAndPost(g, data, g.control.handleLivenessReport)
	case datagramPlacementRequest:
		decodeAndPost(g, data, g.control.handlePlacementRequest)
	case datagramPlacementReply:
		decodeAndPost(g, data, g.control.handlePlacementReply)
	case datagramGrantEnd:
		decodeAndPost(g, data, g.control.handleGrantEnd)
	case datagramHandoverRequest:
		decodeAndPost(g, data, g.control.handleHandoverRequest)
	case datagramHandover:
		decodeAndPost(g, data, g.control.handleHandover)
	case datagramConfigRequest:
		decodeAndPost(g, data, g.control.handleConfigRequest)
	case datagramConfirmationRequest:
		decodeAndPost(g, data, g.control.handleConfirmationRequest)
	case datagramConfirmationReply:
		decodeAndPost(g, data, g.control.handleConfirmationReply)
	case datagramQuotaLevels:
		decodeAndPost(g, data, g.control.handleQuotaLevels)
	case datagramFreshness:
		decodeAndPost(g, data, g.control.handleFreshnessReport)
	default:
		g.handleMessages(data)
	}
}

// decodeAndPost decodes a datagram that holds one message and posts it to the control loop.
func decodeAndPost[T any](g *Gateway, data []byte, handle func(now time.Time, m T)) {
	m, err := decodeKind[T](data[1:])
	if err != nil {
		g.log.Warn("ignoring a datagram that cannot be decoded", "error", err.Error())
		return
	}
	g.control.post(func() { handle(time.Now(), m) })
}

// handleMessages processes a datagram of messages to all instances, and forwards it within the
// zone if this instance is to relay it.
func (g *Gateway) handleMessages(data []byte) {
	list, err := decodeMessages(data)
	if err != nil {
		g.log.Warn("ignoring a datagram that cannot be decoded", "error", err.Error())
		return
	}
	if data[0] != datagramMessages {
		g.control.relay.forward(data[1:], data[0] == datagramRelayNow)
	}
	g.control.post(func() {
		now := time.Now()
		for i := range list {
			g.control.handleMessage(now, &list[i])
		}
	})
}

// handleFragment adds a fragment of a change batch. Fragments are reassembled on the goroutine
// that receives datagrams, which keeps this work off the control loop.
func (g *Gateway) handleFragment(data []byte) {
	frag, err := decodeKind[fragment](data[1:])
	if err != nil {
		g.log.Warn("ignoring a datagram that cannot be decoded", "error", err.Error())
		return
	}
	if encoded := g.reassembler.add(frag); encoded != nil {
		decodeAndPost(g, encoded, g.control.handleChanges)
	}
}

// schedule returns the schedule of a follower of the store.
func (g *Gateway) schedule() following.Schedule {
	return g.current().Promises.schedule()
}

// sweepInterval is how often idle connections to upstreams are checked, and connections closed to make
// room are logged.
const sweepInterval = 2 * time.Second

func (g *Gateway) sweep(ctx context.Context) {
	var retired int64
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		g.forwarder.Sweep(time.Now())
		retired = g.logRoom(retired)
	}
}

// storeEra returns the latest era of the store that this instance knows of.
func (g *Gateway) storeEra() uint64 {
	return max(g.store.Era(), platform.Revision(g.control.knownRevision.Load()).Era())
}
