package gateway

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/confirmation"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

// The age of the configuration decides whether a key may be accepted or called unknown. Followers of the store
// confirm it by their reads, other instances by asking them.

const (
	// confirmationInterval is how often an instance whose confirmation is too old asks others.
	confirmationInterval = 250 * time.Millisecond
	// confirmationTargets is the number of instances that are asked at a time.
	confirmationTargets = 2
	// maxConfirmationAsks bounds the requests that wait for a reply.
	maxConfirmationAsks = 64
	// notConfirmed is the value of control.confirmedAt without a confirmation.
	notConfirmed = math.MinInt64
)

// confirmationRequest requests the age of another instance's configuration.
type confirmationRequest struct {
	_        struct{}       `cbor:",toarray"`
	PeerAddr netip.AddrPort // Of the requester, which may be too new to be known.
	Nonce    uint64
}

// confirmationReply is the reply of an instance whose configuration is confirmed.
type confirmationReply struct {
	_         struct{} `cbor:",toarray"`
	Nonce     uint64
	Version   platform.ConfigVersion // In force.
	AgeMillis uint64                 // Of its confirmation, rounded up.
}

// confirmationAsk is a confirmationRequest that waits for its reply.
type confirmationAsk struct {
	nonce uint64
	to    dispatch.PeerID
	at    time.Duration // Time at which it was sent.
}

// confirmations is what the control loop knows about the age of the configuration in force.
type confirmations struct {
	tracker   *confirmation.Tracker
	asks      []confirmationAsk // In the order of their times.
	heldSince time.Time         // When the tracker began to hold the reads of a restored store.
	gap       bool              // Changes of the store may not be applied although later ones are.

	confirmedOnce bool
	lostAt        time.Duration // When the age passed its bound, as logged; zero while it has not.
}

func newConfirmations() confirmations {
	return confirmations{tracker: confirmation.New(confirmation.Config{})}
}

// needsConfirmation reports whether requests are decided on by the age of the configuration: it enables client accounts,
// or a later one may do so and revocations are promised. Any goroutine may call it.
func (c *control) needsConfirmation() bool {
	return c.accountsEnabled.Load() || c.promises().RevokeWithin > 0
}

// configurationAge returns the age of the configuration in force: the store held it, or an earlier one, at some time
// since. known is false while nothing confirms it; then no key may be accepted. Any goroutine may call it. A caller
// has to do so before it loads the snapshot, since a later configuration may be confirmed at a later time.
func (c *control) configurationAge() (age time.Duration, known bool) {
	at := c.confirmedAt.Load()
	if at == notConfirmed {
		return 0, false
	}
	return max(c.clock()-time.Duration(at), 0), true
}

// ageBound returns the age up to which the configuration counts as confirmed: with a bound on revocation, that less
// a twentieth for the drift of clocks.
func (p PromiseSettings) ageBound() time.Duration {
	if p.RevokeWithin > 0 {
		return p.RevokeWithin - p.RevokeWithin/20
	}
	return p.ApplyWithin
}

// watchWait returns how long a watch may wait with accounts enabled. A follower's confirmation is up to two waits old,
// and that of an instance that asks it one interval older.
func (p PromiseSettings) watchWait() time.Duration {
	wait := min(p.schedule().Interval, p.ApplyWithin*2/5)
	if p.RevokeWithin > 0 {
		wait = min(wait, p.RevokeWithin/5)
	}
	return wait
}

// usualAge returns an age that the configuration exceeds only if followers do not reach the store, or are not reached.
func (p PromiseSettings) usualAge() time.Duration {
	return 2*p.watchWait() + 2*confirmationInterval
}

// noticeGap records that changes after a revision are about to be applied. If those up to it are not applied, a watch
// has passed over some without returning them.
func (c *control) noticeGap(after platform.Revision) {
	if after > c.replica.Revision() {
		c.confirmations.gap = true
	}
}

// confirmRead records that the changes of the store up to a revision are applied, as a read has returned that was sent
// at a time. After a gap, reads confirm nothing until a full one is applied, which it requests.
func (c *control) confirmRead(now time.Time, sentAt time.Duration, at platform.Revision, full bool) {
	if full && at >= c.replica.Revision() {
		c.confirmations.gap = false
	}
	switch {
	case at.Era() < c.replica.Revision().Era():
		return
	case c.confirmations.gap:
		if c.needsConfirmation() {
			c.requestResync(true)
		}
		return
	}
	tracker := c.confirmations.tracker
	before, held := tracker.Held()
	c.configureConfirmations(now)
	tracker.ConfirmRead(c.clock(), sentAt, uint32(c.configVersion()), at.Era())
	if since, ok := tracker.Held(); ok && (!held || since != before) {
		c.confirmations.heldSince = now
	}
	c.publishConfirmation()
}

// configureConfirmations sets the tracker's times by the promises in force. A follower asks others only if its own
// watch fails.
func (c *control) configureConfirmations(now time.Time) {
	p := c.promises()
	askAfter := p.ApplyWithin / 4
	if p.RevokeWithin > 0 {
		askAfter = p.RevokeWithin / 4
	}
	if c.isFollowing(now) {
		askAfter = p.usualAge()
	}
	// The ticker sets the pace; with its interval, an early tick would be passed over.
	c.confirmations.tracker.SetConfig(confirmation.Config{AskAfter: askAfter, AskEvery: confirmationInterval / 2, HoldFor: p.ApplyWithin})
}

// tickConfirmation asks other instances for their confirmations if the own one is too old.
func (c *control) tickConfirmation(now time.Time) {
	at := c.clock()
	c.configureConfirmations(now)
	if _, ok := c.confirmations.tracker.Held(); ok {
		c.confirmations.tracker.Settle(at, c.members.heardAllSince(now, c.confirmations.heldSince))
	}
	c.publishConfirmation()
	if !c.needsConfirmation() || !c.confirmations.tracker.Ask(at) {
		return
	}
	expired := at - c.promises().ageBound()
	c.confirmations.asks = slices.DeleteFunc(c.confirmations.asks, func(a confirmationAsk) bool { return a.at < expired })
	age, known := c.confirmations.tracker.Age(at)
	for _, e := range c.members.confirmers(now, !known || age > c.promises().usualAge()) {
		ask := confirmationAsk{nonce: rand.Uint64(), to: e.Peer, at: at}
		c.confirmations.asks = append(c.confirmations.asks, ask)
		c.sendTo(e.Peer, datagramConfirmationRequest, confirmationRequest{PeerAddr: c.self.PeerAddr, Nonce: ask.nonce})
	}
	if n := len(c.confirmations.asks); n > maxConfirmationAsks {
		c.confirmations.asks = slices.Delete(c.confirmations.asks, 0, n-maxConfirmationAsks)
	}
}

// handleConfirmationRequest replies with the age of the configuration in force, if it is known.
func (c *control) handleConfirmationRequest(_ time.Time, m confirmationRequest) {
	age, known := c.confirmations.tracker.Age(c.clock())
	if !known || !c.needsConfirmation() {
		return
	}
	reply := confirmationReply{Nonce: m.Nonce, Version: c.configVersion(), AgeMillis: uint64((age + time.Millisecond - 1) / time.Millisecond)}
	data, err := encodeKind(datagramConfirmationReply, reply)
	if err != nil {
		c.log.Error("cannot encode a message to another instance; it is not sent", "error", err.Error())
		return
	}
	c.socket.send(data, []netip.AddrPort{m.PeerAddr})
}

// handleConfirmationReply counts the reply to a request of this instance. It is dated by the request: however late the
// reply is, its sender's age was no higher then than the reply says.
func (c *control) handleConfirmationReply(now time.Time, m confirmationReply) {
	i := slices.IndexFunc(c.confirmations.asks, func(a confirmationAsk) bool { return a.nonce == m.Nonce })
	if i < 0 || m.AgeMillis > uint64(maxDuration.Milliseconds()) {
		return
	}
	ask := c.confirmations.asks[i]
	c.confirmations.asks = slices.Delete(c.confirmations.asks, i, i+1)
	c.confirmations.tracker.Confirm(ask.at-time.Duration(m.AgeMillis)*time.Millisecond, uint32(m.Version))
	c.noticeConfig(now, &message{From: ask.to, Config: m.Version})
	c.publishConfirmation()
}

// publishConfirmation publishes the time of the confirmation to other goroutines, and logs when its age passes the
// bound and when it is back.
func (c *control) publishConfirmation() {
	at, known := c.confirmations.tracker.ConfirmedAt()
	if known {
		c.confirmedAt.Store(int64(at))
	} else {
		c.confirmedAt.Store(notConfirmed)
	}
	now, bound := c.clock(), c.promises().ageBound()
	confirmed := known && now-at <= bound
	switch s := &c.confirmations; {
	case !c.needsConfirmation():
	case confirmed && s.lostAt > 0:
		c.log.Info("configuration is confirmed again", "version", c.configVersion().String(), "after_ms", (now - s.lostAt).Milliseconds())
		s.lostAt = 0
	case confirmed:
		s.confirmedOnce = true
	case s.confirmedOnce && s.lostAt == 0:
		c.log.Warn("configuration is not confirmed; rejecting requests whose key it would have to show",
			"version", c.configVersion().String(), "known", known, "bound_ms", bound.Milliseconds())
		s.lostAt = now
	}
}

// confirmers returns the instances to ask for a confirmation: followers of the store in this zone, and, if far is set
// or there are none, an instance of another zone.
func (m *members) confirmers(now time.Time, far bool) []*member {
	var near, farFollowers, others []*member
	for _, e := range m.byKey {
		switch {
		case e.leaving || !e.isAlive(now):
		case e.Zone == m.zone && e.following:
			near = append(near, e)
		case e.following:
			farFollowers = append(farFollowers, e)
		default:
			others = append(others, e)
		}
	}
	for _, list := range [][]*member{near, farFollowers, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	if far && len(near) > 1 && len(farFollowers)+len(others) > 0 {
		near = near[:1]
	}
	all := near
	if far || len(near) == 0 {
		all = slices.Concat(near, farFollowers, others)
	}
	return all[:min(len(all), confirmationTargets)]
}

// heardAllSince reports whether other instances were heard since a time, and all that count as alive were.
func (m *members) heardAllSince(now, since time.Time) bool {
	heard := false
	for _, e := range m.byKey {
		switch {
		case !e.lastSeen.Before(since):
			heard = true
		case !e.leaving && e.isAlive(now):
			return false
		}
	}
	return heard
}
