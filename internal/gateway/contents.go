package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/platform"
)

// replace takes in everything that the store held at a revision.
func (c *control) replace(now time.Time, items []platform.Item, at platform.Revision) {
	if c.synced && at < c.revision {
		return // Others have told of later changes meanwhile.
	}
	first := !c.synced
	c.quiet(first)
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
			c.members.remove(now, key)
		}
	}
	changed = c.registry.expire(now) || changed
	c.synced = true
	if first {
		c.log.Info("store read", "revision", uint64(at), "upstreams", len(c.registry.entries), "peers", len(c.members.list))
	}
	c.followed(now, at, changed)
}

// change takes in what has changed in the store.
func (c *control) change(now time.Time, items []platform.Item, at platform.Revision) {
	c.quiet(!c.onDuty.Load())
	changed := false
	for _, item := range items {
		switch {
		case item.Revision <= c.revision: // It was told of before.
		case item.Deleted:
			changed = c.drop(now, item.Key) || changed
		default:
			changed = c.put(now, item) || changed
		}
	}
	c.followed(now, at, changed)
}

// quiet sets whether registrations are logged one by one: those of the first read are not, and
// later ones only by the followers of the store, once or twice in a zone.
func (c *control) quiet(yes bool) {
	c.registry.quiet, c.members.quiet = yes, yes
}

func (c *control) followed(now time.Time, at platform.Revision, changed bool) {
	c.revision = max(c.revision, at)
	c.known.Store(uint64(c.revision))
	c.inStep.Store(true)
	c.behind, c.ahead, c.asked = time.Time{}, time.Time{}, false
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
// and tells whether the endpoints changed. It may have lapsed while the store was away; the
// store is back since another instance was ahead, if one was.
func (c *control) miss(now time.Time, key string) bool {
	if !c.troubled(now) {
		return c.registry.remove(key)
	}
	back := now
	if !c.ahead.IsZero() {
		back = c.ahead
	}
	return c.registry.lapse(back, key)
}

// drop takes in that a key was removed and tells whether the endpoints changed.
func (c *control) drop(now time.Time, key string) bool {
	switch {
	case strings.HasPrefix(key, platform.UpstreamPrefix):
		return c.registry.remove(key)
	case key == c.members.self:
		notify(c.unlisted)
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
	c.noteOnce(next.Warnings)
	c.log.Info("configuration in force", "version", next.Version.String(), "routes", len(next.Routes), "services", len(next.Services))
	return true
}

// noteOnce logs what of the configuration is not understood, once while it stays so.
func (c *control) noteOnce(notes []string) {
	for _, note := range notes {
		if !slices.Contains(c.notes, note) {
			c.log.Warn("configuration understood in part", "note", note)
		}
	}
	c.notes = notes
}

func (c *control) applyUpstreams(now time.Time) {
	if c.config != nil {
		c.machine.SetEndpoints(now, c.registry.endpoints(c.config))
		c.applyDesk(now)
	}
}

func (c *control) troubled(now time.Time) bool {
	return now.Sub(c.trouble) < troubleWindow
}
