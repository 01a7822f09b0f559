package gateway

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// followerTimeout is a few heartbeat intervals: after it, a silent follower of the store is replaced.
	followerTimeout = 1200 * time.Millisecond
	// receiverLagTimeout is how long an instance that gets changes from a follower may lack one
	// that others have before it requests it: a datagram was lost, or the change was too large.
	receiverLagTimeout = 200 * time.Millisecond
)

// changeBatch holds consecutive changes of the store. A follower of the store sends it to the
// instances of its zone that don't follow. It leads from revision After to revision At.
type changeBatch struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	After platform.Revision
	At    platform.Revision
	Items []keyChange
}

// keyChange is a write or a deletion of one key of the store.
type keyChange struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision platform.Revision
	Deleted  bool
}

// newChangeBatch returns the changes of a watch, sorted by revision.
func newChangeBatch(from dispatch.PeerID, items []platform.Item, after, at platform.Revision) changeBatch {
	b := changeBatch{From: from, After: after, At: max(at, after)}
	for _, item := range items {
		b.Items = append(b.Items, keyChange{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	slices.SortStableFunc(b.Items, func(a, b keyChange) int { return cmp.Compare(a.Revision, b.Revision) })
	return b
}

// datagrams splits a batch into datagrams. A change that is too large even for fragments is left
// out: receivers notice by the revisions of others that they are behind, and read the store.
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

// splitIndex returns the index nearest to the middle at which a batch can be split: never between
// changes of one revision. It returns 0 if there is none.
func (b changeBatch) splitIndex() int {
	for offset := range len(b.Items) {
		for _, k := range []int{len(b.Items)/2 - offset, len(b.Items)/2 + offset} {
			if k > 0 && k < len(b.Items) && b.Items[k-1].Revision != b.Items[k].Revision {
				return k
			}
		}
	}
	return 0
}

// forwardChanges sends the changes of a watch to the other instances of this zone, and keeps them
// to be resent.
func (c *control) forwardChanges(items []platform.Item, after, at platform.Revision) {
	b := newChangeBatch(c.peer, items, after, at)
	c.history.add(time.Now(), b)
	c.sendChanges(b, c.snapshot.Load().alive...)
}

// forwardFullRead forwards what a read of all keys shows to have changed since this instance's revision.
// Items that changed after the revision of the read are left to the watch, which repeats them: a batch must
// not lead its receivers beyond its own revision. While missing keys may be due to a failure of the store,
// only a configuration is forwarded, as a batch after a gap: the receivers have to read the store themselves.
func (c *control) forwardFullRead(now time.Time, items []platform.Item, present map[string]bool, at platform.Revision) {
	restored := at.Era() > c.revision.Era()
	var changes []platform.Item
	for _, item := range items {
		if item.Revision > c.revision && item.Revision <= at && !(restored && c.knows(item)) {
			changes = append(changes, item)
		}
	}
	missing := slices.Collect(maps.Keys(c.members.byKey))
	missing = slices.DeleteFunc(append(missing, c.registry.keys()...), func(key string) bool { return present[key] })
	if len(missing) > 0 && c.storeFailing(now) && !restored {
		changes = slices.DeleteFunc(changes, func(item platform.Item) bool { return item.Key != platform.ConfigKey })
		c.forwardChanges(changes, at, at)
		return
	}
	for _, key := range missing {
		if !restored && c.registry.awaits(key) {
			continue
		}
		changes = append(changes, platform.Item{Key: key, Revision: at, Deleted: true})
	}
	c.forwardChanges(changes, c.revision, at)
}

// knows reports whether an item of the store is what this instance has applied.
func (c *control) knows(item platform.Item) bool {
	switch {
	case item.Key == platform.ConfigKey:
		return string(item.Value) == string(c.configValue)
	case strings.HasPrefix(item.Key, platform.UpstreamPrefix):
		return c.registry.knows(item.Key, item.Value)
	case strings.HasPrefix(item.Key, memberPrefix):
		return c.members.knows(item.Key, item.Value)
	}
	return true
}

// sendChanges sends a batch to those of the given instances that are in this zone.
func (c *control) sendChanges(b changeBatch, to ...*member) {
	datagrams, err := b.datagrams()
	if err != nil {
		c.log.Error("cannot encode changes of the store; not forwarding them to the zone", "after", b.After.Number(), "at", b.At.Number(), "error", err.Error())
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

// handleChanges applies a batch from a follower of the store.
func (c *control) handleChanges(now time.Time, b changeBatch) {
	switch {
	case !c.synced:
		return
	case b.At <= c.revision:
		if b.After == b.At {
			c.applyConfigOf(now, b) // Another instance has sent it, as the store may not have it.
		}
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
	c.applyChanges(now, items, b.At, sourceForwarded)
}

// handleChangesAfterGap applies what it can of a batch that follows missed changes. A configuration
// is complete and carries its own version, so it needs no earlier change; the rest is read with
// the missed changes, which are requested after receiverLagTimeout.
func (c *control) handleChangesAfterGap(now time.Time, b changeBatch) {
	c.applyConfigOf(now, b)
	if c.behindSince.IsZero() {
		c.behindSince = now
		time.AfterFunc(receiverLagTimeout, func() { c.post(func() { c.catchUp(time.Now()) }) })
	}
}

// applyConfigOf applies the configuration in a batch, if there is one.
func (c *control) applyConfigOf(now time.Time, b changeBatch) {
	for _, item := range b.Items {
		if item.Key == platform.ConfigKey && !item.Deleted && c.applyConfig(now, item.Value, sourceForwarded) {
			c.applyUpstreams(now)
			c.publish(now)
		}
	}
}

// updateFollowing decides whether this instance has to follow the store itself.
func (c *control) updateFollowing(now time.Time) {
	peers := c.members.zonePeers(now)
	c.preferredFollower.Store(c.followPolicy.IsPreferredFollower(peers))
	if on := c.followPolicy.ShouldFollow(now, peers); on != c.shouldFollow.Load() {
		c.shouldFollow.Store(on)
		c.log.Info("role as a follower of the store changed", "itself", on, "peers_in_zone", len(peers))
		if !on {
			c.setFollowing(false)
		}
		notify(c.followChanged)
	}
}

// setFollowing records whether this instance follows the store, and reports a change to the others
// at once.
func (c *control) setFollowing(on bool) {
	on = on && c.shouldFollow.Load()
	if on == c.following {
		return
	}
	c.following = on
	c.sendReports()
}

// isBehind reports whether other instances have had a later revision of the store for too long.
func (c *control) isBehind(now time.Time) bool {
	bound := followerLagTimeout
	if !c.shouldFollow.Load() {
		bound = receiverLagTimeout
	}
	return !c.behindSince.IsZero() && now.Sub(c.behindSince) >= bound
}
