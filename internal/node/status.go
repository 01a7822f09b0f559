package node

import (
	"expvar"
	"fmt"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/membership"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/endpoints"
	"github.com/damaskcove/damaskcove/internal/operator/api"
	"github.com/damaskcove/damaskcove/internal/storecall"
)

// Status returns the status report of the operator API.
func (n *Node) Status() api.Status {
	snapshot := n.members.Snapshot()
	s := api.Status{
		Fleet:      n.opts.Settings.Instance.Fleet,
		Self:       n.self,
		Phase:      n.Phase(),
		Started:    n.started,
		Generation: snapshot.Roster.Generation,
		Claims:     n.claims.Table().Keys,
		InFlight:   n.entry.InFlight(),
		Store:      n.storeStatus(),
	}
	s.Revision = n.Revision()
	if at := n.appliedAt.Load(); at != nil {
		s.AppliedAt = *at
	}
	for _, m := range snapshot.Members {
		s.Members = append(s.Members, api.Member{
			Instance:  m.Instance,
			Status:    statusName(m.Status),
			Revision:  n.revisionOf(m),
			Connected: n.links.Up(m.Instance.Ref),
		})
	}
	for _, service := range n.endpoints.Status().Services {
		s.Services = append(s.Services, n.serviceStatus(service))
	}
	return s
}

// revisionOf returns the last known revision of the active configuration at a member.
func (n *Node) revisionOf(m membership.Member) fleet.Revision {
	if m.Instance.Ref == n.self.Ref {
		return n.Revision()
	}
	return m.Revision
}

// Revision returns the revision of the active configuration, 0 before the first.
func (n *Node) Revision() fleet.Revision {
	if router := n.router.Load(); router != nil {
		return router.Config().Revision
	}
	return 0
}

// Phase returns whether the instance is starting, serving or stopping.
func (n *Node) Phase() api.Phase {
	switch {
	case n.stopping.Load():
		return api.PhaseStopping
	case n.router.Load() == nil:
		return api.PhaseStarting
	default:
		return api.PhaseServing
	}
}

func statusName(s membership.Status) string {
	switch s {
	case membership.StatusAlive:
		return "alive"
	case membership.StatusSuspect:
		return "suspect"
	case membership.StatusLeaving:
		return "leaving"
	default:
		return "dead"
	}
}

// storeStatus returns the store's reachability and the counts of store calls.
func (n *Node) storeStatus() api.Store {
	s := api.Store{Calls: make(map[string]uint64)}
	s.Reachable, s.LastOK = n.storeMonitor.LastCall()
	storecall.Calls.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			s.Calls[kv.Key] = uint64(v.Value())
		}
	})
	return s
}

func (n *Node) serviceStatus(s endpoints.ServiceStatus) api.Service {
	out := api.Service{
		Name:       s.Service,
		Carried:    s.Carrying,
		Evaluator:  s.Evaluator,
		FloorSlots: s.FloorSlots,
		ReadySlots: s.ReadySlots,
		Budget:     api.Budget{Total: max(0, s.ReadySlots-s.FloorSlots), Available: s.BudgetSlots, ReachableCarriers: s.CarrierVotes, Carriers: s.Carriers},
	}
	for _, in := range n.carriers(s.Service) {
		out.Carriers = append(out.Carriers, in.Ref)
	}
	for _, e := range s.Endpoints {
		out.Endpoints = append(out.Endpoints, endpointView(e))
	}
	return out
}

func endpointView(e endpoints.EndpointStatus) api.EndpointView {
	state := api.StateName(e.State)
	switch e.Listed {
	case fleet.UpstreamDraining:
		state = "leaving"
	case fleet.UpstreamCold:
		state = "cold"
	}
	return api.EndpointView{
		Upstream:  fleet.Upstream{Endpoint: e.Endpoint, Zone: e.Zone, Slots: e.Slots, State: e.Listed},
		State:     state,
		Evaluator: e.Evaluator,
		Score:     e.Score,
		Limit:     e.Limit,
		Until:     e.Until,
		MayReturn: e.MayReturn,
		AtFloor:   e.AtFloor,
	}
}

// Explain returns how a request would be routed and why.
func (n *Node) Explain(method, path string, account fleet.Account) api.Explanation {
	x := api.Explanation{Method: method, Path: path, Account: account, Code: result.CodeNotReady}
	router := n.router.Load()
	if router == nil {
		x.Reason = "no configuration is in force"
		return x
	}
	x.Revision = router.Config().Revision
	match, code := router.Find(account, "", method, path)
	x.Code = code
	if code != result.CodeAnswered {
		entry, _ := result.Lookup(code)
		x.Reason = entry.Text
		return x
	}
	x.Service = match.Service.Name
	x.Route = fmt.Sprintf("%s %s", match.Route.Method, match.Route.PathPrefix)
	x.Idempotent = match.Route.Idempotent
	x.Deadline = match.Service.Deadline
	x.Reason = "routed"
	n.explainPlacement(&x)
	n.explainEndpoints(&x)
	return x
}

func (n *Node) explainPlacement(x *api.Explanation) {
	f := n.opts.Settings.Fleet
	m := n.members.Snapshot().Map
	if m == nil || m.Len() == 0 {
		x.Reason = "routed, but no instance is known to take work"
		return
	}
	x.Entries = m.Entries(x.Service, x.Account, n.self.Zone, f.CarriersPerService, f.EntriesPerAnswer)
	x.CarriedHere = contains(n.carriers(x.Service), n.self.Ref)
	x.Home, x.Witness, _ = m.HomeAndWitnessNear(x.Service, x.Account, n.self.Zone, f.CarriersPerService)
}

func (n *Node) explainEndpoints(x *api.Explanation) {
	for _, s := range n.endpoints.Status().Services {
		if s.Service != x.Service {
			continue
		}
		for _, e := range s.Endpoints {
			x.Endpoints = append(x.Endpoints, endpointView(e))
		}
	}
}
