package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/following"
	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/pause"
	"github.com/damaskcove/damaskcove/coord/quota"
	"github.com/damaskcove/damaskcove/coord/replica"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
	"github.com/damaskcove/damaskcove/internal/boottime"
	"github.com/damaskcove/damaskcove/internal/callers"
	"github.com/damaskcove/damaskcove/internal/forward"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// tickInterval is how often the control loop expires old state, and the heartbeat interval:
	// a heartbeat is sent when no other message was.
	tickInterval = 500 * time.Millisecond
	// commandBacklog is sized for the commands of a burst of requests.
	commandBacklog = 256
	// peerTimeout is longer than the longest deadline of callers: after it, a silent peer has no request in flight.
	peerTimeout = 6 * time.Second
	// storeErrorWindow is how long after a failed call of the store a missing key may be due to the failure alone.
	storeErrorWindow = 3 * time.Second
	// followerLagTimeout is how long another instance may report a later revision of the store than
	// this follower has before the follower's watch is considered dead.
	followerLagTimeout = 800 * time.Millisecond
)

// healthPrior holds the mean times that upstreams are assumed to stay healthy and failing before
// anything is observed.
var healthPrior = outlook.Prior{MeanHealthy: 21 * time.Second, MeanFailing: 9 * time.Second}

// Snapshot is the control loop's state as other goroutines read it. It is immutable.
type Snapshot struct {
	Version    platform.ConfigVersion
	router     *router             // Nil before the first configuration.
	accounts   *accounts.Directory // Nil if the configuration has no client accounts.
	limits     callers.Limits
	pause      pause.Detector
	leaving    dispatch.LeavingCounts
	limited    int // Upstreams with a limit of their requests a second.
	alive      []*memberRecord
	peerRoutes *peerRoutes
	freshAt    time.Time // As of the last publication; zero before the first read.
	graceEnd   time.Time // When the first of the upstreams that are missing is removed; zero if none is.
}

// mayBeStale reports whether the snapshot may be out of date: the process has been paused since
// it was made, or was paused before and has not reread the store yet.
func (s *Snapshot) mayBeStale(now time.Time) bool {
	return s.pause.MayBeStale(now)
}

// control is the control loop and the state that it owns.
type control struct {
	settings          *Settings
	log               *slog.Logger
	peer              dispatch.PeerID // Incarnation of this instance, random at each start.
	self              memberRecord    // This instance's registration.
	socket            *peerSocket
	relay             *relay
	dropIdle          func() // Closes the idle connections to upstreams.
	commands          chan func()
	snapshot          atomic.Pointer[Snapshot]
	resync            chan bool // Requests a read of the store: of all keys if true, else of the missed changes.
	done              chan struct{}
	followChanged     chan struct{} // Signaled when shouldFollow changes.
	deregistered      chan struct{} // Signaled when this instance's own registration was removed.
	knownRevision     atomic.Uint64 // Copy of revision for other goroutines.
	upToDate          atomic.Bool   // No other instance has reported a later revision of the store.
	shouldFollow      atomic.Bool   // This instance has to follow the store itself.
	preferredFollower atomic.Bool   // This instance would have to follow the store if the store rejected none.

	schedule          func() following.Schedule
	promises          func() PromiseSettings
	clock             func() time.Duration      // Includes the time that the machine spent suspended.
	accountsEnabled   atomic.Bool               // By the configuration in force.
	confirmedAt       atomic.Int64              // Time of clock from which the age of the configuration in force counts, or notConfirmed.
	respondedAt       atomic.Pointer[time.Time] // When the store last answered a watch or read; nil if never.
	unansweredWatches atomic.Int64              // Watches that ended without a response of the store.

	batchesAfterGap atomic.Int64 // Batches of changes that could not be applied, as earlier ones were missing.
	keysGone        atomic.Int64 // Keys that were removed as a batch showed that they were deleted before its end.

	refusedConfigs atomic.Int64 // Configurations that were refused as invalid.
	brokerTimeouts atomic.Int64 // Placement requests that a broker did not answer in time.

	// Owned by the loop.
	machine           *dispatch.Machine
	quota             *quota.Limiter // Nil until a configuration with accounts.
	config            *platform.Config
	configValue       []byte   // The configuration as the operator wrote it, with digests in place of keys.
	refusedValue      []byte   // The last value that was refused as invalid.
	warnings          []string // About the configuration in force; they are logged already.
	registry          *registry
	members           *members
	replica           *replica.Copy[platform.Revision]
	lag               replica.Lag // Of the replica behind the other instances.
	freshness         replica.Freshness[platform.Revision]
	followTimer       *time.Timer // Fires when this instance may have to read the store before the next tick.
	lastStoreError    time.Time   // Time of the last failed call of the store.
	lastReportedError time.Time   // When a follower last reported one of its own.
	olderConfigAt     time.Time   // When another instance first reported a later version than the one in force, or was asked for it; zero if none did.
	history           history     // Store changes that this instance forwarded or received lately.
	handoverUntil     time.Time   // Until then a Handover is requested; zero once one was received.
	followPolicy      *following.Machine
	following         bool // This instance follows the store, and its last call succeeded; isFollowing tells what is reported to others.
	placement         placementClient
	confirmations     confirmations
	broker            *brokerState // Nil until the first placement request.

	coordinators       []broker.Instance            // Of this zone; empty in a small fleet.
	remoteCoordinators map[string][]broker.Instance // By other zone.
	coordinatorSince   time.Time

	leaving  bool
	pause    pause.Detector
	reports  []dispatch.Event // To be sent to the other instances.
	urgent   bool             // The reports must not wait at relays.
	lastSent time.Time        // Time of the last message or heartbeat to the other instances.
}

// acquireResult is the outcome of Acquire: a grant, or why there is none.
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
		schedule:      s.Promises.schedule,
		promises:      func() PromiseSettings { return s.Promises },
		clock:         boottime.Now,
		confirmations: newConfirmations(),
		replica:       replica.NewCopy[platform.Revision](),
		followChanged: make(chan struct{}, 1),
		deregistered:  make(chan struct{}, 1),
		placement:     newPlacementClient(),
		followTimer:   time.NewTimer(tickInterval),
		registry:      newRegistry(log),
		members:       newMembers(s.Instance.ID, s.Instance.Zone, log),
	}
	c.confirmedAt.Store(notConfirmed)
	c.machine = dispatch.New(c.dispatchConfig(), c.countingSince(time.Now()), rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.snapshot.Store(&Snapshot{limits: limitsOf(platform.DefaultLimits), peerRoutes: &peerRoutes{}})
	c.relay = newRelay(socket.send, func() []netip.AddrPort { return c.snapshot.Load().peerRoutes.zone })
	c.followPolicy = following.New(c.members.self)
	c.shouldFollow.Store(true)
	c.preferredFollower.Store(true)
	return c
}

// countingSince returns since when this instance, which starts now, knows of all retries. Before the
// first start of the fleet there were none.
func (c *control) countingSince(now time.Time) time.Time {
	if c.settings.Instance.FirstStart {
		return now.Add(-c.settings.Retry.Window)
	}
	return now
}

func (c *control) dispatchConfig() dispatch.Config {
	s := c.settings
	return dispatch.Config{
		Zone:        s.Instance.Zone,
		HealthPrior: healthPrior,
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
	ask := time.NewTicker(confirmationInterval)
	defer ask.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			c.checkPause(time.Now())
			command()
		case <-tick.C:
			c.tick(time.Now())
		case <-ask.C:
			c.tickConfirmation(time.Now())
		case <-c.followTimer.C:
			c.updateFollowing(time.Now())
		}
		c.logNotices()
		c.collectReports()
	}
}

// noticeTexts are the log messages of notices.
var noticeTexts = map[dispatch.NoticeKind]string{
	dispatch.LeavingAnnounced: "upstream announced that it is leaving; sending it no more requests",
	dispatch.LeavingEnded:     "upstream that was leaving has started again",
	dispatch.LimitAnnounced:   "upstream takes a limited rate of requests from all instances",
	dispatch.LimitLifted:      "upstream names no limit any more",
	dispatch.HoldOffAnnounced: "upstream wants no requests from this instance for a time",
}

// logNotices logs what upstreams have announced.
func (c *control) logNotices() {
	for _, n := range c.machine.TakeNotices() {
		attrs := []any{"upstream", n.Endpoint, "service", n.Service}
		switch n.Kind {
		case dispatch.HoldOffAnnounced:
			attrs = append(attrs, "hold_off_ms", n.HoldOff.Milliseconds())
		case dispatch.LimitAnnounced:
			attrs = append(attrs, "requests_per_second", n.Limit)
		}
		c.log.Info(noticeTexts[n.Kind], attrs...)
	}
}

// collectReports adds the machine's new events to the reports, and sends these once the command queue
// is empty or a message is full. In a brokered fleet it drops the events.
func (c *control) collectReports() {
	events, urgent := c.machine.TakeReports()
	if c.brokered() {
		return // Only the brokers need to know; they get a grantEnd for each request.
	}
	c.reports, c.urgent = append(c.reports, events...), c.urgent || urgent
	if c.hasReports() && (len(c.commands) == 0 || len(c.reports) >= maxEvents) {
		c.sendReports()
	}
}

// sendReports sends the collected events to all other instances, or a heartbeat if there are none.
func (c *control) sendReports() {
	if c.brokered() {
		c.sendHeartbeat(time.Now())
		c.reports, c.urgent, c.lastSent = nil, false, time.Now()
		return
	}
	for first := true; first || c.hasReports(); first = false {
		now := time.Now()
		uses := c.quotaReport(now)
		n := min(len(c.reports), maxEvents-eventsPerUse*len(uses))
		m := c.message(now, c.reports[:n])
		m.Uses = uses
		data, err := encodeMessage(m)
		if err != nil {
			c.log.Error("cannot encode the message to other instances; it is not sent", "error", err.Error())
		} else {
			c.broadcast(data)
		}
		c.reports = c.reports[n:]
	}
	c.reports, c.urgent = nil, false
	c.lastSent = time.Now()
}

// broadcast sends an encoded message to all other instances.
func (c *control) broadcast(data []byte) {
	broadcast(data, c.urgent, c.snapshot.Load().peerRoutes, c.socket.send, c.relay)
}

// message returns this instance's state and some events, as a message to the others.
func (c *control) message(now time.Time, events []dispatch.Event) message {
	return message{
		From: c.peer, Revision: c.replica.Revision(), Leaving: c.leaving, HasFullRetryWindow: c.machine.HasFullRetryWindow(now),
		Following: c.isFollowing(now), StoreFailing: c.following && c.storeFailing(now), Config: c.configVersion(), Events: events,
	}
}

// configVersion returns the version in force; 0 before the first.
func (c *control) configVersion() platform.ConfigVersion {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// post queues a command for the control loop. It returns false when the loop has ended.
func (c *control) post(command func()) bool {
	select {
	case c.commands <- command:
		return true
	case <-c.done:
		return false
	}
}

// tick expires old state, publishes a new snapshot and sends a heartbeat if one is due.
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
	c.machine.RepeatLimits(now)
	if now.Sub(c.lastSent) >= tickInterval-tickInterval/4 { // The last heartbeat was sent a little after its tick.
		c.sendReports()
	}
	if c.handoverUntil.After(now) {
		c.requestHandover(now)
	}
	c.catchUp(now)
}

// checkPause detects a pause of the process, in which all state may have become stale. It then
// drops the idle connections to upstreams and requests a full read of the store.
func (c *control) checkPause(now time.Time) {
	if !c.pause.Beat(now) {
		return
	}
	c.log.Warn("process was paused; closing idle upstream connections and rereading the store")
	c.dropIdle()
	c.upToDate.Store(false)
	c.requestResync(true)
}

// catchUp fetches the missed changes when other instances have been ahead for too long: from a
// follower, or from the store.
func (c *control) catchUp(now time.Time) {
	var followers []dispatch.PeerID
	canAsk := func() bool {
		followers = c.resendTargets()
		return !c.shouldFollow.Load() && len(followers) > 0
	}
	switch c.lag.Next(now, c.lagTimeout(), canAsk) {
	case replica.FetchFromFollower:
		c.requestResend(followers)
	case replica.FetchFromStore:
		c.log.Info("behind the other instances; reading the store", "revision", c.replica.Revision().Number(), "follows_itself", c.following)
		c.requestResync(c.mayHaveExpired(now))
	}
}

// requestResync requests a read of the store: of all keys if full, else of the missed changes. A full
// one replaces a request that waits. Only the control loop may call it.
func (c *control) requestResync(full bool) {
	if full {
		select {
		case <-c.resync:
		default:
		}
	}
	select {
	case c.resync <- full:
	default:
	}
}

// recordStoreResponse records that the store has answered a watch or a read of this instance.
func (c *control) recordStoreResponse() {
	now := time.Now()
	c.respondedAt.Store(&now)
}

// batchDelay returns how long a follower waits after changes before its next watch.
func (c *control) batchDelay() time.Duration {
	return c.schedule().BatchDelay(time.Now(), c.snapshot.Load().graceEnd)
}

// isFollowing reports whether this instance follows the store, and the store's last response to it is
// recent.
func (c *control) isFollowing(now time.Time) bool {
	at := c.respondedAt.Load()
	return c.following && at != nil && c.schedule().IsFresh(now.Sub(*at))
}

// publish stores a new snapshot.
func (c *control) publish(now time.Time) {
	alive := c.members.alive(now)
	c.electCoordinators(now, alive)
	registered := records(alive)
	c.machine.SetBrokered(c.brokered())
	next := &Snapshot{pause: c.pause, limits: limitsOf(platform.DefaultLimits), leaving: c.machine.LeavingCounts(), limited: c.machine.LimitedEndpoints(), alive: registered, peerRoutes: newPeerRoutes(registered, c.self), freshAt: c.freshness.At(), graceEnd: c.registry.graceEnd()}
	if c.config != nil && c.replica.Read() {
		next.Version = c.config.Version
		next.limits = limitsOf(c.config.Limits)
		if old := c.snapshot.Load(); old.router != nil && old.Version == next.Version {
			next.router, next.accounts = old.router, old.accounts
		} else {
			next.router, next.accounts = newRouter(c.config), newDirectory(c.config)
		}
	}
	peers := make(map[string]int)
	for _, e := range alive {
		peers[e.Zone]++
	}
	c.machine.SetPeers(peers)
	c.updateQuotaPeers(now)
	c.snapshot.Store(next)
	c.publishConfirmation()
}

func limitsOf(l platform.Limits) callers.Limits {
	return callers.Limits{HeadBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeadTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// handleMessage processes a message of another instance.
func (c *control) handleMessage(now time.Time, m *message) {
	if m.From == c.peer {
		return
	}
	c.confirmations.tracker.Heard(c.clock(), uint32(m.Config))
	if c.members.recordMessage(now, m) {
		c.updateFollowing(now)
		if c.isCoordinator() {
			c.sendHeartbeat(now) // The zone's other instances learn from coordinators who follows the store.
		}
	}
	if !c.brokered() || len(m.Events) > 0 {
		c.machine.HandleReport(now, m.From, m.HasFullRetryWindow, m.Events)
	}
	c.handleUses(now, m)
	if m.StoreFailing && !c.shouldFollow.Load() {
		c.lastReportedError = now
	}
	c.noticeConfig(now, m)
	if m.Revision <= c.replica.Revision() {
		return
	}
	c.upToDate.Store(false)
	c.lag.Notice(now)
	c.catchUp(now)
}

// Acquire implements forward.Dispatcher.
func (c *control) Acquire(req dispatch.Request) (dispatch.Grant, error) {
	reply := make(chan acquireResult, 1)
	hasQuota := false
	c.post(func() {
		now := time.Now()
		if c.pause.MayBeStale(now) {
			reply <- acquireResult{rejection: &dispatch.Rejection{Reason: dispatch.NoEndpoint, RetryAfter: startingRetryAfter, TimeLeft: req.Deadline.Sub(now)}}
			return
		}
		ok, retryAfter := c.takeQuota(now, req)
		if !ok {
			reply <- acquireResult{rejection: &dispatch.Rejection{Reason: dispatch.AccountLimit, RetryAfter: retryAfter, TimeLeft: req.Deadline.Sub(now), LimitRate: c.quota.Limit(req.Account).Rate}}
			return
		}
		hasQuota = true
		c.place(now, req, reply)
	})
	select {
	case got := <-reply:
		if got.rejection != nil {
			if hasQuota && req.Account != 0 {
				c.ReturnQuota(req.Account)
			}
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

// SendFailed implements forward.Dispatcher.
func (c *control) SendFailed(g dispatch.Grant) {
	c.post(func() { c.handleSendFailed(time.Now(), g) })
}

// RecordResponseSize implements forward.Dispatcher.
func (c *control) RecordResponseSize(class string, bytes int) {
	c.post(func() { c.machine.RecordResponseSize(class, bytes) })
}

// AnnouncedLeaving implements forward.Dispatcher. The control loop handles it before any later Acquire.
func (c *control) AnnouncedLeaving(g dispatch.Grant, sent time.Time) {
	c.post(func() { c.handleAnnouncedLeaving(time.Now(), g, sent) })
}

// HeldOff implements forward.Dispatcher. The control loop handles it before any later Acquire.
func (c *control) HeldOff(g dispatch.Grant, sent time.Time, holdOff time.Duration) {
	c.post(func() { c.machine.HeldOff(time.Now(), g.Endpoint, sent, holdOff) })
}

// LimitNamed implements forward.Dispatcher. The control loop handles it before any later Acquire.
func (c *control) LimitNamed(g dispatch.Grant, sent time.Time, rate float64) {
	c.post(func() { c.handleLimitNamed(time.Now(), g, sent, rate) })
}

// LimitAbsent implements forward.Dispatcher.
func (c *control) LimitAbsent(g dispatch.Grant, sent time.Time) {
	c.post(func() { c.handleLimitAbsent(time.Now(), g, sent) })
}

// Overdue implements forward.Dispatcher.
func (c *control) Overdue(g dispatch.Grant) {
	c.post(func() { c.handleOverdue(time.Now(), g) })
}
