package gateway

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/replica"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// followerTimeout is a few heartbeat intervals: after it, a silent follower of the store is replaced.
	followerTimeout = 1200 * time.Millisecond
	// receiverLagTimeout is how long an instance that gets changes from a follower may lack one
	// that others have before it requests it: a datagram was lost, or the change was too large.
	receiverLagTimeout = 200 * time.Millisecond
)

// changeBatch holds changes of the store as a follower of the store sends them to the instances of its zone that don't
// follow. The fields are those of a replica.Batch.
type changeBatch struct {
	_         struct{} `cbor:",toarray"`
	From      dispatch.PeerID
	After, At platform.Revision
	Items     []keyChange // Up to At.
	Coverage  replica.Coverage
	End       platform.Revision
	Ahead     []keyChange // After At, of a read of all keys whose later pages had later revisions.
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
		b.Items = append(b.Items, newKeyChange(item))
	}
	slices.SortStableFunc(b.Items, func(a, b keyChange) int { return cmp.Compare(a.Revision, b.Revision) })
	return b
}

func newKeyChange(item platform.Item) keyChange {
	return keyChange{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
}

// newDifference returns what a read of all keys showed to have changed, as a batch with the values of the read.
func newDifference(from dispatch.PeerID, d *replica.Batch[platform.Revision], items []platform.Item) changeBatch {
	values := make(map[string]platform.Item, len(items))
	for _, item := range items {
		values[item.Key] = item
	}
	b := changeBatch{From: from, After: d.After, At: d.At, Coverage: d.Coverage, End: d.End}
	for _, change := range d.Changes {
		k := keyChange{Key: change.Key, Value: values[change.Key].Value, Revision: change.Revision, Deleted: change.Deleted}
		if k.Revision > b.At {
			b.Ahead = append(b.Ahead, k)
		} else {
			b.Items = append(b.Items, k)
		}
	}
	return b
}

// newStandalone returns a batch of items that are of use without earlier changes.
func newStandalone(from dispatch.PeerID, items []platform.Item, at platform.Revision) changeBatch {
	b := newChangeBatch(from, items, at, at)
	b.Coverage = replica.Standalone
	return b
}

// changes returns all changes of the batch.
func (b changeBatch) changes() []keyChange {
	return slices.Concat(b.Items, b.Ahead)
}

// covered returns the batch as the replica decides on it.
func (b changeBatch) covered() replica.Batch[platform.Revision] {
	covered := replica.Batch[platform.Revision]{Coverage: b.Coverage, After: b.After, At: b.At, End: b.End}
	for _, k := range b.changes() {
		covered.Changes = append(covered.Changes, replica.Change[platform.Revision]{Key: k.Key, Revision: k.Revision, Deleted: k.Deleted})
	}
	return covered
}

// datagrams splits a batch into datagrams. What is too large even for fragments is left out: receivers notice by the
// revisions of others that they are behind, and read the store.
func (b changeBatch) datagrams() ([][]byte, error) {
	data, err := encodeKind(datagramChanges, b)
	if err != nil {
		return nil, err
	}
	if len(data) <= maxDatagramBytes {
		return [][]byte{data}, nil
	}
	half := b.splitIndex()
	if half == 0 || !b.covered().Divisible() {
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

// forward sends a batch to the other instances of this zone, and keeps it to be resent.
func (c *control) forward(b changeBatch) {
	c.history.add(time.Now(), b)
	c.sendChanges(b, c.snapshot.Load().alive...)
}

// forwardFullRead forwards what a read of all keys shows to have changed. While missing keys may have expired in an outage of
// the store, or the difference cannot be told, only a configuration is forwarded: the receivers have to read the store
// themselves.
func (c *control) forwardFullRead(now time.Time, read replica.ReadResult[platform.Revision], items []platform.Item, at platform.Revision) {
	if read.Difference != nil && (len(read.Missing) == 0 || read.Restored || !c.mayHaveExpired(now)) {
		c.forward(newDifference(c.peer, read.Difference, items))
		return
	}
	items = slices.DeleteFunc(slices.Clone(items), func(item platform.Item) bool { return item.Key != platform.ConfigKey || c.knows(item) })
	c.forward(newStandalone(c.peer, items, at))
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
func (c *control) sendChanges(b changeBatch, to ...*memberRecord) {
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
	switch c.applyBatch(now, b, sourceForwarded) {
	case replica.Applied:
		c.history.add(now, b)
	case replica.Stale:
		if b.Coverage == replica.Standalone {
			c.applyConfigOf(now, b) // Another instance has sent it, as the store may not have it.
		}
	case replica.Gap:
		c.handleChangesAfterGap(now, b)
	}
}

// handleChangesAfterGap applies what it can of a batch that follows missed changes. A configuration
// is complete and carries its own version, so it needs no earlier change; the rest is read with
// the missed changes, which are requested after receiverLagTimeout.
func (c *control) handleChangesAfterGap(now time.Time, b changeBatch) {
	c.applyConfigOf(now, b)
	if c.lag.Notice(now) {
		time.AfterFunc(receiverLagTimeout, func() { c.post(func() { c.catchUp(time.Now()) }) })
	}
}

// applyConfigOf applies the configuration in a batch, if there is one.
func (c *control) applyConfigOf(now time.Time, b changeBatch) {
	for _, item := range b.changes() {
		if item.Key == platform.ConfigKey && !item.Deleted && c.applyConfig(now, item.Value, sourceForwarded) {
			c.applyUpstreams(now)
			c.publish(now)
		}
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

// lagTimeout returns how long other instances may have had a later revision before this one fetches what it lacks.
func (c *control) lagTimeout() time.Duration {
	if c.shouldFollow.Load() {
		return followerLagTimeout
	}
	return receiverLagTimeout
}
