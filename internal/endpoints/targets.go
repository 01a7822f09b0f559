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

// overshoot is the sum of the carriers' limits on an endpoint over its slots. What is over
// the slots is refused by the upstream before it starts.
const overshoot = 1.25

// publish passes a service's targets on if they have changed.
func (d *Manager) publish(now time.Time, s *service) {
	targets := d.targets(now, s)
	if s.announced && slices.Equal(targets, s.published) {
		return
	}
	s.published = targets
	s.announced = true
	d.options.Publish(s.name, targets, s.template)
}

// targets returns the endpoints that this instance may use, or nil when it does not carry the service.
func (d *Manager) targets(now time.Time, s *service) []routing.Target {
	if !s.carrying {
		return nil
	}
	views := s.carrier.View(now)
	limits := Limits(s.upstreams, s.carriers, d.self.Ref)
	targets := make([]routing.Target, 0, len(views))
	usable := false
	for i, v := range views {
		standing := standingOf(s.upstreams[i].State, v.State)
		limit := limits[i]
		if standing == routing.StateTrial {
			limit = max(limit, 1)
		}
		if limit == 0 {
			continue
		}
		usable = usable || standing == routing.StateAvailable
		targets = append(targets, routing.Target{Upstream: s.upstreams[i], State: standing, Limit: limit})
	}
	if !usable {
		return everyTarget(s.upstreams, views)
	}
	return targets
}

// everyTarget returns all endpoints with a limit of at least one: the ones that this
// instance has a share of are all out of service.
func everyTarget(upstreams []fleet.Upstream, views []health.EndpointView) []routing.Target {
	targets := make([]routing.Target, 0, len(views))
	for i, v := range views {
		targets = append(targets, routing.Target{
			Upstream: upstreams[i],
			State:    standingOf(upstreams[i].State, v.State),
			Limit:    1,
		})
	}
	return targets
}

func standingOf(listed fleet.UpstreamState, view health.State) routing.EndpointState {
	switch {
	case listed == fleet.UpstreamLeaving:
		return routing.StateLeaving
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
// The shares of all endpoints are laid out in a row and dealt to the carriers in turn,
// carriers of different zones next to each other, so that no carrier has more than one
// share above another and an endpoint is used from several zones. After each round the
// deal moves on by one, so that carriers share different endpoints with different carriers.
func Limits(upstreams []fleet.Upstream, carriers []fleet.Instance, self fleet.Ref) []int {
	order := interleaved(carriers)
	limits := make([]int, len(upstreams))
	next := 0
	for i, u := range upstreams {
		for range sharesOf(u.Slots, len(order)) {
			if order[(next+next/len(order))%len(order)] == self {
				limits[i]++
			}
			next++
		}
	}
	return limits
}

// sharesOf returns the number of shares that an endpoint's slots make.
func sharesOf(slots, carriers int) int {
	if carriers <= 1 {
		return slots
	}
	return int(math.Ceil(overshoot * float64(slots)))
}

// interleaved returns the carriers with those of one zone as far apart as possible.
func interleaved(carriers []fleet.Instance) []fleet.Ref {
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
