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
	"github.com/damaskcove/damaskcove/internal/wire"
)

var (
	errUnknownInstance = errors.New("instance's peer address not known")
	errLinkBlocked     = errors.New("link blocked")
)

// path is the HTTP path of the WebSocket.
const path = "/peer"

// Config is what Links need.
type Config struct {
	Self        fleet.Instance // An empty PeerAddr becomes the address listened on.
	Fleet       string
	Listen      string    // IP number and port.
	TLS         *TLSFiles // nil for plaintext on loopback.
	Resolve     func(fleet.Ref) (fleet.Instance, bool)
	Deliver     func(from fleet.Ref, e wire.Envelope)
	LinkBlocked func(to fleet.Ref) bool // Faults for tests and the demo; nil for none.
	// Forwarders returns instances that may pass a message on while the direct link fails, in the
	// order in which they are tried; none when to is not believed alive. Nil for none.
	Forwarders func(to fleet.Ref) []fleet.Ref
	Log        *slog.Logger
}

// Links are the peer links of one instance.
type Links struct {
	cfg         Config
	credentials *credentials
	client      *http.Client
	count       counters
	helloBytes  []byte
	listener    net.Listener

	ctx  context.Context
	wait conc.WaitGroup

	mu    sync.Mutex
	out   map[fleet.Ref]*link
	heard map[fleet.Ref]fleet.Instance // Peers by the Hello they sent.
}

// Hello is the first message on each link.
type Hello struct {
	Fleet string         `cbor:"1,keyasint"`
	From  fleet.Instance `cbor:"2,keyasint"`
}

// New checks the configuration and listens. It returns ErrPlaintext for an address outside loopback without TLS.
func New(cfg Config) (*Links, error) {
	l := &Links{
		cfg:   cfg,
		out:   make(map[fleet.Ref]*link),
		heard: make(map[fleet.Ref]fleet.Instance),
	}
	if err := l.provisionTLS(); err != nil {
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

// Self returns the instance as its peers see it.
func (l *Links) Self() fleet.Instance {
	return l.cfg.Self
}

// Close stops listening. It is for links that were never run.
func (l *Links) Close() error {
	return l.listener.Close()
}

func (l *Links) provisionTLS() error {
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

// Run accepts links and keeps the outgoing ones until ctx ends.
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
	if l.credentials != nil {
		return server.ServeTLS(l.listener, "", "")
	}
	return server.Serve(l.listener)
}

// Addr returns the address that the links listen on.
func (l *Links) Addr() string {
	return l.listener.Addr().String()
}

// Send queues a message for one life of an instance. It never blocks; the message may be lost.
func (l *Links) Send(to fleet.Ref, kind wire.Kind, body any) {
	l.TrySend(to, kind, body)
}

// TrySend does the same as Send and reports whether the message was queued for an instance whose address is known.
func (l *Links) TrySend(to fleet.Ref, kind wire.Kind, body any) bool {
	data, err := wire.Encode(kind, body)
	if err != nil || len(data) > wire.MaxEnvelopeBytes {
		l.count.dropped.Add(1)
		l.cfg.Log.Error("message not sent", "to", to.String(), "kind", kind, "bytes", len(data), "bound", wire.MaxEnvelopeBytes, "error", err)
		return false
	}
	if l.Failing(to) {
		return l.offerVia(to, kind, data)
	}
	return l.offerDirect(to, item{kind: kind, data: data})
}

// offerDirect queues a message for the link to its receiver.
func (l *Links) offerDirect(to fleet.Ref, it item) bool {
	dropped, taken := l.enqueue(to, it)
	l.count.dropped.Add(int64(dropped))
	if !taken {
		l.count.dropped.Add(1)
	}
	return taken
}

// enqueue holds the lock while it pushes, so that an idle link is not retired with the message in its queue.
func (l *Links) enqueue(to fleet.Ref, it item) (dropped int, taken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.linkTo(to)
	if k == nil {
		return 0, false
	}
	return k.queue.push(it)
}

// Up reports whether the link to one life of an instance is established. A link that was never used is not up.
func (l *Links) Up(to fleet.Ref) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.out[to]
	return k != nil && k.up.Load()
}

// Failing reports whether the last attempts to reach an instance have failed.
func (l *Links) Failing(to fleet.Ref) bool {
	_, known := l.resolve(to)
	if !known {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.out[to]
	return k != nil && k.tried.Load() && !k.up.Load()
}

// linkTo returns the link to an instance, started when there is none; nil when its
// address is not known. The lock is held.
func (l *Links) linkTo(to fleet.Ref) *link {
	if k := l.out[to]; k != nil {
		return k
	}
	if l.ctx == nil || l.ctx.Err() != nil {
		return nil
	}
	if _, known := l.resolveLocked(to); !known {
		return nil
	}
	k := &link{links: l, to: to, queue: newQueue()}
	l.out[to] = k
	ctx := l.ctx
	l.wait.Go(func() { k.run(ctx) })
	return k
}

// retire forgets an idle link, unless a message has come for it meanwhile.
func (l *Links) retire(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.queue.length() > 0 {
		return false
	}
	delete(l.out, k.to)
	return true
}

// forget removes a link that has ended, with what is queued.
func (l *Links) forget(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count.dropped.Add(int64(k.queue.clear()))
	if l.out[k.to] == k {
		delete(l.out, k.to)
	}
}

// resolve returns the address of an instance from the roster, or from the Hello that it sent.
func (l *Links) resolve(to fleet.Ref) (fleet.Instance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resolveLocked(to)
}

func (l *Links) resolveLocked(to fleet.Ref) (fleet.Instance, bool) {
	if in, ok := l.cfg.Resolve(to); ok {
		return in, true
	}
	in, ok := l.heard[to]
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

// shutdownGrace is how long Flush waits between looks at the queues.
const shutdownGrace = 10 * time.Millisecond

// Flush waits until every queue is empty or ctx ends.
func (l *Links) Flush(ctx context.Context) {
	for l.queued() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(shutdownGrace):
		}
	}
}

func (l *Links) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, k := range l.out {
		if k.up.Load() {
			total += k.queue.length()
		}
	}
	return total
}
