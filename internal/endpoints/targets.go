package endpoints

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/routing"
)

// slotOvercommit is the ratio of the sum of the carriers' limits on an endpoint to its slots. It
// may exceed 1 because an upstream rejects a request beyond its slots before it starts to run.
const slotOvercommit = 1.25

// publish calls Options.Publish if a service's targets have changed.
func (m *Manager) publish(now time.Time, s *service) {
	targets := m.targets(now, s)
	if s.hasPublished && slices.Equal(targets, s.published) {
		return
	}
	s.published = targets
	s.hasPublished = true
	m.options.Publish(s.name, targets, s.template)
}

// targets returns the endpoints that this instance may use, or nil when it does not carry the service.
func (m *Manager) targets(now time.Time, s *service) []routing.Target {
	if !s.carrying {
		return nil
	}
	views := s.carrier.View(now)
	limits := Limits(s.upstreams, s.carriers, m.self.Ref)
	targets := make([]routing.Target, 0, len(views))
	usable := false
	for i, v := range views {
		state := endpointState(s.upstreams[i].State, v.State)
		limit := limits[i]
		if state == routing.StateTrial {
			limit = max(limit, 1)
		}
		if limit == 0 {
			continue
		}
		usable = usable || state == routing.StateAvailable
		targets = append(targets, routing.Target{Upstream: s.upstreams[i], State: state, Limit: limit})
	}
	if !usable {
		return allTargets(s.upstreams, views)
	}
	return targets
}

// allTargets returns all endpoints with a limit of one. It is used when no endpoint that this
// instance has a share of is available.
func allTargets(upstreams []fleet.Upstream, views []health.EndpointView) []routing.Target {
	targets := make([]routing.Target, 0, len(views))
	for i, v := range views {
		targets = append(targets, routing.Target{
			Upstream: upstreams[i],
			State:    endpointState(upstreams[i].State, v.State),
			Limit:    1,
		})
	}
	return targets
}

func endpointState(listed fleet.UpstreamState, view health.State) routing.EndpointState {
	switch {
	case listed == fleet.UpstreamDraining:
		return routing.StateDraining
	case view == health.StateEjected || view == health.StateAvoided:
		return routing.StateExcluded
	case view == health.StateTrial:
		return routing.StateTrial
	case listed == fleet.UpstreamCold:
		return routing.StateCold
	default:
		return routing.StateAvailable
	}
}

// Limits returns an instance's share of each endpoint's slots.
//
// The shares of all endpoints are assigned round-robin to the carriers, which are ordered so
// that neighbours are in different zones. So the carriers' totals differ by at most one share,
// and an endpoint is used from several zones. After each round the starting carrier moves on
// by one, so that a carrier shares its endpoints with different other carriers.
func Limits(upstreams []fleet.Upstream, carriers []fleet.Instance, self fleet.Ref) []int {
	order := interleaveZones(carriers)
	limits := make([]int, len(upstreams))
	next := 0
	for i, u := range upstreams {
		for range shareCount(u.Slots, len(order)) {
			if order[(next+next/len(order))%len(order)] == self {
				limits[i]++
			}
			next++
		}
	}
	return limits
}

// shareCount returns the number of shares that an endpoint's slots are divided into.
func shareCount(slots, carriers int) int {
	if carriers <= 1 {
		return slots
	}
	return int(math.Ceil(slotOvercommit * float64(slots)))
}

// interleaveZones returns the carriers with those of one zone as far apart as possible.
func interleaveZones(carriers []fleet.Instance) []fleet.Ref {
	type ranked struct {
		ref  fleet.Ref
		zone fleet.Zone
		rank int
	}
	sorted := slices.Clone(carriers)
	slices.SortFunc(sorted, func(a, b fleet.Instance) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	inZone := make(map[fleet.Zone]int)
	all := make([]ranked, 0, len(sorted))
	for _, c := range sorted {
		all = append(all, ranked{ref: c.Ref, zone: c.Zone, rank: inZone[c.Zone]})
		inZone[c.Zone]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		if c := cmp.Compare(a.rank, b.rank); c != 0 {
			return c
		}
		return cmp.Compare(a.zone, b.zone)
	})
	refs := make([]fleet.Ref, 0, len(all))
	for _, r := range all {
		refs = append(refs, r.ref)
	}
	return refs
}
