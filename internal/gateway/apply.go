package gateway

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/coord/replica"
	"github.com/damaskcove/damaskcove/platform"
)

// changeSource is how an instance learned a change of the store. Logs show it.
type changeSource string

const (
	sourceWatch     changeSource = "watch"               // Its own watch.
	sourceMissed    changeSource = "read of the changes" // Its own read of the changes that it had missed.
	sourceFullRead  changeSource = "read of all keys"    // Its own read of all keys.
	sourceForwarded changeSource = "follower"            // A follower of the store.
)

// applyFullRead applies a read of all keys of the store, of which the first page was at a revision and the last one at
// end.
func (c *control) applyFullRead(now time.Time, items []platform.Item, at, end platform.Revision) {
	restored := c.replica.Read() && at.Era() > c.replica.Revision().Era()
	keys := make([]replica.Item[platform.Revision], 0, len(items))
	for _, item := range items {
		keys = append(keys, replica.Item[platform.Revision]{Key: item.Key, Revision: item.Revision, Same: restored && c.knows(item)})
	}
	before := c.replica.Revision()
	read := c.replica.ReadAll(at, end, keys)
	if !read.Applied {
		return // Later changes were forwarded during the read.
	}
	c.setQuiet(read.First)
	if !read.First && at > before && c.shouldFollow.Load() {
		c.forwardFullRead(now, read, items, at)
	}
	changed := false
	for _, item := range items {
		changed = c.put(now, item, sourceFullRead, restored) || changed
	}
	for _, key := range read.Missing {
		changed = c.handleMissing(now, key, restored) || changed
	}
	registered := slices.ContainsFunc(items, func(item platform.Item) bool { return item.Key == c.members.self })
	if restored || !read.First && !registered {
		notify(c.deregistered)
	}
	changed = c.registry.expire(now) || changed
	if read.First {
		c.log.Info("first full read of the store done", "revision", at.Number(), "upstreams", len(c.registry.entries), "peers", len(c.members.byKey))
	}
	c.finishUpdate(now, changed)
	if read.First {
		c.requestHandover(now)
	}
}

// applyBatch applies a batch of changes of the store. If they lead into a later era, they are the differences between
// this instance's state and the copy from which the store was restored: a key that the copy lacks may have been written
// after the copy was made.
func (c *control) applyBatch(now time.Time, b changeBatch, from changeSource) replica.Outcome {
	restored := b.At.Era() > c.replica.Revision().Era()
	result := c.replica.Receive(b.covered())
	switch result.Outcome {
	case replica.Applied:
	case replica.Gap:
		c.batchesAfterGap.Add(1)
		return result.Outcome
	default:
		return result.Outcome
	}
	if n := len(result.Gone); n > 0 {
		c.keysGone.Add(int64(n))
		c.log.Info("removed keys that were written and deleted while the sender of the changes was away", "keys", n, "first", result.Gone[0], "after", b.After.Number(), "at", b.At.Number())
	}
	c.setQuiet(!c.shouldFollow.Load())
	changed := false
	changes := b.changes()
	for _, i := range result.Changes {
		k := changes[i]
		switch {
		case k.Deleted && restored:
			changed = c.handleMissing(now, k.Key, restored) || changed
		case k.Deleted:
			changed = c.handleDeleted(now, k.Key) || changed
		default:
			item := platform.Item{Key: k.Key, Value: k.Value, Revision: k.Revision}
			changed = c.put(now, item, from, restored) || changed
		}
	}
	for _, key := range result.Gone {
		changed = c.handleDeleted(now, key) || changed
	}
	if restored {
		notify(c.deregistered)
	}
	c.finishUpdate(now, changed)
	return replica.Applied
}

// setQuiet sets whether changes of registrations go unlogged. The first full read logs none, and later
// full reads log theirs. Other changes are logged by the followers of the store alone, so that a zone
// logs each once or twice.
func (c *control) setQuiet(on bool) {
	c.registry.quiet, c.members.quiet = on, on
}

// finishUpdate records that the store's state up to a revision is applied, and publishes a snapshot.
func (c *control) finishUpdate(now time.Time, changed bool) {
	c.knownRevision.Store(uint64(c.replica.Revision()))
	c.upToDate.Store(true)
	c.lag.Caught()
	c.freshness.Moved(c.replica.Revision())
	if changed {
		c.applyUpstreams(now)
	}
	c.publish(now)
}

// put applies a write of one key, and reports whether the endpoints changed. restored means that the value comes from
// the copy from which the store was restored.
func (c *control) put(now time.Time, item platform.Item, from changeSource, restored bool) bool {
	switch {
	case item.Key == platform.ConfigKey:
		return c.applyConfig(now, item.Value, from)
	case strings.HasPrefix(item.Key, platform.UpstreamPrefix):
		return c.registry.put(now, registration{key: item.Key, value: item.Value, revision: item.Revision, restored: restored})
	case strings.HasPrefix(item.Key, memberPrefix) && restored:
		c.members.putRestored(now, item.Key, item.Value)
	case strings.HasPrefix(item.Key, memberPrefix):
		c.members.put(now, item.Key, item.Value)
	}
	return false
}

// handleMissing handles a key that was missing in a full read, and reports whether the endpoints changed. It removes an
// upstream, unless the store was away lately or was restored: then the
// registration may have expired in the outage, or the copy may lack it. A later read does not shorten the grace
// period. The end of the outage is taken as the time when another instance was first ahead of this one, or else as now.
func (c *control) handleMissing(now time.Time, key string, restored bool) bool {
	if !strings.HasPrefix(key, platform.UpstreamPrefix) {
		return c.handleDeleted(now, key)
	}
	if !restored && !c.mayHaveExpired(now) && !c.registry.awaits(key) {
		return c.registry.remove(now, key)
	}
	availableSince := now
	if since := c.lag.Since(); !since.IsZero() {
		availableSince = since
	}
	return c.registry.markMissing(availableSince, key)
}

// handleDeleted applies the deletion of one key, and reports whether the endpoints changed.
func (c *control) handleDeleted(now time.Time, key string) bool {
	switch {
	case strings.HasPrefix(key, platform.UpstreamPrefix):
		return c.registry.remove(now, key)
	case key == c.members.self:
		notify(c.deregistered)
	case strings.HasPrefix(key, memberPrefix):
		c.members.remove(now, key)
	}
	return false
}

// notify signals on a channel with a buffer of one, and does not block.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applyConfig puts a configuration in force if it is newer than the present one, and reports
// whether it did.
func (c *control) applyConfig(now time.Time, value []byte, from changeSource) bool {
	next, err := platform.DecodeConfig(value)
	if err != nil {
		c.refuse(value, err)
		return false
	}
	if c.config != nil && next.Version <= c.config.Version {
		return false
	}
	c.config, c.configValue, c.olderConfigAt = next, value, time.Time{}
	c.accountsEnabled.Store(next.HasAccounts)
	c.confirmations.tracker.InForce(uint32(next.Version))
	c.logNewWarnings(next.Warnings)
	c.setAccountLimits(now)
	behind := time.Duration(0)
	if since := c.lag.Since(); !since.IsZero() {
		behind = now.Sub(since)
	}
	c.log.Info("configuration in force", "version", next.Version.String(), "routes", len(next.Routes), "services", len(next.Services), "accounts", len(next.Accounts),
		"source", string(from), "behind_ms", behind.Milliseconds())
	return true
}

// refuse logs and counts an invalid configuration, once however often it is read.
func (c *control) refuse(value []byte, err error) {
	if c.refusedValue != nil && bytes.Equal(value, c.refusedValue) {
		return
	}
	c.refusedValue = value
	c.refusedConfigs.Add(1)
	c.log.Error("invalid configuration; keeping the one in force", "error", err.Error())
}

// logNewWarnings logs the parts of the configuration that are not supported: each once, not again
// with each version that still has it.
func (c *control) logNewWarnings(warnings []string) {
	for _, warning := range warnings {
		if !slices.Contains(c.warnings, warning) {
			c.log.Warn("part of the configuration is not supported", "note", warning)
		}
	}
	c.warnings = warnings
}

// applyUpstreams sets the endpoints that requests may be placed on.
func (c *control) applyUpstreams(now time.Time) {
	if c.config != nil {
		c.machine.SetEndpoints(now, c.registry.endpoints(c.config))
		c.applyBrokerEndpoints(now)
	}
}

// storeFailing reports whether a call of the store has failed within storeErrorWindow. For an
// instance that doesn't follow the store, failures that followers report count too.
func (c *control) storeFailing(now time.Time) bool {
	return now.Sub(c.lastStoreError) < storeErrorWindow || now.Sub(c.lastReportedError) < storeErrorWindow
}

// mayHaveExpired reports whether registrations that are missing may have expired in an outage of the store. That takes
// several heartbeat intervals. So failures that only others report are theirs alone, and there was no outage, as long as
// this instance's knowledge of the store is fresh.
func (c *control) mayHaveExpired(now time.Time) bool {
	if now.Sub(c.lastStoreError) < storeErrorWindow {
		return true
	}
	at := c.freshness.At()
	return c.storeFailing(now) && (at.IsZero() || !c.schedule().IsFresh(now.Sub(at)))
}
