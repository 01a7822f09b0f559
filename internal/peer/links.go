package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/sourcegraph/conc"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/accept"
	"github.com/damaskcove/damaskcove/internal/wire"
)

var (
	errUnknownInstance = errors.New("unknown peer address of instance")
	errLinkBlocked     = errors.New("link blocked")
)

// path is the HTTP path of the WebSocket endpoint.
const path = "/peer"

// Config configures Links.
type Config struct {
	Self        fleet.Instance // An empty PeerAddr is replaced by the listening address.
	Fleet       string
	Listen      string    // IP address and port.
	TLS         *TLSFiles // nil for plaintext on loopback.
	Resolve     func(fleet.Ref) (fleet.Instance, bool)
	Deliver     func(from fleet.Ref, e wire.Envelope)
	LinkBlocked func(to fleet.Ref) bool // Reports whether the link to an instance drops every message, to inject faults; may be nil.
	// Forwarders returns the instances that may forward a message while the direct link is
	// failing, in the order in which they are tried, or none if the receiver is not considered
	// alive. It may be nil.
	Forwarders func(to fleet.Ref) []fleet.Ref
	Log        *slog.Logger
}

// Links are the peer links of an instance. They are safe for concurrent use.
type Links struct {
	cfg         Config
	credentials *credentials
	client      *http.Client
	count       counters
	helloBytes  []byte
	listener    net.Listener

	ctx  context.Context
	wait conc.WaitGroup

	mu         sync.Mutex
	outgoing   map[fleet.Ref]*link
	helloPeers map[fleet.Ref]fleet.Instance // As described by the Hello that they sent.
}

// Hello is the first message on each link.
type Hello struct {
	Fleet string         `cbor:"1,keyasint"`
	From  fleet.Instance `cbor:"2,keyasint"`
}

// New checks the configuration and listens. It returns ErrPlaintext if the address is outside
// loopback and TLS is off.
func New(cfg Config) (*Links, error) {
	l := &Links{
		cfg:        cfg,
		outgoing:   make(map[fleet.Ref]*link),
		helloPeers: make(map[fleet.Ref]fleet.Instance),
	}
	if err := l.setUpTLS(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %q: %w", cfg.Listen, err)
	}
	l.listener = listener
	if cfg.Self.PeerAddr == "" {
		l.cfg.Self.PeerAddr = listener.Addr().String()
	}
	hello, err := wire.Encode(wire.KindHello, Hello{Fleet: cfg.Fleet, From: l.cfg.Self})
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	l.helloBytes = hello
	return l, nil
}

// Self returns the instance as it introduces itself to its peers.
func (l *Links) Self() fleet.Instance {
	return l.cfg.Self
}

// Close closes the listener of links that were never run.
func (l *Links) Close() error {
	return l.listener.Close()
}

func (l *Links) setUpTLS() error {
	if l.cfg.TLS == nil {
		l.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		return checkPlaintext(l.cfg.Listen)
	}
	c, err := loadCredentials(*l.cfg.TLS)
	if err != nil {
		return err
	}
	l.credentials = c
	return nil
}

// Run accepts incoming links and runs the outgoing ones until ctx ends.
func (l *Links) Run(ctx context.Context) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc(path, l.accept)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout}
	if l.credentials != nil {
		server.TLSConfig = l.credentials.server()
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := l.serve(server)
	l.wait.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve peers on %q: %w", l.cfg.Listen, err)
}

func (l *Links) serve(server *http.Server) error {
	listener := accept.Retry(l.listener, accept.NewFailures(l.cfg.Log).Observe)
	if l.credentials != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}

// Addr returns the listening address.
func (l *Links) Addr() string {
	return l.listener.Addr().String()
}

// Send queues a message for one incarnation of an instance. It never blocks. Delivery is not
// guaranteed.
func (l *Links) Send(to fleet.Ref, kind wire.Kind, body any) {
	l.TrySend(to, kind, body)
}

// TrySend is like Send, but reports whether the message was queued. It is not queued if it
// is too large, the queue is full or the address of the next hop is unknown.
func (l *Links) TrySend(to fleet.Ref, kind wire.Kind, body any) bool {
	data, err := wire.Encode(kind, body)
	if err != nil || len(data) > wire.MaxEnvelopeBytes {
		l.count.dropped.Add(1)
		l.cfg.Log.Error("message not sent", "to", to.String(), "kind", kind, "bytes", len(data), "bound", wire.MaxEnvelopeBytes, "error", err)
		return false
	}
	if l.Failing(to) {
		return l.sendVia(to, kind, data)
	}
	return l.sendDirect(to, item{kind: kind, data: data})
}

// sendDirect queues a message for the direct link to an instance.
func (l *Links) sendDirect(to fleet.Ref, it item) bool {
	dropped, queued := l.enqueue(to, it)
	l.count.dropped.Add(int64(dropped))
	if !queued {
		l.count.dropped.Add(1)
	}
	return queued
}

// enqueue holds the lock during the push, so that an idle link is not removed with the message
// in its queue.
func (l *Links) enqueue(to fleet.Ref, it item) (dropped int, queued bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.linkTo(to)
	if k == nil {
		return 0, false
	}
	return k.queue.push(it)
}

// Up reports whether the link to one incarnation of an instance is established. An unused link
// is not up.
func (l *Links) Up(to fleet.Ref) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.outgoing[to]
	return k != nil && k.up.Load()
}

// Failing reports whether the instance's address is unknown, or its link was dialed before and
// is not established now.
func (l *Links) Failing(to fleet.Ref) bool {
	_, known := l.resolve(to)
	if !known {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.outgoing[to]
	return k != nil && k.dialed.Load() && !k.up.Load()
}

// linkTo returns the link to an instance and starts it if there is none. It returns nil if the
// address is unknown or the links are not running. l.mu must be held.
func (l *Links) linkTo(to fleet.Ref) *link {
	if k := l.outgoing[to]; k != nil {
		return k
	}
	if l.ctx == nil || l.ctx.Err() != nil {
		return nil
	}
	if _, known := l.resolveLocked(to); !known {
		return nil
	}
	k := &link{links: l, to: to, queue: newQueue()}
	l.outgoing[to] = k
	ctx := l.ctx
	l.wait.Go(func() { k.run(ctx) })
	return k
}

// removeIfIdle removes an idle link unless a message has been queued in the meantime.
func (l *Links) removeIfIdle(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.queue.length() > 0 {
		return false
	}
	delete(l.outgoing, k.to)
	return true
}

// removeLink removes an ended link and drops its queued messages.
func (l *Links) removeLink(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count.dropped.Add(int64(k.queue.clear()))
	if l.outgoing[k.to] == k {
		delete(l.outgoing, k.to)
	}
}

// resolve looks an instance up by Config.Resolve, and then among the peers that sent a Hello.
func (l *Links) resolve(to fleet.Ref) (fleet.Instance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resolveLocked(to)
}

func (l *Links) resolveLocked(to fleet.Ref) (fleet.Instance, bool) {
	if in, ok := l.cfg.Resolve(to); ok {
		return in, true
	}
	in, ok := l.helloPeers[to]
	return in, ok
}

func (l *Links) blocked(to fleet.Ref) bool {
	return l.cfg.LinkBlocked != nil && l.cfg.LinkBlocked(to)
}

func (l *Links) dial(ctx context.Context, to fleet.Instance) (*websocket.Conn, error) {
	client := l.client
	scheme := "ws"
	if l.credentials != nil {
		scheme = "wss"
		client = &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true,
			TLSClientConfig:   l.credentials.client(string(to.Ref.ID)),
		}}
	} else if err := checkPlaintext(to.PeerAddr); err != nil {
		return nil, err
	}
	conn, _, err := websocket.Dial(ctx, scheme+"://"+to.PeerAddr+path, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return nil, fmt.Errorf("dial instance %s at %q: %w", to.Ref, to.PeerAddr, err)
	}
	return conn, nil
}

// flushPollInterval is the time between checks of the queues in Flush.
const flushPollInterval = 10 * time.Millisecond

// Flush waits until the queues of all established links are empty or ctx ends.
func (l *Links) Flush(ctx context.Context) {
	for l.queued() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushPollInterval):
		}
	}
}

func (l *Links) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, k := range l.outgoing {
		if k.up.Load() {
			total += k.queue.length()
		}
	}
	return total
}
