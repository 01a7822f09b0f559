package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/damaskcove/damaskcove/coord/claim"
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/membership"
	"github.com/damaskcove/damaskcove/coord/placement"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/claims"
	"github.com/damaskcove/damaskcove/internal/config"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/dispatch"
	"github.com/damaskcove/damaskcove/internal/endpoints"
	"github.com/damaskcove/damaskcove/internal/entry"
	"github.com/damaskcove/damaskcove/internal/listing"
	"github.com/damaskcove/damaskcove/internal/members"
	"github.com/damaskcove/damaskcove/internal/operator"
	"github.com/damaskcove/damaskcove/internal/peer"
	"github.com/damaskcove/damaskcove/internal/relay"
	"github.com/damaskcove/damaskcove/internal/settings"
	"github.com/damaskcove/damaskcove/internal/storecall"
	"github.com/damaskcove/damaskcove/internal/storekeys"
	"github.com/damaskcove/damaskcove/internal/wire"
	"github.com/damaskcove/damaskcove/platform"
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
	Store       platform.Store
	List        platform.List
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

	router    atomic.Pointer[entry.Router]
	appliedAt atomic.Pointer[time.Time]
	stopping  atomic.Bool
	started   time.Time
	fatal     chan error
	refused   expvar.Map // Messages that duties refused, by kind.
}

// New listens on the instance's addresses and puts its parts together. ctx bounds the
// instance's calls of the platform.
func New(ctx context.Context, o Options) (*Node, error) {
	n := &Node{opts: o, log: o.Log, started: time.Now(), fatal: make(chan error, 1)}
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

// provision makes the duties and adds them to the control loop.
func (n *Node) provision(ctx context.Context) error {
	s := n.opts.Settings
	keyring, err := newKeyring(s.Tickets.Keys)
	if err != nil {
		return err
	}
	keys := storekeys.Keys{Fleet: s.Instance.Fleet}
	n.loop = control.NewLoop(n.refuse)
	n.calls = relay.NewCalls(n.links, n)
	n.budget = storecall.NewBudget(time.Now)
	n.members = members.New(ctx, members.Options{
		Self:         n.self,
		Config:       membership.Config{Fleet: s.Instance.Fleet},
		RosterKey:    keys.Roster(),
		Random:       n.random(1),
		Loop:         n.loop,
		Sender:       n.links,
		Store:        n.opts.Store,
		Budget:       n.budget,
		Log:          n.log,
		OnChange:     n.membersChanged,
		OnRejoined:   func(fleet.Instance) { n.fail(ErrRejoin) },
		OnSuperseded: func(by fleet.Instance) { n.fail(fmt.Errorf("%w: %s", ErrSuperseded, by.Ref)) },
	})
	n.config = config.New(ctx, config.Options{
		Config:          rollout.MachineConfig{Fleet: s.Instance.Fleet},
		Keys:            keys,
		WatchersPerZone: s.Fleet.WatchersPerZone,
		Random:          n.random(2),
		Loop:            n.loop,
		Sender:          n.links,
		Store:           n.opts.Store,
		Budget:          n.budget,
		Members:         n.members,
		Log:             n.log,
		OnApply:         n.configApplied,
	})
	n.listing = listing.New(listing.Options{
		List:     platform.CountedList(n.opts.List, func(op string) { storecall.Calls.Add("listing."+op, 1) }),
		Sender:   n.links,
		Watcher:  n.watches,
		Peers:    n.zonePeers,
		Post:     n.loop.Post,
		OnChange: n.takeListing,
		Random:   n.random(3),
	})
	n.endpoints = endpoints.NewDuty(endpoints.Options{
		Health:   health.DefaultConfig(),
		Carriers: s.Fleet.CarriersPerService,
		Sender:   n.links,
		Publish:  n.targetsChanged,
		Log:      n.log,
		Tracer:   n.opts.Tracer,
	})
	n.dispatcher = dispatch.New(dispatch.Settings{
		MaxAnswerBytes: int(s.Limits.MaxAnswerBytes),
		DialTimeout:    s.Limits.UpstreamDial,
		IdleTimeout:    s.Limits.UpstreamIdle,
		Outgoing:       s.Listen.Outgoing,
		Seed:           n.opts.Seed,
	}, dispatch.Hooks{Observe: n.endpoints.Observe, Leaving: n.upstreamLeaving})
	n.claims = claims.New(claims.Options{
		Fleet:    s.Instance.Fleet,
		Self:     n.self,
		Loop:     n.loop,
		Sender:   n.links,
		Relay:    n.calls,
		Executor: n.dispatcher,
		Keys:     keyring,
		Limits:   claim.Limits{MaxKeys: s.Limits.ClaimTableKeys},
		Log:      n.log,
	})
	n.loop.Add(n.members)
	n.loop.Add(n.config)
	n.loop.Add(n.listing)
	n.loop.Add(n.endpoints)
	n.loop.Add(n.claims)
	return nil
}

// random returns a source of its own for one duty.
func (n *Node) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.opts.Seed, stream))
}

// newKeyring returns the ring of the ticket keys, whose numbers are hashes of their names.
func newKeyring(keys []settings.TicketKey) (*claim.Keyring, error) {
	var signing []claim.SigningKey
	for _, k := range keys {
		h := fnv.New32a()
		_, _ = h.Write([]byte(k.ID))
		signing = append(signing, claim.SigningKey{ID: h.Sum32(), Secret: k.Bytes})
	}
	ring, err := claim.NewKeyring(signing)
	if err != nil {
		return nil, fmt.Errorf("ticket keys: %w", err)
	}
	return ring, nil
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

// deliver hands a peer's message to the relays or to the control goroutine.
func (n *Node) deliver(from fleet.Ref, e wire.Envelope) {
	if !relay.Takes(e.Kind) {
		n.loop.Deliver(from, e)
		return
	}
	if err := n.calls.Deliver(context.Background(), from, e); err != nil {
		n.refuse(from, e.Kind, err)
	}
}

// carriersOf is the placement that the health duty needs: carriers by the roster's
// generation alone, the judge by what this instance takes to be alive.
type carriersOf struct {
	roster *placement.Map
	alive  *placement.Map
}

func (c carriersOf) Carriers(s fleet.Service, count int) []fleet.Instance {
	return c.roster.Carriers(s, count)
}

func (c carriersOf) Judge(s fleet.Service) (fleet.Instance, bool) {
	return c.alive.Judge(s)
}

// membersChanged runs on the control goroutine.
func (n *Node) membersChanged(now time.Time, s *members.Snapshot) {
	n.budget.SetFleetSize(len(s.Roster.Instances))
	p := carriersOf{roster: placement.NewMap(s.Roster.Instances), alive: s.Map}
	n.endpoints.SetFleet(now, s.Roster.Generation, p, s.Self)
}

// maxVia bounds the instances that are asked to pass a message on.
const maxVia = 4

// via returns instances that may pass a message on to another, those of other zones
// than this one's first; none when the receiver is not believed alive.
func (n *Node) via(to fleet.Ref) []fleet.Ref {
	m := n.members.Snapshot().Map
	if m == nil || !contains(m.Instances(), to) {
		return nil
	}
	instances := m.Instances()
	start := rand.IntN(len(instances))
	var far, near []fleet.Ref
	for i := range instances {
		in := instances[(start+i)%len(instances)]
		switch {
		case in.Ref == to || in.Ref == n.self.Ref:
		case in.Zone != n.self.Zone:
			far = append(far, in.Ref)
		default:
			near = append(near, in.Ref)
		}
		if len(far) >= maxVia {
			break
		}
	}
	return append(far, near...)
}

// watches reports whether this instance reads the platform's list for its zone.
func (n *Node) watches() bool {
	m := n.members.Snapshot().Map
	if m == nil {
		return false
	}
	return contains(m.Watchers(n.self.Zone, n.opts.Settings.Fleet.WatchersPerZone), n.self.Ref)
}

// zonePeers returns the other instances of this one's zone.
func (n *Node) zonePeers() []fleet.Ref {
	m := n.members.Snapshot().Map
	if m == nil {
		return nil
	}
	var peers []fleet.Ref
	for _, in := range m.Instances() {
		if in.Zone == n.self.Zone && in.Ref != n.self.Ref {
			peers = append(peers, in.Ref)
		}
	}
	return peers
}

// configApplied runs on the control goroutine.
func (n *Node) configApplied(now time.Time, c *rollout.Config) {
	n.router.Store(entry.NewRouter(c))
	n.appliedAt.Store(&now)
	n.endpoints.SetConfig(now, c)
}

// targetsChanged runs on the control goroutine.
func (n *Node) targetsChanged(service fleet.Service, targets []routing.Target, t rollout.ServiceTemplate) {
	n.dispatcher.SetTargets(service, n.routingConfig(t), targets)
}

func (n *Node) routingConfig(t rollout.ServiceTemplate) routing.Config {
	return routing.Config{
		RetryShare: t.RetryShare,
		Zone:       n.self.Zone,
		Weights:    weights(n.config.Current(), t.Name),
	}
}

// weights returns the shares of the accounts whose share is not one.
func weights(c *rollout.Config, service fleet.Service) map[fleet.Account]int {
	if c == nil {
		return nil
	}
	shares := make(map[fleet.Account]int)
	for name, a := range c.Accounts {
		if a.Weight > 1 && calls(a, service) {
			shares[name] = a.Weight
		}
	}
	return shares
}

func calls(a rollout.AccountTemplate, service fleet.Service) bool {
	for _, s := range a.Services {
		if s == service {
			return true
		}
	}
	return false
}

// upstreamLeaving takes an upstream's own word that it leaves.
func (n *Node) upstreamLeaving(service fleet.Service, endpoint fleet.Endpoint) {
	n.loop.Post(func(now time.Time) { n.endpoints.Leaving(now, service, endpoint) })
}
