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

// registry holds the upstreams that have registered.
type registry struct {
	log     *slog.Logger
	quiet   bool              // Registrations are not logged one by one.
	entries map[string]*entry // By key.
}

// entry is one registration.
type entry struct {
	platform.Upstream
	warmUpEnd    time.Time
	missingSince time.Time // When the store was back without its key; zero while the key is there.
}

// lapseGrace is how long after the store's return a registration that went meanwhile may
// take to come back: the upstreams' interval of registration and a little more. The platform
// gives two seconds, and as many until an upstream that left may get no more work.
const reregisterGrace = 1600 * time.Millisecond

func newRegistry(log *slog.Logger) *registry {
	return &registry{log: log, entries: make(map[string]*entry)}
}

// put takes in a registration and tells whether anything changed that matters.
func (r *registry) put(now time.Time, key string, value []byte) bool {
	u, err := platform.DecodeUpstream(key, value)
	if err != nil {
		r.log.Warn("registration ignored", "key", key, "error", err.Error())
		return r.remove(key)
	}
	old := r.entries[key]
	if old != nil && old.missingSince.IsZero() && equivalent(old.Upstream, u) {
		old.Upstream = u
		return false
	}
	r.entries[key] = &entry{Upstream: u, warmUpEnd: now.Add(u.WarmUpLeft)}
	if r.quiet {
		return true
	}
	r.log.Info("upstream", "upstream", u.ID, "service", u.Service, "address", u.Address, "zone", u.Zone, "slots", u.Slots,
		"leaving", u.State == platform.UpstreamDraining, "warm_up_ms", u.WarmUpLeft.Milliseconds())
	return true
}

// sameUse tells whether two registrations are used alike.
func equivalent(a, b platform.Upstream) bool {
	a.Sequence, b.Sequence = 0, 0
	a.WarmUpLeft, b.WarmUpLeft = 0, 0
	return a == b
}

// remove drops a registration.
func (r *registry) remove(key string) bool {
	e := r.entries[key]
	if e == nil {
		return false
	}
	delete(r.entries, key)
	if !r.quiet {
		r.log.Info("upstream gone", "upstream", e.ID, "service", e.Service)
	}
	return true
}

// lapse marks a registration that was missing when the store was back: it may come back too.
func (r *registry) markMissing(back time.Time, key string) bool {
	e := r.entries[key]
	if e == nil {
		return false
	}
	if e.State == platform.UpstreamDraining {
		return r.remove(key)
	}
	if e.missingSince.IsZero() {
		e.missingSince = back
		r.log.Info("upstream's registration lapsed with the store", "upstream", e.ID, "service", e.Service)
	}
	return false
}

// expire drops registrations that lapsed and did not come back.
func (r *registry) expire(now time.Time) bool {
	changed := false
	for key, e := range r.entries {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) > reregisterGrace {
			changed = r.remove(key) || changed
		}
	}
	return changed
}

// keys returns the keys of all registrations.
func (r *registry) keys() []string {
	return slices.Collect(maps.Keys(r.entries))
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
