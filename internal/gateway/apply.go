package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/platform"
)

// replace takes in everything that the store held at a revision.
func (c *control) applyFullRead(now time.Time, items []platform.Item, at platform.Revision) {
	if c.synced && at < c.revision {
		return // Others have told of later changes meanwhile.
	}
	first := !c.synced
	c.setQuiet(first)
	present := make(map[string]bool, len(items))
	changed := false
	for _, item := range items {
		present[item.Key] = true
		changed = c.put(now, item) || changed
	}
	for _, key := range c.registry.keys() {
		if !present[key] {
			changed = c.handleMissing(now, key) || changed
		}
	}
	for key := range c.members.byKey {
		if !present[key] {
			c.members.remove(now, key)
		}
	}
	changed = c.registry.expire(now) || changed
	c.synced = true
	if first {
		c.log.Info("store read", "revision", uint64(at), "upstreams", len(c.registry.entries), "peers", len(c.members.byKey))
	}
	c.finishUpdate(now, at, changed)
}

// change takes in what has changed in the store.
func (c *control) applyChanges(now time.Time, items []platform.Item, at platform.Revision) {
	c.setQuiet(!c.shouldFollow.Load())
	changed := false
	for _, item := range items {
		switch {
		case item.Revision <= c.revision: // It was told of before.
		case item.Deleted:
			changed = c.handleDeleted(now, item.Key) || changed
		default:
			changed = c.put(now, item) || changed
		}
	}
	c.finishUpdate(now, at, changed)
}

// quiet sets whether registrations are logged one by one: those of the first read are not, and
// later ones only by the followers of the store, once or twice in a zone.
func (c *control) setQuiet(on bool) {
	c.registry.quiet, c.members.quiet = on, on
}

func (c *control) finishUpdate(now time.Time, at platform.Revision, changed bool) {
	c.revision = max(c.revision, at)
	c.knownRevision.Store(uint64(c.revision))
	c.upToDate.Store(true)
	c.behindSince, c.firstBehind, c.resendRequested = time.Time{}, time.Time{}, false
	if changed {
		c.applyUpstreams(now)
	}
	c.publish(now)
}

// put takes in one key and tells whether the endpoints changed.
func (c *control) put(now time.Time, item platform.Item) bool {
	switch {
	case item.Key == platform.ConfigKey:
		return c.applyConfig(item.Value)
	case strings.HasPrefix(item.Key, platform.UpstreamPrefix):
		return c.registry.put(now, item.Key, item.Value)
	case strings.HasPrefix(item.Key, memberPrefix):
		c.members.put(now, item.Key, item.Value)
	}
	return false
}

// miss takes in that a registration of an upstream was not there when all keys were read,
// and tells whether the endpoints changed. It may have lapsed while the store was away; the
// store is back since another instance was ahead, if one was.
func (c *control) handleMissing(now time.Time, key string) bool {
	if !c.storeFailing(now) {
		return c.registry.remove(key)
	}
	back := now
	if !c.firstBehind.IsZero() {
		back = c.firstBehind
	}
	return c.registry.markMissing(back, key)
}

// drop takes in that a key was removed and tells whether the endpoints changed.
func (c *control) handleDeleted(now time.Time, key string) bool {
	switch {
	case strings.HasPrefix(key, platform.UpstreamPrefix):
		return c.registry.remove(key)
	case key == c.members.self:
		notify(c.deregistered)
	case strings.HasPrefix(key, memberPrefix):
		c.members.remove(now, key)
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
func (c *control) applyConfig(value []byte) bool {
	next, err := platform.DecodeConfig(value)
	if err != nil {
		c.log.Error("configuration ignored", "error", err.Error())
		return false
	}
	if c.config != nil && next.Version <= c.config.Version {
		return false
	}
	c.config = next
	c.logNewWarnings(next.Warnings)
	c.log.Info("configuration in force", "version", next.Version.String(), "routes", len(next.Routes), "services", len(next.Services))
	return true
}

// noteOnce logs what of the configuration is not understood, once while it stays so.
func (c *control) logNewWarnings(warnings []string) {
	for _, warning := range warnings {
		if !slices.Contains(c.warnings, warning) {
			c.log.Warn("configuration understood in part", "note", warning)
		}
	}
	c.warnings = warnings
}

func (c *control) applyUpstreams(now time.Time) {
	if c.config != nil {
		c.machine.SetEndpoints(now, c.registry.endpoints(c.config))
		c.applyBrokerEndpoints(now)
	}
}

func (c *control) storeFailing(now time.Time) bool {
	return now.Sub(c.lastStoreError) < storeErrorWindow
}
