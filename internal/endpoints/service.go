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

// service is what a duty holds of one service.
type service struct {
	name      fleet.Service
	template  rollout.ServiceTemplate
	upstreams []fleet.Upstream
	leaving   map[fleet.Endpoint]time.Time // Said to be leaving by the upstream itself.

	carriers []fleet.Instance
	former   []formerSet
	carrying bool
	carrier  *health.Carrier
	judge    *health.Evaluator
	judging  bool
	assigned fleet.Instance // The service's judge.
	placed   uint64         // Counts the fleets; which one carriers and assigned follow from.

	published []routing.Target
	announced bool // published has been passed on.
}

func newService(name fleet.Service) *service {
	return &service{name: name, leaving: make(map[fleet.Endpoint]time.Time)}
}

// leavingFor is the time for which an upstream's own word that it is leaving holds against a list that lags.
const leavingFor = time.Minute

// upstreams returns the listed endpoints of a service, without doubles and those without slots.
func (d *Manager) upstreams(now time.Time, s *service) []fleet.Upstream {
	listed := d.listing.Upstreams[s.name]
	kept := make([]fleet.Upstream, 0, len(listed))
	seen := make(map[fleet.Endpoint]struct{}, len(listed))
	for _, u := range listed {
		if _, twice := seen[u.Endpoint]; twice || u.Slots <= 0 {
			continue
		}
		seen[u.Endpoint] = struct{}{}
		if at, ok := s.leaving[u.Endpoint]; ok && now.Sub(at) < leavingFor {
			u.State = fleet.UpstreamLeaving
		}
		kept = append(kept, u)
	}
	slices.SortFunc(kept, func(a, b fleet.Upstream) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return kept
}

// assign brings a service's carrier and judge in line with the fleet.
func (d *Manager) assign(now time.Time, s *service) {
	judge := d.place(now, s)
	a := health.Assignment{Generation: d.generation, Evaluator: judge.Ref, Carriers: s.carriers, Former: s.formerCarriers()}
	p := parametersOf(s.template)
	s.carrying = slices.ContainsFunc(s.carriers, d.isSelf)
	if s.carrying && s.carrier == nil {
		s.carrier = health.NewCarrier(d.self, d.options.Health)
	}
	if s.carrier != nil && !s.carrying && !d.wasCarrier(s) {
		s.carrier = nil
	}
	d.assignJudge(s, judge.Ref)
	if s.carrier != nil {
		s.carrier.Configure(now, p, a, s.upstreams)
	}
	if s.judge != nil {
		s.judge.Configure(now, p, a, s.upstreams)
	}
}

// place looks up a service's carriers and judge when the fleet has changed.
func (d *Manager) place(now time.Time, s *service) fleet.Instance {
	if s.placed != d.placed {
		s.placed = d.placed
		s.setCarriers(now, sorted(d.placement.Carriers(s.name, d.options.Carriers)))
		for _, f := range s.former {
			d.ended.note(now, d.placement, f.carriers)
		}
		s.assigned, _ = d.placement.Evaluator(s.name)
	}
	return s.assigned
}

// assignJudge makes or drops the judge of a service. A dropped judge's verdicts lapse by themselves.
func (d *Manager) assignJudge(s *service, judge fleet.Ref) {
	s.judging = judge == d.self.Ref
	switch {
	case !s.judging:
		s.judge = nil
	case s.judge == nil:
		s.judge = health.NewEvaluator(d.self, d.options.Health)
	}
}

func (d *Manager) isSelf(i fleet.Instance) bool {
	return i.Ref == d.self.Ref
}

// wasCarrier reports whether this instance is in a former set, and so still lends itself.
func (d *Manager) wasCarrier(s *service) bool {
	return slices.ContainsFunc(s.former, func(f formerSet) bool { return slices.ContainsFunc(f.carriers, d.isSelf) })
}

// sorted returns the instances by ID, so that the same set is the same list everywhere.
func sorted(instances []fleet.Instance) []fleet.Instance {
	return slices.SortedFunc(slices.Values(instances), func(a, b fleet.Instance) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
}

func sameRefs(a, b []fleet.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Instance) bool { return x.Ref == y.Ref })
}

// parametersOf returns the health parameters of a template. Their revision is a digest of
// them, so that it stays the same while other parts of the configuration change.
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
