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
}

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
	return &registry{log: log, entries: make(map[string]*entry), invalid: make(map[string]string)}
}

// put adds or updates an upstream by its registration, and reports whether the endpoints changed. An
// invalid registration removes the upstream.
func (r *registry) put(now time.Time, key string, value []byte) bool {
	u, err := platform.DecodeUpstream(key, value)
	if err != nil {
		if r.invalid[key] != err.Error() {
			r.log.Warn("invalid upstream registration; not using the upstream", "key", key, "error", err.Error())
		}
		changed := r.remove(key)
		r.invalid[key] = err.Error()
		return changed
	}
	delete(r.invalid, key)
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

// equivalent reports whether two registrations differ in nothing that affects requests.
func equivalent(a, b platform.Upstream) bool {
	a.Sequence, b.Sequence = 0, 0
	a.WarmUpLeft, b.WarmUpLeft = 0, 0
	return a == b
}

// remove removes an upstream, and reports whether there was one.
func (r *registry) remove(key string) bool {
	delete(r.invalid, key)
	e := r.entries[key]
	if e == nil {
		return false
	}
	delete(r.entries, key)
	if !r.quiet {
		r.log.Info("upstream removed", "upstream", e.ID, "service", e.Service)
	}
	return true
}

// markMissing marks an upstream whose registration is missing although the store is available again
// since the given time.
// It stays in use until expire, as it may register again; a draining one is removed at once. The
// result reports whether the endpoints changed.
func (r *registry) markMissing(availableSince time.Time, key string) bool {
	delete(r.invalid, key)
	e := r.entries[key]
	if e == nil {
		return false
	}
	if e.State == platform.UpstreamDraining {
		return r.remove(key)
	}
	if e.missingSince.IsZero() {
		e.missingSince = availableSince
		r.log.Info("upstream registration missing after a store outage; keeping the upstream for a grace period", "upstream", e.ID, "service", e.Service)
	}
	return false
}

// expire removes the upstreams that have not registered again in time, and reports whether there
// were any.
func (r *registry) expire(now time.Time) bool {
	changed := false
	for key, e := range r.entries {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) > reregisterGrace {
			changed = r.remove(key) || changed
		}
	}
	return changed
}

// keys returns the store keys of all registrations, invalid ones included.
func (r *registry) keys() []string {
	return slices.AppendSeq(slices.Collect(maps.Keys(r.entries)), maps.Keys(r.invalid))
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
