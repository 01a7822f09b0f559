package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/following"
	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/pause"
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
	storeErrorWindow = 3 * time.Second
	// behindTimeout is how long another instance may have followed the store further than this one
	// before the watch is taken for dead.
	followerLagTimeout = 800 * time.Millisecond
)

// spells are the mean times that upstreams stay good and go on failing, by the ages of
// outcomes on the users' days (docs/MEASUREMENTS.md).
var healthModel = outlook.Model{MeanHealthy: 21 * time.Second, MeanFailing: 9 * time.Second}

// Snapshot is what the control loop has decided, for all other goroutines. It is immutable.
type Snapshot struct {
	Version    platform.ConfigVersion
	router     *router // Nil before the first configuration.
	limits     callers.Limits
	pause      pause.Detector
	alive      []*member // Members as of the snapshot; their records alone may be read.
	peerRoutes *peerRoutes
}

// doubtful tells whether what the snapshot says may have run out: the process has stood still
// since, or stood still before and has no news yet.
func (s *Snapshot) mayBeStale(now time.Time) bool {
	return s.pause.MayBeStale(now)
}

// control is the control loop and the state that it owns.
type control struct {
	settings          *Settings
	log               *slog.Logger
	peer              dispatch.PeerID
	self              memberRecord // What this instance registers.
	socket            *peerSocket
	relay             *relay
	dropIdle          func() // Closes the idle connections to upstreams.
	commands          chan func()
	snapshot          atomic.Pointer[Snapshot]
	resync            chan bool // Asks for a look at the store; true: at all of it.
	done              chan struct{}
	followChanged     chan struct{} // Told when this instance is to follow the store, or no more.
	deregistered      chan struct{} // Told when this instance's own registration went.
	knownRevision     atomic.Uint64 // Revision of the store up to which it is known here.
	upToDate          atomic.Bool   // Nobody is known to know the store further.
	shouldFollow      atomic.Bool   // This instance is to follow the store itself.
	preferredFollower atomic.Bool   // It would, if the store refused nobody.

	brokerTimeouts atomic.Int64 // Questions that a broker did not answer.

	// Owned by the loop.
	machine         *dispatch.Machine
	config          *platform.Config
	warnings        []string // On the configuration, as logged.
	registry        *registry
	members         *members
	synced          bool // The store was read once.
	revision        platform.Revision
	lastStoreError  time.Time // Last failed call of the store.
	behindSince     time.Time // Since when another instance has followed the store further; zero while none has.
	resendRequested bool      // A follower was asked for what is missing here.
	history         history   // What this instance has told its zone of the store, or was told.
	firstBehind     time.Time // The same, but since the last change that this instance read.
	followPolicy    *following.Machine
	following       bool // This instance follows the store.
	placement       placementClient
	broker          *brokerState // Nil until another instance asks this one as a broker.

	coordinators       []broker.Instance            // Of this zone; none in a small fleet.
	remoteCoordinators map[string][]broker.Instance // Of other zones.
	coordinatorSince   time.Time

	leaving  bool
	pause    pause.Detector
	reports  []dispatch.Event
	urgent   bool      // The reports are.
	lastSent time.Time // Last message to the others.
}

// acquired is the outcome of an Acquire.
type acquireResult struct {
	grant     dispatch.Grant
	rejection *dispatch.Rejection
}

var errStopped = errors.New("the control loop has ended")

func newControl(s *Settings, log *slog.Logger, socket *peerSocket) *control {
	c := &control{
		settings:      s,
		log:           log,
		peer:          dispatch.PeerID(rand.Uint64()),
		socket:        socket,
		commands:      make(chan func(), commandBacklog),
		resync:        make(chan bool, 1),
		done:          make(chan struct{}),
		dropIdle:      func() {},
		followChanged: make(chan struct{}, 1),
		deregistered:  make(chan struct{}, 1),
		placement:     newPlacementClient(),
		registry:      newRegistry(log),
		members:       newMembers(s.Instance.ID, s.Instance.Zone, log),
	}
	c.machine = dispatch.New(c.dispatchConfig(), time.Now(), rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.snapshot.Store(&Snapshot{limits: limitsOf(platform.DefaultLimits), peerRoutes: &peerRoutes{}})
	c.relay = newRelay(socket.send, func() []netip.AddrPort { return c.snapshot.Load().peerRoutes.zone })
	c.followPolicy = following.New(c.members.self)
	c.shouldFollow.Store(true)
	c.preferredFollower.Store(true)
	return c
}

func (c *control) dispatchConfig() dispatch.Config {
	s := c.settings
	return dispatch.Config{
		Zone:        s.Instance.Zone,
		HealthModel: healthModel,
		RetryBound:  retrybudget.Bound{Window: s.Retry.Window, Ratio: s.Retry.Ratio, Extra: s.Retry.Extra},
		FloorShare:  s.Place.FloorShare,
		PeerTimeout: peerTimeout,
	}
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
			c.checkPause(time.Now())
			command()
		case <-tick.C:
			c.tick(time.Now())
		}
		c.collectReports()
	}
}

// settle tells the others what has happened, once no more commands wait.
func (c *control) collectReports() {
	events, urgent := c.machine.TakeReports()
	if c.brokered() {
		return // The brokers are told, and nobody else.
	}
	c.reports, c.urgent = append(c.reports, events...), c.urgent || urgent
	if len(c.reports) > 0 && (len(c.commands) == 0 || len(c.reports) >= maxEvents) {
		c.sendReports()
	}
}

// tell sends what has happened to all other instances.
func (c *control) sendReports() {
	if c.brokered() {
		c.sendHeartbeat(time.Now())
		c.reports, c.urgent, c.lastSent = nil, false, time.Now()
		return
	}
	for first := true; first || len(c.reports) > 0; first = false {
		n := min(len(c.reports), maxEvents)
		data, err := encodeMessage(c.message(time.Now(), c.reports[:n]))
		if err != nil {
			c.log.Error("message not sent", "error", err.Error())
		} else {
			c.broadcast(data)
		}
		c.reports = c.reports[n:]
	}
	c.reports, c.urgent = nil, false
	c.lastSent = time.Now()
}

// spread sends a message to all other instances.
func (c *control) broadcast(data []byte) {
	broadcast(data, c.urgent, c.snapshot.Load().peerRoutes, c.socket.send, c.relay)
}

// message returns what the others are told of this instance, with some events.
func (c *control) message(now time.Time, events []dispatch.Event) message {
	return message{
		From: c.peer, Revision: c.revision, Leaving: c.leaving, HasFullRetryWindow: c.machine.HasFullRetryWindow(now),
		Following: c.following, StoreFailing: c.following && c.storeFailing(now), Events: events,
	}
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
	c.checkPause(now)
	c.machine.ExpirePeers(now)
	c.members.expire(now)
	if c.registry.expire(now) {
		c.applyUpstreams(now)
	}
	c.tickBroker(now)
	c.publish(now)
	c.updateFollowing(now)
	if now.Sub(c.lastSent) >= tickInterval {
		c.sendReports()
	}
	c.catchUp(now)
}

// look goes on after a pause, in which all that is known may have run out.
func (c *control) checkPause(now time.Time) {
	if !c.pause.Beat(now) {
		return
	}
	c.log.Warn("the process has stood still; the store is read anew")
	c.dropIdle()
	c.upToDate.Store(false)
	c.requestResync(true)
}

// catchUp asks for a look at the store when the others have known it further for too long.
func (c *control) catchUp(now time.Time) {
	if !c.isBehind(now) {
		return
	}
	if !c.shouldFollow.Load() && !c.resendRequested && c.requestResend() {
		c.resendRequested, c.behindSince = true, now
		return
	}
	c.resendRequested, c.behindSince = false, time.Time{} // The store next, then a follower again: either may fail this instance.
	c.log.Info("behind the store", "revision", uint64(c.revision), "follows_itself", c.following)
	c.requestResync(c.storeFailing(now))
}

// askAnew asks for a look at the store: for changes that were missed, or at all of it.
func (c *control) requestResync(full bool) {
	select {
	case c.resync <- full:
	default:
	}
}

// publish makes a new snapshot.
func (c *control) publish(now time.Time) {
	alive := c.members.alive(now)
	c.electCoordinators(now, alive)
	next := &Snapshot{pause: c.pause, limits: limitsOf(platform.DefaultLimits), alive: alive, peerRoutes: newPeerRoutes(alive, c.self)}
	if c.config != nil && c.synced {
		next.Version = c.config.Version
		next.limits = limitsOf(c.config.Limits)
		if old := c.snapshot.Load(); old.router != nil && old.Version == next.Version {
			next.router = old.router
		} else {
			next.router = newRouter(c.config)
		}
	}
	peers := make(map[string]int)
	for _, e := range alive {
		peers[e.Zone]++
	}
	c.machine.SetPeers(peers)
	c.snapshot.Store(next)
}

func limitsOf(l platform.Limits) callers.Limits {
	return callers.Limits{HeadBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeadTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// hear takes in another instance's message.
func (c *control) handleMessage(now time.Time, m *message) {
	if m.From == c.peer {
		return
	}
	if c.members.recordMessage(now, m) {
		c.updateFollowing(now)
		if c.isCoordinator() {
			c.sendHeartbeat(now) // The zone waits to hear who follows the store.
		}
	}
	if !c.brokered() || len(m.Events) > 0 {
		c.machine.HandleReport(now, m.From, m.HasFullRetryWindow, m.Events)
	}
	if m.StoreFailing && !c.shouldFollow.Load() {
		c.lastStoreError = now
	}
	if m.Revision <= c.revision {
		return
	}
	c.upToDate.Store(false)
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	if c.firstBehind.IsZero() {
		c.firstBehind = now
	}
	c.catchUp(now)
}

// Acquire implements forward.Dispatcher.
func (c *control) Acquire(req dispatch.Request) (dispatch.Grant, error) {
	reply := make(chan acquireResult, 1)
	c.post(func() {
		now := time.Now()
		if c.pause.MayBeStale(now) {
			reply <- acquireResult{rejection: &dispatch.Rejection{Reason: dispatch.NoEndpoint, RetryAfter: startingRetryAfter, TimeLeft: req.Deadline.Sub(now)}}
			return
		}
		c.place(now, req, reply)
	})
	select {
	case got := <-reply:
		if got.rejection != nil {
			return dispatch.Grant{}, &forward.Rejected{Rejection: *got.rejection}
		}
		return got.grant, nil
	case <-c.done:
		return dispatch.Grant{}, errStopped
	}
}

// Ended implements forward.Dispatcher.
func (c *control) Ended(g dispatch.Grant, kind dispatch.EventKind, took time.Duration) {
	c.post(func() { c.handleEnded(time.Now(), g, kind, took) })
}

// Unreachable implements forward.Dispatcher.
func (c *control) Unreachable(g dispatch.Grant) {
	c.post(func() { c.handleSendFailed(time.Now(), g) })
}

// Answered implements forward.Dispatcher.
func (c *control) Answered(class string, bytes int) {
	c.post(func() { c.machine.RecordResponseSize(class, bytes) })
}

// RunsLong implements forward.Dispatcher.
func (c *control) RunsLong(g dispatch.Grant) {
	c.post(func() { c.handleOverdue(time.Now(), g) })
}
