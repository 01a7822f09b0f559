package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
	"github.com/damaskcove/damaskcove/internal/callers"
	"github.com/damaskcove/damaskcove/internal/forward"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// tickInterval is how often the control loop looks at what has become old, and tells
	// others that it lives when it has told them nothing else.
	tickInterval = 500 * time.Millisecond
	// commandBacklog holds the commands of a burst of requests.
	commandBacklog = 256
	// peerTimeout is over the longest deadline of callers, after which nothing of a silent peer is in flight.
	peerTimeout = 6 * time.Second
	// troubleWindow is how long after a failed call of the store its keys may be missing for no other reason.
	troubleWindow = 3 * time.Second
	// behindTimeout is how long another instance may have followed the store further than this one
	// before the watch is taken for dead.
	behindTimeout = 800 * time.Millisecond
)

// spells are the mean times that upstreams stay good and go on failing, by the ages of
// outcomes on the users' days (docs/MEASUREMENTS.md).
var spells = outlook.Rates{GoodSpell: 21 * time.Second, BadSpell: 9 * time.Second}

// Snapshot is what the control loop has decided, for all other goroutines. It is immutable.
type Snapshot struct {
	Version platform.ConfigVersion
	router  *router // Nil before the first configuration.
	limits  callers.Limits
	alive   []*member // Members as of the snapshot; their records alone may be read.
	routes  routes
}

// firstLimits hold until the first configuration.
var firstLimits = callers.Limits{HeadBytes: 16 << 10, BodyBytes: 1 << 20, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// control is the control loop and the state that it owns.
type control struct {
	settings *Settings
	log      *slog.Logger
	peer     dispatch.Peer
	socket   *peerSocket
	commands chan func()
	snapshot atomic.Pointer[Snapshot]
	kick     chan struct{} // Asks for a new watch of the store.
	done     chan struct{}
	unlisted chan struct{} // Told when this instance's own registration went.

	// Owned by the loop.
	machine  *dispatch.Machine
	asks     map[uint64]chan<- acquired
	config   *platform.Config
	registry *registry
	members  *members
	synced   bool // The store was read once.
	revision platform.Revision
	trouble  time.Time // Last failed call of the store.
	behind   time.Time // Since when another instance has followed the store further; zero while none has.
	leaving  bool
	reports  []dispatch.Event
	told     time.Time // Last message to the others.
}

// acquired is the outcome of an Acquire.
type acquired struct {
	grant dispatch.Grant
	err   error
}

func newControl(s *Settings, log *slog.Logger, socket *peerSocket) *control {
	c := &control{
		settings: s,
		log:      log,
		peer:     dispatch.Peer(rand.Uint64()),
		socket:   socket,
		commands: make(chan func(), commandBacklog),
		kick:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		unlisted: make(chan struct{}, 1),
		machine: dispatch.New(dispatch.Config{
			Zone:        s.Instance.Zone,
			Rates:       spells,
			Retry:       retrybudget.Bound{Window: s.Retry.Window, Ratio: s.Retry.Ratio, Extra: s.Retry.Extra},
			PeerTimeout: peerTimeout,
		}, rand.NewPCG(rand.Uint64(), rand.Uint64())),
		asks:     make(map[uint64]chan<- acquired),
		registry: newRegistry(log),
		members:  newMembers(s.Instance.ID, s.Instance.Zone, log),
	}
	c.snapshot.Store(&Snapshot{limits: firstLimits})
	return c
}

// run is the control loop.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			command()
		case <-tick.C:
			c.tick(time.Now())
		}
		c.settle()
	}
}

// settle carries out the machine's effects, and tells the others once nothing more waits.
func (c *control) settle() {
	e := c.machine.Take()
	for _, g := range e.Grants {
		c.answer(g.Ask, acquired{grant: g})
	}
	for _, r := range e.Rejections {
		c.answer(r.Ask, acquired{err: &forward.Rejected{Rejection: r}})
	}
	c.reports = append(c.reports, e.Reports...)
	if len(c.reports) > 0 && (len(c.commands) == 0 || len(c.reports) >= maxEvents) {
		c.tell()
	}
}

func (c *control) answer(ask uint64, a acquired) {
	if to, ok := c.asks[ask]; ok {
		delete(c.asks, ask)
		to <- a
	}
}

// tell sends what has happened to all other instances.
func (c *control) tell() {
	for first := true; first || len(c.reports) > 0; first = false {
		n := min(len(c.reports), maxEvents)
		data, err := encodeMessage(message{From: c.peer, Revision: c.revision, Leaving: c.leaving, Events: c.reports[:n]})
		if err != nil {
			c.log.Error("message not sent", "error", err.Error())
		} else {
			c.socket.spread(data, c.snapshot.Load().routes)
		}
		c.reports = c.reports[n:]
	}
	c.reports = nil
	c.told = time.Now()
}

// post hands a command to the loop. It returns false when the loop has ended.
func (c *control) post(command func()) bool {
	select {
	case c.commands <- command:
		return true
	case <-c.done:
		return false
	}
}

// tick looks at what has become old.
func (c *control) tick(now time.Time) {
	c.machine.Forget(now)
	c.members.expire(now)
	if c.registry.expire(now) {
		c.applyUpstreams(now)
	}
	c.publish(now)
	if now.Sub(c.told) >= tickInterval {
		c.tell()
	}
	if !c.behind.IsZero() && now.Sub(c.behind) > behindTimeout {
		c.behind = time.Time{}
		c.log.Warn("watch of the store is behind", "revision", uint64(c.revision))
		notify(c.kick)
	}
}

// publish makes a new snapshot.
func (c *control) publish(now time.Time) {
	alive := c.members.alive(now)
	next := &Snapshot{limits: firstLimits, alive: alive, routes: newRoutes(alive, c.settings.Instance.Zone)}
	if c.config != nil && c.synced {
		next.Version = c.config.Version
		next.limits = limitsOf(c.config.Limits)
		if old := c.snapshot.Load(); old.router != nil && old.Version == next.Version {
			next.router = old.router
		} else {
			next.router = newRouter(c.config)
		}
	}
	c.machine.SetPeers(len(alive))
	c.snapshot.Store(next)
}

func limitsOf(l platform.Limits) callers.Limits {
	return callers.Limits{HeadBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeadTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// replace takes in everything that the store holds.
func (c *control) replace(now time.Time, items []platform.Item, at platform.Revision) {
	present := make(map[string]bool, len(items))
	changed := false
	for _, item := range items {
		present[item.Key] = true
		changed = c.put(now, item) || changed
	}
	for _, key := range c.registry.keys() {
		if !present[key] {
			changed = c.miss(now, key) || changed
		}
	}
	for key := range c.members.list {
		if !present[key] {
			c.members.remove(key, c.troubled(now))
		}
	}
	c.synced = true
	c.followed(now, at, changed)
}

// change takes in what has changed in the store.
func (c *control) change(now time.Time, items []platform.Item, at platform.Revision) {
	changed := false
	for _, item := range items {
		if item.Deleted {
			changed = c.drop(item.Key) || changed
		} else {
			changed = c.put(now, item) || changed
		}
	}
	c.followed(now, at, changed)
}

func (c *control) followed(now time.Time, at platform.Revision, changed bool) {
	c.revision = max(c.revision, at)
	c.behind = time.Time{}
	if changed {
		c.applyUpstreams(now)
	}
	c.publish(now)
}

// put takes in one key and tells whether the endpoints changed.
func (c *control) put(now time.Time, item platform.Item) bool {
	switch {
	case item.Key == platform.ConfigKey:
		return c.adopt(item.Value)
	case strings.HasPrefix(item.Key, platform.UpstreamPrefix):
		return c.registry.put(now, item.Key, item.Value)
	case strings.HasPrefix(item.Key, memberPrefix):
		c.members.put(now, item.Key, item.Value)
	}
	return false
}

// miss takes in that a registration of an upstream was not there when all keys were read,
// and tells whether the endpoints changed. It may have lapsed while the store was away.
func (c *control) miss(now time.Time, key string) bool {
	if c.troubled(now) {
		return c.registry.lapse(now, key)
	}
	return c.registry.remove(key)
}

// drop takes in that a key was removed and tells whether the endpoints changed.
func (c *control) drop(key string) bool {
	switch {
	case strings.HasPrefix(key, platform.UpstreamPrefix):
		return c.registry.remove(key)
	case key == c.members.self:
		notify(c.unlisted)
	case strings.HasPrefix(key, memberPrefix):
		c.members.remove(key, false)
	}
	return false
}

// notify wakes the receiver of a channel with room for one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// adopt takes in a configuration that is newer than the one in force.
func (c *control) adopt(value []byte) bool {
	next, err := platform.DecodeConfig(value)
	if err != nil {
		c.log.Error("configuration ignored", "error", err.Error())
		return false
	}
	if c.config != nil && next.Version <= c.config.Version {
		return false
	}
	c.config = next
	c.log.Info("configuration in force", "version", next.Version.String(), "routes", len(next.Routes), "services", len(next.Services))
	return true
}

func (c *control) applyUpstreams(now time.Time) {
	if c.config != nil {
		c.machine.SetEndpoints(now, c.registry.endpoints(c.config))
	}
}

func (c *control) troubled(now time.Time) bool {
	return now.Sub(c.trouble) < troubleWindow
}

// hear takes in another instance's message.
func (c *control) hear(now time.Time, m message) {
	if m.From == c.peer {
		return
	}
	c.members.hear(now, m.From, m.Leaving)
	c.machine.Report(now, m.From, m.Events)
	if m.Revision > c.revision && c.behind.IsZero() {
		c.behind = now
	}
}

// Acquire implements forward.Dispatcher.
func (c *control) Acquire(ctx context.Context, a dispatch.Ask) (dispatch.Grant, error) {
	reply := make(chan acquired, 1)
	c.post(func() {
		c.asks[a.ID] = reply
		c.machine.Ask(time.Now(), a)
	})
	select {
	case got := <-reply:
		return got.grant, got.err
	case <-ctx.Done():
		c.post(func() { c.withdraw(a, reply) })
		return dispatch.Grant{}, context.Cause(ctx)
	case <-c.done:
		return dispatch.Grant{}, context.Canceled
	}
}

// withdraw ends an Acquire that nobody waits for.
func (c *control) withdraw(a dispatch.Ask, reply <-chan acquired) {
	if _, waits := c.asks[a.ID]; waits {
		delete(c.asks, a.ID)
		c.machine.Withdraw(a.Service, a.ID)
		return
	}
	if got := <-reply; got.err == nil {
		c.machine.Ended(time.Now(), got.grant.Endpoint.ID, dispatch.EndedUnknown, 0)
	}
}

// Ended implements forward.Dispatcher.
func (c *control) Ended(id dispatch.EndpointID, kind dispatch.EventKind, took time.Duration) {
	c.post(func() { c.machine.Ended(time.Now(), id, kind, took) })
}

// Unreachable implements forward.Dispatcher.
func (c *control) Unreachable(id dispatch.EndpointID) {
	c.post(func() { c.machine.Unreachable(time.Now(), id) })
}

// RunsLong implements forward.Dispatcher.
func (c *control) RunsLong(id dispatch.EndpointID) {
	c.post(func() { c.machine.RunsLong(time.Now(), id) })
}
