package gateway

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// followerTimeout is a few intervals of heartbeats, after which a silent follower of the store is replaced.
	followerTimeout = 1200 * time.Millisecond
	// lagTimeout is how long an instance that is told of changes may lack one that others
	// have: a lost datagram, or a change too large for one.
	receiverLagTimeout = 200 * time.Millisecond
)

// feed is a run of changes of the store, told by an instance that follows it to those of its
// zone that do not. Whoever knows the store up to After knows it up to At with them.
type changeBatch struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	After platform.Revision
	At    platform.Revision
	Items []keyChange
}

// feedItem is one key of the store as it was written, or the end of one.
type keyChange struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision platform.Revision
	Deleted  bool
}

// newFeed returns the changes of a watch in the order of their revisions.
func newChangeBatch(from dispatch.PeerID, items []platform.Item, after, at platform.Revision) changeBatch {
	b := changeBatch{From: from, After: after, At: max(at, after)}
	for _, item := range items {
		b.Items = append(b.Items, keyChange{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	slices.SortStableFunc(b.Items, func(a, b keyChange) int { return cmp.Compare(a.Revision, b.Revision) })
	return b
}

// datagrams cuts a feed into datagrams. A change that is too large even for pieces is left
// out: those who lack it see by the revision that others know more, and read it themselves.
func (b changeBatch) datagrams() ([][]byte, error) {
	data, err := encodeKind(datagramChanges, b)
	if err != nil {
		return nil, err
	}
	if len(data) <= maxDatagramBytes {
		return [][]byte{data}, nil
	}
	half := b.splitIndex()
	if half == 0 {
		return fragmentBatch(b, data)
	}
	first, second := b, b
	first.Items, second.Items = b.Items[:half], b.Items[half:]
	first.At = first.Items[half-1].Revision
	second.After = first.At
	head, err := first.datagrams()
	if err != nil {
		return nil, err
	}
	tail, err := second.datagrams()
	return append(head, tail...), err
}

// cut returns where to cut a feed, never between changes of one revision; 0 where it cannot be.
func (b changeBatch) splitIndex() int {
	for away := range len(b.Items) {
		for _, k := range []int{len(b.Items)/2 - away, len(b.Items)/2 + away} {
			if k > 0 && k < len(b.Items) && b.Items[k-1].Revision != b.Items[k].Revision {
				return k
			}
		}
	}
	return 0
}

// pass tells the instances of this zone that do not follow the store what a watch brought.
func (c *control) forwardChanges(items []platform.Item, after, at platform.Revision) {
	b := newChangeBatch(c.peer, items, after, at)
	c.history.add(time.Now(), b)
	c.sendChanges(b, c.snapshot.Load().alive...)
}

// sendFeed tells those of some instances that are of this zone what a watch brought.
func (c *control) sendChanges(b changeBatch, to ...*member) {
	datagrams, err := b.datagrams()
	if err != nil {
		c.log.Error("changes of the store not passed on", "after", uint64(b.After), "at", uint64(b.At), "error", err.Error())
		return
	}
	var zone []netip.AddrPort
	for _, e := range to {
		if e.Zone == c.members.zone {
			zone = append(zone, e.PeerAddr)
		}
	}
	for _, data := range datagrams {
		c.socket.send(data, zone)
	}
}

// take takes in what a follower of the store tells.
func (c *control) handleChanges(now time.Time, b changeBatch) {
	if !c.synced || b.At <= c.revision {
		return
	}
	if b.After > c.revision {
		c.handleChangesAfterGap(now, b)
		return
	}
	items := make([]platform.Item, 0, len(b.Items))
	for _, item := range b.Items {
		items = append(items, platform.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	c.history.add(now, b)
	c.applyChanges(now, items, b.At)
}

// takeBeyond takes in a feed after a gap. A configuration is whole and newer or not, whatever
// was missed before it; the rest waits until the gap is filled.
func (c *control) handleChangesAfterGap(now time.Time, b changeBatch) {
	for _, item := range b.Items {
		if item.Key == platform.ConfigKey && !item.Deleted && c.applyConfig(item.Value) {
			c.applyUpstreams(now)
			c.publish(now)
		}
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
		time.AfterFunc(receiverLagTimeout, func() { c.post(func() { c.catchUp(time.Now()) }) })
	}
}

// assign decides whether this instance follows the store itself.
func (c *control) updateFollowing(now time.Time) {
	peers := c.members.zonePeers(now)
	c.preferredFollower.Store(c.followPolicy.IsPreferredFollower(peers))
	if on := c.followPolicy.ShouldFollow(now, peers); on != c.shouldFollow.Load() {
		c.shouldFollow.Store(on)
		c.log.Info("follows the store", "itself", on, "peers_in_zone", len(peers))
		if !on {
			c.setFollowing(false)
		}
		notify(c.followChanged)
	}
}

// follows notes whether this instance follows the store, and tells the others at once.
func (c *control) setFollowing(on bool) {
	on = on && c.shouldFollow.Load()
	if on == c.following {
		return
	}
	c.following = on
	c.sendReports()
}

// lagged tells whether others have known the store further than this instance for too long.
func (c *control) isBehind(now time.Time) bool {
	bound := followerLagTimeout
	if !c.shouldFollow.Load() {
		bound = receiverLagTimeout
	}
	return !c.behindSince.IsZero() && now.Sub(c.behindSince) >= bound
}
