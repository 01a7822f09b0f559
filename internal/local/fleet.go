package local

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/metastore/client"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/node"
	"github.com/damaskcove/damaskcove/internal/operate"
	"github.com/damaskcove/damaskcove/internal/operator/api"
	"github.com/damaskcove/damaskcove/internal/settings"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// loopback is the address that every server listens on; the system picks the port.
const loopback = "127.0.0.1:0"

// readyPollInterval is the time between two checks of whether the fleet is ready.
const readyPollInterval = 10 * time.Millisecond

// ErrNotReady means that the fleet did not become ready in time.
var ErrNotReady = errors.New("fleet not ready")

// Options configure a local fleet.
type Options struct {
	Name            string // The fleet's name.
	Zones           []fleet.Zone
	Region          fleet.Region
	Seed            uint64
	DiscoveryMaxAge time.Duration
	TicketLifetime  time.Duration
	StopTimeout     time.Duration
	ListLag         time.Duration // Age of the list that the platform returns.
	Log             *slog.Logger  // Nil discards the log.
	Tracer          trace.Tracer  // Nil disables tracing.
}

// Fleet is a fleet in one process.
type Fleet struct {
	opts     Options
	Platform *standin.Platform
	Host     *upstream.Host
	server   *standin.Server
	wait     conc.WaitGroup

	mu         sync.Mutex
	instances  []*Instance
	lastNumber int
	blocked    map[link]bool
}

// link is the connection of two instances in one direction.
type link struct {
	from, to fleet.InstanceID
}

// Instance is one entry instance of the local fleet.
type Instance struct {
	ID   fleet.InstanceID
	Zone fleet.Zone

	node     atomic.Pointer[node.Node]        // The current incarnation.
	listener atomic.Pointer[trackingListener] // Of the current incarnation.
	stop     context.CancelFunc
	ended    chan struct{}
	err      error // Valid once ended is closed.
}

// Start starts the platform and the upstream host, without upstreams and instances.
func Start(o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("local")
	}
	f := &Fleet{opts: o, blocked: make(map[link]bool)}
	f.Platform = standin.New(standin.Options{Faults: standin.Faults{ListLag: o.ListLag}})
	f.Host = upstream.NewHost(upstream.HostOptions{Seed: o.Seed, RecordIdempotent: true, OnChange: f.listUpstreams})
	server, err := standin.Serve(f.Platform, loopback)
	if err != nil {
		return nil, err
	}
	f.server = server
	return f, nil
}

// listUpstreams copies the host's upstreams to the platform's list.
func (f *Fleet) listUpstreams(h *upstream.Host) {
	f.Platform.UpdateListing(func(l *metastore.Listing) { l.Upstreams = h.Upstreams() })
}

// PlatformAddr returns the address of the platform.
func (f *Fleet) PlatformAddr() string {
	return f.server.Addr()
}

// Apply commits a configuration change, as the operators' tool does.
func (f *Fleet) Apply(ctx context.Context, change rollout.Change, changeID string) (operate.Accepted, error) {
	store := client.New(f.PlatformAddr(), "operator")
	defer store.Close()
	return operate.Apply(ctx, store, f.opts.Name, nil, change, changeID)
}

// settings returns the settings of a new instance.
func (f *Fleet) settings(id fleet.InstanceID, zone fleet.Zone) *settings.Settings {
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Fleet: f.opts.Name, Zone: zone, Region: f.opts.Region}
	s.Listen = settings.Listen{Entry: loopback, Peer: loopback, Operator: loopback}
	s.Platform.Address = f.PlatformAddr()
	s.Peer.Plaintext = true
	s.Operator.Token = OperatorToken
	s.Tickets.Keys = []settings.TicketKey{{ID: "local", Bytes: make([]byte, settings.MinSecretBytes)}}
	overrideDuration(&s.Tickets.Lifetime, f.opts.TicketLifetime)
	overrideDuration(&s.Fleet.DiscoveryMaxAge, f.opts.DiscoveryMaxAge)
	overrideDuration(&s.Stop.Timeout, f.opts.StopTimeout)
	return &s
}

// OperatorToken is the bearer token of the instances' operator endpoints.
const OperatorToken = "local-operator-token"

func overrideDuration(to *time.Duration, value time.Duration) {
	if value > 0 {
		*to = value
	}
}

// Add starts an instance in a zone.
func (f *Fleet) Add(zone fleet.Zone) (*Instance, error) {
	f.mu.Lock()
	f.lastNumber++
	number := f.lastNumber
	f.mu.Unlock()
	return f.run(fleet.InstanceID(fmt.Sprintf("entry-%d", number)), zone, uint64(number))
}

func (f *Fleet) run(id fleet.InstanceID, zone fleet.Zone, number uint64) (*Instance, error) {
	in := &Instance{ID: id, Zone: zone, ended: make(chan struct{})}
	store := client.New(f.PlatformAddr(), string(id))
	ctx, stop := context.WithCancel(context.Background())
	in.stop = stop
	started := make(chan struct{}, 1)
	f.wait.Go(func() {
		defer close(in.ended)
		defer store.Close()
		in.err = node.RunIncarnations(ctx, f.nodeOptions(in, store, number), func(n *node.Node) {
			f.incarnationStarted(in, n)
			select {
			case started <- struct{}{}:
			default:
			}
		})
		f.instanceEnded(in)
	})
	select {
	case <-started:
	case <-in.ended:
		return nil, in.err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, in)
	return in, nil
}

// incarnationStarted replaces the previous incarnation of an instance, which has ended, in the
// platform's list.
func (f *Fleet) incarnationStarted(in *Instance, n *node.Node) {
	if previous := in.node.Swap(n); previous != nil {
		f.listInstance(previous.Self(), false)
	}
	f.listInstance(n.Self(), true)
}

// instanceEnded removes an instance from the platform's list and closes its callers' connections,
// as the exit of a process does.
func (f *Fleet) instanceEnded(in *Instance) {
	if l := in.listener.Load(); l != nil {
		l.closeAll()
	}
	if n := in.node.Load(); n != nil {
		f.listInstance(n.Self(), false)
	}
}

func (f *Fleet) nodeOptions(in *Instance, store *client.Client, number uint64) node.Options {
	return node.Options{
		Settings:    f.settings(in.ID, in.Zone),
		Store:       store,
		List:        store,
		Log:         f.opts.Log.With("instance", in.ID),
		Tracer:      f.opts.Tracer,
		Seed:        f.opts.Seed + number,
		LinkBlocked: func(to fleet.Ref) bool { return f.isBlocked(in.ID, to.ID) },
		WrapCallerListener: func(l net.Listener) net.Listener {
			wrapped := newTrackingListener(l)
			in.listener.Store(wrapped)
			return wrapped
		},
	}
}

// Node returns the current incarnation of the instance.
func (in *Instance) Node() *node.Node {
	return in.node.Load()
}

// listInstance adds an instance to the platform's list or removes it.
func (f *Fleet) listInstance(in fleet.Instance, live bool) {
	f.Platform.UpdateListing(func(l *metastore.Listing) {
		var kept []fleet.Instance
		for _, other := range l.Instances {
			if other.Ref != in.Ref {
				kept = append(kept, other)
			}
		}
		if live {
			kept = append(kept, in)
		}
		l.Instances = kept
	})
}

// Instances returns the running instances.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*Instance
	for _, in := range f.instances {
		select {
		case <-in.ended:
		default:
			running = append(running, in)
		}
	}
	return running
}

// EntryAddrs returns the addresses at which the running instances accept callers.
func (f *Fleet) EntryAddrs() []string {
	var addresses []string
	for _, in := range f.Instances() {
		addresses = append(addresses, in.Node().Self().EntryAddr)
	}
	return addresses
}

// Stop stops the instance gracefully and waits for its end.
func (in *Instance) Stop() error {
	in.stop()
	<-in.ended
	return in.err
}

// Kill stops the instance at once, with its connections and the requests in flight.
func (in *Instance) Kill() {
	in.listener.Load().closeAll()
	in.Node().Kill()
	<-in.ended
}

// Ended returns a channel that is closed when the instance has ended.
func (in *Instance) Ended() <-chan struct{} {
	return in.ended
}

// Err returns the error that ended the instance. It is valid once Ended is closed.
func (in *Instance) Err() error {
	return in.err
}

// BlockLink drops every message from one instance to another, in this direction only.
func (f *Fleet) BlockLink(from, to fleet.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked[link{from, to}] = true
}

// UnblockLinks removes every block that BlockLink has set.
func (f *Fleet) UnblockLinks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.blocked)
}

func (f *Fleet) isBlocked(from, to fleet.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked[link{from, to}]
}

// WaitReady waits until every instance serves revision or a later one, considers every other
// instance alive and has an endpoint for each service that it carries.
func (f *Fleet) WaitReady(ctx context.Context, revision fleet.Revision) error {
	for {
		reason := f.notReadyReason(revision)
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrNotReady, reason)
		case <-time.After(readyPollInterval):
		}
	}
}

// notReadyReason names the first instance that is not ready and what it waits for. It is
// empty when all are ready.
func (f *Fleet) notReadyReason(revision fleet.Revision) string {
	instances := f.Instances()
	for _, in := range instances {
		s := in.Node().Status()
		if reason := statusNotReadyReason(s, revision, len(instances)); reason != "" {
			return fmt.Sprintf("instance %s %s", in.ID, reason)
		}
	}
	return ""
}

func statusNotReadyReason(s api.Status, revision fleet.Revision, instances int) string {
	if s.Revision < revision {
		return fmt.Sprintf("has revision %d, want %d", s.Revision, revision)
	}
	if alive := countAlive(s.Members); alive < instances {
		return fmt.Sprintf("considers %d instances alive, want %d", alive, instances)
	}
	for _, service := range s.Services {
		if service.Carried && len(service.Endpoints) == 0 {
			return fmt.Sprintf("has no endpoint of service %q", service.Name)
		}
	}
	return ""
}

func countAlive(members []api.Member) int {
	count := 0
	for _, m := range members {
		if m.Status == "alive" {
			count++
		}
	}
	return count
}

// Close kills the running instances and stops the platform and the upstreams.
func (f *Fleet) Close() error {
	for _, in := range f.Instances() {
		in.Kill()
	}
	f.wait.Wait()
	return errors.Join(f.Host.Close(), f.server.Close())
}
