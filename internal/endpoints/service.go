package endpoints

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/coord/routing"
)

// service is the Manager's state of one service.
type service struct {
	name      fleet.Service
	template  rollout.ServiceTemplate
	upstreams []fleet.Upstream
	draining  map[fleet.Endpoint]time.Time // When the endpoint itself announced that it is draining.

	carriers          []fleet.Instance
	former            []formerSet
	carrying          bool              // This instance is in the current set of carriers.
	carrier           *health.Carrier   // Nil unless this instance is in the current or a former set of carriers.
	evaluator         *health.Evaluator // Nil unless evaluating.
	evaluating        bool
	evaluatorInstance fleet.Instance
	fleetVersion      uint64 // Manager.fleetVersion that carriers and evaluatorInstance were computed for.

	published    []routing.Target
	hasPublished bool // False until the first call of Publish; published may be nil after it.
}

func newService(name fleet.Service) *service {
	return &service{name: name, draining: make(map[fleet.Endpoint]time.Time)}
}

// drainingTTL is how long an endpoint's own announcement that it is draining overrides the
// platform's list, which lags.
const drainingTTL = time.Minute

// upstreams returns the listed endpoints of a service, without duplicates and endpoints that have no slots.
func (m *Manager) upstreams(now time.Time, s *service) []fleet.Upstream {
	listed := m.listing.Upstreams[s.name]
	upstreams := make([]fleet.Upstream, 0, len(listed))
	seen := make(map[fleet.Endpoint]struct{}, len(listed))
	for _, u := range listed {
		if _, duplicate := seen[u.Endpoint]; duplicate || u.Slots <= 0 {
			continue
		}
		seen[u.Endpoint] = struct{}{}
		if at, ok := s.draining[u.Endpoint]; ok && now.Sub(at) < drainingTTL {
			u.State = fleet.UpstreamDraining
		}
		upstreams = append(upstreams, u)
	}
	slices.SortFunc(upstreams, func(a, b fleet.Upstream) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return upstreams
}

// assign creates, configures or drops a service's carrier and evaluator according to the placement.
func (m *Manager) assign(now time.Time, s *service) {
	evaluator := m.updatePlacement(now, s)
	a := health.Assignment{Generation: m.generation, Evaluator: evaluator.Ref, Carriers: s.carriers, Former: s.formerCarriers()}
	p := parametersOf(s.template)
	s.carrying = slices.ContainsFunc(s.carriers, m.isSelf)
	if s.carrying && s.carrier == nil {
		s.carrier = health.NewCarrier(m.self, m.options.Health)
	}
	if s.carrier != nil && !s.carrying && !m.isFormerCarrier(s) {
		s.carrier = nil
	}
	m.updateEvaluator(s, evaluator.Ref)
	if s.carrier != nil {
		s.carrier.Configure(now, p, a, s.upstreams)
	}
	if s.evaluator != nil {
		s.evaluator.Configure(now, p, a, s.upstreams)
	}
}

// updatePlacement looks up a service's carriers and evaluator if the fleet has changed. It
// returns the evaluator.
func (m *Manager) updatePlacement(now time.Time, s *service) fleet.Instance {
	if s.fleetVersion != m.fleetVersion {
		s.fleetVersion = m.fleetVersion
		s.setCarriers(now, sortedByID(m.placement.Carriers(s.name, m.options.Carriers)))
		for _, f := range s.former {
			m.ended.record(now, m.placement, f.carriers)
		}
		s.evaluatorInstance, _ = m.placement.Evaluator(s.name)
	}
	return s.evaluatorInstance
}

// updateEvaluator creates or drops this instance's evaluator of a service. The decisions of a
// dropped evaluator expire on their own.
func (m *Manager) updateEvaluator(s *service, evaluator fleet.Ref) {
	s.evaluating = evaluator == m.self.Ref
	switch {
	case !s.evaluating:
		s.evaluator = nil
	case s.evaluator == nil:
		s.evaluator = health.NewEvaluator(m.self, m.options.Health)
	}
}

func (m *Manager) isSelf(i fleet.Instance) bool {
	return i.Ref == m.self.Ref
}

// isFormerCarrier reports whether this instance is in a former set, and so may still vote.
func (m *Manager) isFormerCarrier(s *service) bool {
	return slices.ContainsFunc(s.former, func(f formerSet) bool { return slices.ContainsFunc(f.carriers, m.isSelf) })
}

// sortedByID returns the instances sorted by ID, so that every instance has the same list of a set.
func sortedByID(instances []fleet.Instance) []fleet.Instance {
	return slices.SortedFunc(slices.Values(instances), func(a, b fleet.Instance) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
}

func sameRefs(a, b []fleet.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Instance) bool { return x.Ref == y.Ref })
}

// parametersOf returns the health parameters of a template. Their revision is a digest of
// their values, so that a change of other parts of the configuration does not change it.
func parametersOf(t rollout.ServiceTemplate) health.Parameters {
	p := health.Parameters{
		Service:                        t.Name,
		FloorSlots:                     t.FloorSlots,
		FalseEjectionsPerEndpointMonth: t.FalseEjectionsPerEndpointMonth,
		ExpectedRequestsPerSecond:      t.RequestsPerSecond,
	}
	data, err := cbor.Marshal([]any{p.Service, p.FloorSlots, p.FalseEjectionsPerEndpointMonth, p.ExpectedRequestsPerSecond})
	if err == nil {
		p.Revision = fleet.Revision(xxhash.Sum64(data) & math.MaxUint32)
	}
	return p
}
