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
	// ErrRejoin says that the fleet took the instance for dead; it must start again as another life.
	ErrRejoin = errors.New("instance was taken off the roster")
	// ErrKilled says that Kill ended the instance.
	ErrKilled = errors.New("instance was killed")
	// ErrSuperseded says that another process runs with the instance's ID.
	ErrSuperseded = errors.New("another process has the instance's ID")
)

// Options are what an instance needs from its program.
type Options struct {
	Settings    *settings.Settings
	Incarnation fleet.Incarnation // Higher than that of any former life.
	Store       metastore.Store
	List        metastore.List
	Log         *slog.Logger
	Tracer      trace.Tracer
	Seed        uint64 // Of the random choices.
	// Faults for tests and the demo; nil for none.
	Blocked func(to fleet.Ref) bool         // Peer links that lose every message.
	Wrap    func(net.Listener) net.Listener // Callers' connections.
}

// Node is one life of an entry instance.
type Node struct {
	opts Options
	self fleet.Instance
	log  *slog.Logger

	entry    *entry.Server
	operator *operator.Server
	links    *peer.Links
	calls    *relay.Calls
	loop     *control.Loop

	members    *members.Duty
	config     *config.Duty
	listing    *listing.Duty
	endpoints  *endpoints.Duty
	claims     *claims.Claims
	dispatcher *dispatch.Dispatcher
	budget     *storecall.Budget
	reach      *storecall.Monitor

	router    atomic.Pointer[entry.Router]
	appliedAt atomic.Pointer[time.Time]
	weights   map[fleet.Service]map[fleet.Account]int // Of the configuration in force; the control goroutine's.
	stopping  atomic.Bool
	started   time.Time
	fatal     chan error
	refused   expvar.Map // Messages that duties refused, by kind.
}

// New listens on the instance's addresses and puts its parts together. ctx bounds the
// instance's calls of the platform.
func New(ctx context.Context, o Options) (*Node, error) {
	reach := storecall.NewMonitor(o.Store, time.Now)
	o.Store = reach
	n := &Node{opts: o, reach: reach, log: o.Log, started: time.Now(), fatal: make(chan error, 1)}
	n.refused.Init()
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	if err := n.provision(ctx); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// listen opens the three addresses, so that the instance knows what to advertise.
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
		Wrap:           n.opts.Wrap,
	}, n)
	if err != nil {
		return err
	}
	n.self.EntryAddr = advertised(s.Listen.EntryAdvertised, n.entry.Addr())
	n.operator, err = operator.New(s.Listen.Operator, s.Operator.Token, n)
	if err != nil {
		return err
	}
	n.self.OperatorAddr = advertised(s.Listen.OperatorAdvertised, n.operator.Addr())
	n.self.PeerAddr = s.Listen.PeerAdvertised
	n.links, err = peer.New(peer.Config{
		Self:    n.self,
		Fleet:   s.Instance.Fleet,
		Listen:  s.Listen.Peer,
		TLS:     tlsFiles(s.Peer),
		Resolve: func(to fleet.Ref) (fleet.Instance, bool) { return n.members.Resolve(to) },
		Deliver: n.deliver,
		Blocked: n.opts.Blocked,
		Via:     n.via,
		Log:     n.log,
	})
	if err != nil {
		return err
	}
	n.self = n.links.Self()
	return nil
}

// advertised returns the address that others are told.
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

// close gives back the addresses of an instance that will not run.
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

// Self returns the instance as others see it.
func (n *Node) Self() fleet.Instance {
	return n.self
}

// OperatorAddr returns the address of the operators' endpoints.
func (n *Node) OperatorAddr() string {
	return n.operator.Addr()
}

// Kill ends the instance at once, without a planned stop, as a lost machine would.
func (n *Node) Kill() {
	n.fail(ErrKilled)
}

// fail ends the instance with err. Only the first error counts.
func (n *Node) fail(err error) {
	select {
	case n.fatal <- err:
	default:
	}
}

// refuse counts and logs a message that a duty did not take.
func (n *Node) refuse(from fleet.Ref, kind wire.Kind, err error) {
	n.refused.Add(fmt.Sprint(kind), 1)
	n.log.Debug("message refused", "from", from.String(), "kind", kind, "error", err.Error())
}

// LinkStats returns the counters of the peer links.
func (n *Node) LinkStats() peer.Stats {
	return n.links.Stats()
}
