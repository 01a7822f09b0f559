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
	lagTimeout = 200 * time.Millisecond
)

// feed is a run of changes of the store, told by an instance that follows it to those of its
// zone that do not. Whoever knows the store up to After knows it up to At with them.
type feed struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	After platform.Revision
	At    platform.Revision
	Items []feedItem
}

// feedItem is one key of the store as it was written, or the end of one.
type feedItem struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision platform.Revision
	Deleted  bool
}

// newFeed returns the changes of a watch in the order of their revisions.
func newFeed(from dispatch.PeerID, items []platform.Item, after, at platform.Revision) feed {
	f := feed{From: from, After: after, At: max(at, after)}
	for _, item := range items {
		f.Items = append(f.Items, feedItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	slices.SortStableFunc(f.Items, func(a, b feedItem) int { return cmp.Compare(a.Revision, b.Revision) })
	return f
}

// datagrams cuts a feed into datagrams. A change that is too large even for pieces is left
// out: those who lack it see by the revision that others know more, and read it themselves.
func (f feed) datagrams() ([][]byte, error) {
	data, err := encodeKind(storeFeed, f)
	if err != nil {
		return nil, err
	}
	if len(data) <= maxDatagramBytes {
		return [][]byte{data}, nil
	}
	half := f.cut()
	if half == 0 {
		return cutPieces(f, data)
	}
	first, second := f, f
	first.Items, second.Items = f.Items[:half], f.Items[half:]
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
func (f feed) cut() int {
	for away := range len(f.Items) {
		for _, k := range []int{len(f.Items)/2 - away, len(f.Items)/2 + away} {
			if k > 0 && k < len(f.Items) && f.Items[k-1].Revision != f.Items[k].Revision {
				return k
			}
		}
	}
	return 0
}

// pass tells the instances of this zone that do not follow the store what a watch brought.
func (c *control) pass(items []platform.Item, after, at platform.Revision) {
	f := newFeed(c.peer, items, after, at)
	c.history.add(time.Now(), f)
	c.sendFeed(f, c.snapshot.Load().alive...)
}

// sendFeed tells those of some instances that are of this zone what a watch brought.
func (c *control) sendFeed(f feed, to ...*member) {
	datagrams, err := f.datagrams()
	if err != nil {
		c.log.Error("changes of the store not passed on", "after", uint64(f.After), "at", uint64(f.At), "error", err.Error())
		return
	}
	var zone []netip.AddrPort
	for _, e := range to {
		if e.Zone == c.members.zone {
			zone = append(zone, e.Peers)
		}
	}
	for _, data := range datagrams {
		c.socket.send(data, zone)
	}
}

// take takes in what a follower of the store tells.
func (c *control) take(now time.Time, f feed) {
	if !c.synced || f.At <= c.revision {
		return
	}
	if f.After > c.revision {
		c.takeBeyond(now, f)
		return
	}
	items := make([]platform.Item, 0, len(f.Items))
	for _, item := range f.Items {
		items = append(items, platform.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	c.history.add(now, f)
	c.change(now, items, f.At)
}

// takeBeyond takes in a feed after a gap. A configuration is whole and newer or not, whatever
// was missed before it; the rest waits until the gap is filled.
func (c *control) takeBeyond(now time.Time, f feed) {
	for _, item := range f.Items {
		if item.Key == platform.ConfigKey && !item.Deleted && c.adopt(item.Value) {
			c.applyUpstreams(now)
			c.publish(now)
		}
	}
	if c.behind.IsZero() {
		c.behind = now
		time.AfterFunc(lagTimeout, func() { c.post(func() { c.catchUp(time.Now()) }) })
	}
}

// assign decides whether this instance follows the store itself.
func (c *control) assign(now time.Time) {
	peers := c.members.zonePeers(now)
	c.inLine.Store(c.duty.IsPreferredFollower(peers))
	if on := c.duty.ShouldFollow(now, peers); on != c.onDuty.Load() {
		c.onDuty.Store(on)
		c.log.Info("follows the store", "itself", on, "peers_in_zone", len(peers))
		if !on {
			c.follows(false)
		}
		notify(c.turn)
	}
}

// follows notes whether this instance follows the store, and tells the others at once.
func (c *control) follows(yes bool) {
	yes = yes && c.onDuty.Load()
	if yes == c.following {
		return
	}
	c.following = yes
	c.tell()
}

// lagged tells whether others have known the store further than this instance for too long.
func (c *control) lagged(now time.Time) bool {
	bound := behindTimeout
	if !c.onDuty.Load() {
		bound = lagTimeout
	}
	return !c.behind.IsZero() && now.Sub(c.behind) >= bound
}
