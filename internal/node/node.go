package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/shutdown"
	"github.com/damaskcove/damaskcove/internal/claims"
	"github.com/damaskcove/damaskcove/internal/config"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/dispatch"
	"github.com/damaskcove/damaskcove/internal/endpoints"
	"github.com/damaskcove/damaskcove/internal/entry"
	"github.com/damaskcove/damaskcove/internal/listing"
	"github.com/damaskcove/damaskcove/internal/members"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/operator"
	"github.com/damaskcove/damaskcove/internal/peer"
	"github.com/damaskcove/damaskcove/internal/relay"
	"github.com/damaskcove/damaskcove/internal/settings"
	"github.com/damaskcove/damaskcove/internal/storecall"
	"github.com/damaskcove/damaskcove/internal/wire"
)

var (
	// ErrRejoin reports that the fleet declared the instance dead. It must rejoin with a new incarnation.
	ErrRejoin = errors.New("instance was removed from the roster")
	// ErrKilled reports that Kill ended the instance.
	ErrKilled = errors.New("instance was killed")
	// ErrSuperseded reports that another process runs with the instance's ID.
	ErrSuperseded = errors.New("another process runs with the instance's ID")
)

// Options configure a Node.
type Options struct {
	Settings    *settings.Settings
	Incarnation fleet.Incarnation // Higher than any previous incarnation of the instance.
	Store       metastore.Store
	List        metastore.List
	Log         *slog.Logger
	Tracer      trace.Tracer
	Seed        uint64 // Seeds the random choices.
	// NoStopBefore returns a time until which no planned stop had been requested. Nil: a stop counts from the end
	// of Run's context.
	NoStopBefore func() time.Time
	// Inject faults in tests and the demo; may be nil.
	LinkBlocked        func(to fleet.Ref) bool         // Reports whether the link to a peer drops every message.
	WrapCallerListener func(net.Listener) net.Listener // Wraps the listener for callers.
}

// Node is one incarnation of an entry instance.
type Node struct {
	opts Options
	self fleet.Instance
	log  *slog.Logger

	entry    *entry.Server
	operator *operator.Server
	links    *peer.Links
	calls    *relay.Calls
	loop     *control.Loop

	members      *members.Manager
	config       *config.Manager
	listing      *listing.Manager
	endpoints    *endpoints.Manager
	claims       *claims.Claims
	dispatcher   *dispatch.Dispatcher
	budget       *storecall.Budget
	storeMonitor *storecall.Monitor

	router    atomic.Pointer[entry.Router]
	appliedAt atomic.Pointer[time.Time]
	weights   map[fleet.Service]map[fleet.Account]int // Of the active configuration. Used by the control goroutine only.
	stopping  atomic.Bool
	plan      atomic.Pointer[shutdown.Plan] // Nil until a planned stop begins.
	started   time.Time
	fatal     chan error
	rejected  expvar.Map // Messages that components rejected, by kind.
}

// New listens on the instance's addresses and creates its components. ctx bounds the
// instance's calls to the platform.
func New(ctx context.Context, o Options) (*Node, error) {
	if o.NoStopBefore == nil {
		o.NoStopBefore = time.Now
	}
	storeMonitor := storecall.NewMonitor(o.Store, time.Now)
	o.Store = storeMonitor
	n := &Node{opts: o, storeMonitor: storeMonitor, log: o.Log, started: time.Now(), fatal: make(chan error, 1)}
	n.rejected.Init()
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	if err := n.createComponents(ctx); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// listen opens the three listeners. This comes first since the addresses to advertise may
// depend on the ports that the system chose.
func (n *Node) listen() error {
	s := n.opts.Settings
	n.self = fleet.Instance{
		Ref:    fleet.Ref{ID: s.Instance.ID, Incarnation: n.opts.Incarnation},
		Zone:   s.Instance.Zone,
		Region: s.Instance.Region,
	}
	var err error
	n.entry, err = entry.New(entry.Config{
		Listen:         s.Listen.Entry,
		MaxBodyBytes:   int(s.Limits.MaxBodyBytes),
		MaxInFlight:    int64(s.Limits.MaxInFlight),
		MaxHeaderBytes: int(s.Limits.MaxHeaderBytes),
		MaxConnections: s.Limits.MaxConnections,
		IdleTimeout:    s.Limits.IdleTimeout,
		ReadTimeout:    s.Limits.ReadTimeout,
		Tracer:         n.opts.Tracer,
		Log:            n.log,
		WrapListener:   n.opts.WrapCallerListener,
	}, n)
	if err != nil {
		return err
	}
	n.self.EntryAddr = advertised(s.Listen.EntryAdvertised, n.entry.Addr())
	n.operator, err = operator.New(s.Listen.Operator, s.Operator.Token, n, n.log)
	if err != nil {
		return err
	}
	n.self.OperatorAddr = advertised(s.Listen.OperatorAdvertised, n.operator.Addr())
	n.self.PeerAddr = s.Listen.PeerAdvertised
	n.links, err = peer.New(peer.Config{
		Self:        n.self,
		Fleet:       s.Instance.Fleet,
		Listen:      s.Listen.Peer,
		TLS:         tlsFiles(s.Peer),
		Resolve:     func(to fleet.Ref) (fleet.Instance, bool) { return n.members.Resolve(to) },
		Deliver:     n.deliver,
		LinkBlocked: n.opts.LinkBlocked,
		Forwarders:  n.forwarders,
		Log:         n.log,
	})
	if err != nil {
		return err
	}
	n.self = n.links.Self()
	return nil
}

// advertised returns the configured address to advertise, or else the listening address.
func advertised(configured, listening string) string {
	if configured != "" {
		return configured
	}
	return listening
}

func tlsFiles(p settings.Peer) *peer.TLSFiles {
	if p.Plaintext {
		return nil
	}
	return &peer.TLSFiles{Certificate: p.CertFile, Key: p.KeyFile, Authority: p.CAFile}
}

// close closes the listeners of an instance that will not run.
func (n *Node) close() {
	if n.entry != nil {
		_ = n.entry.Close()
	}
	if n.links != nil {
		_ = n.links.Close()
	}
	if n.operator != nil {
		_ = n.operator.Close()
	}
}

// Self returns the instance's identity and advertised addresses.
func (n *Node) Self() fleet.Instance {
	return n.self
}

// OperatorAddr returns the listening address of the operator API.
func (n *Node) OperatorAddr() string {
	return n.operator.Addr()
}

// Kill ends the instance at once, without a planned stop, to simulate a machine failure.
func (n *Node) Kill() {
	n.fail(ErrKilled)
}

// fail ends the instance with err. Later errors are ignored.
func (n *Node) fail(err error) {
	select {
	case n.fatal <- err:
	default:
	}
}

// rejectMessage counts and logs a message that a component rejected.
func (n *Node) rejectMessage(from fleet.Ref, kind wire.Kind, err error) {
	n.rejected.Add(fmt.Sprint(kind), 1)
	n.log.Debug("peer message rejected", "from", from.String(), "kind", kind, "error", err.Error())
}

// LinkStats returns the counters of the peer links.
func (n *Node) LinkStats() peer.Stats {
	return n.links.Stats()
}
