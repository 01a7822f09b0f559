package gateway

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

// registry holds the registered upstreams. It is owned by the control loop.
type registry struct {
	log     *slog.Logger
	quiet   bool              // Registrations are not logged one by one.
	entries map[string]*entry // By store key.
	invalid map[string]string // The errors of the invalid registrations that are logged already, by store key.
	removed map[string]removal
	stale   map[string]staleRegistration
}

// registration is an upstream's registration as the store returned it.
type registration struct {
	key      string
	value    []byte
	revision platform.Revision
	restored bool // It comes from the copy from which the store was restored.
}

// removal is the last known registration of an upstream that was removed.
type removal struct {
	started  time.Time
	sequence int64
	at       time.Time
}

// staleRegistration is a registration of the store that is older than what was known of its upstream, as it comes from
// a copy of the store.
type staleRegistration struct {
	registration
	since time.Time
}

const (
	// staleTimeout is how long a stale registration is ignored. The store removes an upstream that is silent for three
	// heartbeat intervals, 4.5 s; one that is listed after that is in use.
	staleTimeout = 6 * time.Second
	// removalRetention is how long a removal is known: longer than a copy of the store is old.
	removalRetention = 2 * time.Minute
	// maxRemovals bounds the removals that are known.
	maxRemovals = 4096
)

// entry is an upstream's registration.
type entry struct {
	platform.Upstream
	warmUpEnd    time.Time
	missingSince time.Time // When the store was available again without the key; zero while the key exists.
}

// reregisterGrace is how long an upstream whose registration expired in an outage of the store may
// take to register again: the upstreams' registration interval and a little more. The platform
// allows two seconds, which is also the time after which an upstream that has left must get no
// more requests.
const reregisterGrace = 1600 * time.Millisecond

func newRegistry(log *slog.Logger) *registry {
	return &registry{log: log, entries: make(map[string]*entry), invalid: make(map[string]string), removed: make(map[string]removal), stale: make(map[string]staleRegistration)}
}

// put adds or updates an upstream by its registration, and reports whether the endpoints changed. An
// invalid registration removes the upstream, and one from a copy of the store that is older than what is known is ignored.
func (r *registry) put(now time.Time, reg registration) bool {
	key := reg.key
	if known, ok := r.stale[key]; ok && known.revision == reg.revision {
		return false
	}
	delete(r.stale, key)
	u, err := platform.DecodeUpstream(key, reg.value)
	if err != nil {
		if r.invalid[key] != err.Error() {
			r.log.Warn("invalid upstream registration; not using the upstream", "key", key, "error", err.Error())
		}
		changed := r.remove(now, key)
		r.invalid[key] = err.Error()
		return changed
	}
	delete(r.invalid, key)
	if reg.restored && r.precedesKnown(key, u) {
		r.log.Info("ignoring an upstream registration from a copy of the store, older than what is known", "upstream", u.ID, "sequence", u.Sequence)
		r.stale[key] = staleRegistration{reg, now}
		return false
	}
	old := r.entries[key]
	if old != nil && precedesDrain(u, old.Upstream) {
		r.log.Warn("ignoring an upstream registration from before it began to drain", "upstream", u.ID, "sequence", u.Sequence, "draining_since_sequence", old.Sequence)
		return false
	}
	if old != nil && old.missingSince.IsZero() && equivalent(old.Upstream, u) {
		old.Upstream = u
		return false
	}
	r.entries[key] = &entry{Upstream: u, warmUpEnd: now.Add(u.WarmUpLeft)}
	if r.quiet {
		return true
	}
	r.log.Info("upstream registered or changed", "upstream", u.ID, "service", u.Service, "address", u.Address, "zone", u.Zone, "slots", u.Slots,
		"leaving", u.State == platform.UpstreamDraining, "warm_up_ms", u.WarmUpLeft.Milliseconds())
	return true
}

// precedesDrain reports whether a registration was made before the upstream registered as draining, and took
// its effect later: a write whose response is lost may be executed seconds afterwards.
func precedesDrain(u, known platform.Upstream) bool {
	return known.State == platform.UpstreamDraining && u.State != platform.UpstreamDraining &&
		u.Started.Equal(known.Started) && u.Sequence < known.Sequence
}

// precedesKnown reports whether a registration was made before the last one that is known of its upstream, which may
// have been removed.
func (r *registry) precedesKnown(key string, u platform.Upstream) bool {
	if e := r.entries[key]; e != nil {
		return u.Started.Before(e.Started) || u.Started.Equal(e.Started) && u.Sequence < e.Sequence
	}
	last, ok := r.removed[key]
	return ok && !u.Started.After(last.started) && u.Sequence <= last.sequence
}

// knows reports whether a registration is equivalent to the one that is in use.
func (r *registry) knows(key string, value []byte) bool {
	u, err := platform.DecodeUpstream(key, value)
	e := r.entries[key]
	return err == nil && e != nil && e.missingSince.IsZero() && u.Sequence >= e.Sequence && equivalent(u, e.Upstream)
}

// equivalent reports whether two registrations differ in nothing that affects requests.
func equivalent(a, b platform.Upstream) bool {
	a.Sequence, b.Sequence = 0, 0
	a.WarmUpLeft, b.WarmUpLeft = 0, 0
	return a == b
}

// remove removes an upstream, and reports whether there was one.
func (r *registry) remove(now time.Time, key string) bool {
	delete(r.invalid, key)
	delete(r.stale, key)
	e := r.entries[key]
	if e == nil {
		return false
	}
	delete(r.entries, key)
	r.removed[key] = removal{started: e.Started, sequence: e.Sequence, at: now}
	if !r.quiet {
		r.log.Info("upstream removed", "upstream", e.ID, "service", e.Service)
	}
	return true
}

// forgetRemovals drops the removals that are known for too long, and the oldest ones of too many.
func (r *registry) forgetRemovals(now time.Time) {
	for key, last := range r.removed {
		if now.Sub(last.at) > removalRetention {
			delete(r.removed, key)
		}
	}
	if len(r.removed) <= maxRemovals {
		return
	}
	oldestFirst := slices.SortedFunc(maps.Keys(r.removed), func(a, b string) int { return r.removed[a].at.Compare(r.removed[b].at) })
	for _, key := range oldestFirst[:len(oldestFirst)-maxRemovals] {
		delete(r.removed, key)
	}
}

// markMissing marks an upstream whose registration is missing although the store is available again
// since the given time.
// It stays in use until expire, as it may register again; a draining one is removed at once. The
// result reports whether the endpoints changed.
func (r *registry) markMissing(availableSince time.Time, key string) bool {
	delete(r.invalid, key)
	delete(r.stale, key)
	e := r.entries[key]
	if e == nil {
		return false
	}
	if e.State == platform.UpstreamDraining {
		return r.remove(availableSince, key)
	}
	if e.missingSince.IsZero() {
		e.missingSince = availableSince
		r.log.Info("upstream registration missing after a store outage; keeping the upstream for a grace period", "upstream", e.ID, "service", e.Service)
	}
	return false
}

// awaits reports whether an upstream's registration is missing, and may be written again within reregisterGrace.
func (r *registry) awaits(key string) bool {
	e := r.entries[key]
	return e != nil && !e.missingSince.IsZero()
}

// graceEnd returns when the first of the upstreams that are missing is removed; zero if none is missing.
func (r *registry) graceEnd() time.Time {
	var first time.Time
	for _, e := range r.entries {
		if end := e.missingSince.Add(reregisterGrace); !e.missingSince.IsZero() && (first.IsZero() || end.Before(first)) {
			first = end
		}
	}
	return first
}

// expire removes the upstreams that have not registered again in time, and uses those whose registrations were taken
// for stale and are still there. It reports whether the endpoints changed.
func (r *registry) expire(now time.Time) bool {
	changed := false
	for key, e := range r.entries {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) > reregisterGrace {
			changed = r.remove(now, key) || changed
		}
	}
	r.forgetRemovals(now)
	for key, s := range r.stale {
		if now.Sub(s.since) > staleTimeout {
			delete(r.stale, key)
			changed = r.put(now, registration{key: key, value: s.value, revision: s.revision}) || changed
		}
	}
	return changed
}

// keys returns the store keys of all registrations, invalid and stale ones included.
func (r *registry) keys() []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(r.entries)), maps.Keys(r.invalid))
	for key := range r.stale {
		if r.entries[key] == nil && r.invalid[key] == "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// endpoints returns the endpoints of the services in a configuration.
func (r *registry) endpoints(c *platform.Config) []dispatch.Endpoint {
	var list []dispatch.Endpoint
	for _, key := range slices.SortedFunc(maps.Keys(r.entries), strings.Compare) {
		e := r.entries[key]
		if _, ok := c.Services[e.Service]; !ok {
			continue
		}
		list = append(list, dispatch.Endpoint{
			ID: endpointID(e.ID), Name: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone,
			Slots: e.Slots, Draining: e.State == platform.UpstreamDraining, Started: e.Started, WarmUpEnd: e.warmUpEnd,
		})
	}
	return list
}

func endpointID(name string) dispatch.EndpointID {
	return dispatch.EndpointID(xxhash.Sum64String(name))
}
