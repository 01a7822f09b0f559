package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/placement"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/entry"
	"github.com/damaskcove/damaskcove/internal/members"
	"github.com/damaskcove/damaskcove/internal/relay"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// deliver passes a peer's message to the relayed calls or to the control goroutine.
func (n *Node) deliver(from fleet.Ref, e wire.Envelope) {
	if !relay.Handles(e.Kind) {
		n.loop.Deliver(from, e)
		return
	}
	if err := n.calls.Deliver(context.Background(), from, e); err != nil {
		n.rejectMessage(from, e.Kind, err)
	}
}

// placementView is the placement for the endpoints manager. Carriers follow from the roster's
// generation alone; the evaluator is chosen among the instances that this one considers alive.
type placementView struct {
	roster       *placement.Map
	alive        *placement.Map
	incarnations map[fleet.InstanceID]fleet.Incarnation // Of the roster.
}

func (v placementView) Carriers(s fleet.Service, count int) []fleet.Instance {
	return v.roster.Carriers(s, count)
}

func (v placementView) Evaluator(s fleet.Service) (fleet.Instance, bool) {
	return v.alive.Evaluator(s)
}

func (v placementView) Incarnation(id fleet.InstanceID) (fleet.Incarnation, bool) {
	incarnation, ok := v.incarnations[id]
	return incarnation, ok
}

func incarnationsOf(instances []fleet.Instance) map[fleet.InstanceID]fleet.Incarnation {
	incarnations := make(map[fleet.InstanceID]fleet.Incarnation, len(instances))
	for _, in := range instances {
		incarnations[in.Ref.ID] = in.Ref.Incarnation
	}
	return incarnations
}

// membersChanged runs on the control goroutine.
func (n *Node) membersChanged(now time.Time, s *members.Snapshot) {
	n.budget.SetFleetSize(len(s.Roster.Instances))
	p := placementView{roster: placement.NewMap(s.Roster.Instances), alive: s.Map, incarnations: incarnationsOf(s.Roster.Instances)}
	n.endpoints.SetFleet(now, s.Roster.Generation, p, s.Self)
}

// maxForwarders limits the instances of other zones that forwarders returns.
const maxForwarders = 4

// forwarders returns instances that may forward a message to another instance, those of other
// zones first and starting at a random one; none if the receiver is not considered alive.
func (n *Node) forwarders(to fleet.Ref) []fleet.Ref {
	m := n.members.Snapshot().Map
	if m == nil || !contains(m.Instances(), to) {
		return nil
	}
	instances := m.Instances()
	start := rand.IntN(len(instances))
	var remote, local []fleet.Ref
	for i := range instances {
		in := instances[(start+i)%len(instances)]
		switch {
		case in.Ref == to || in.Ref == n.self.Ref:
		case in.Zone != n.self.Zone:
			remote = append(remote, in.Ref)
		default:
			local = append(local, in.Ref)
		}
		if len(remote) >= maxForwarders {
			break
		}
	}
	return append(remote, local...)
}

// isWatcher reports whether this instance reads the platform's list for its zone.
func (n *Node) isWatcher() bool {
	m := n.members.Snapshot().Map
	if m == nil {
		return false
	}
	return contains(m.Watchers(n.self.Zone, n.opts.Settings.Fleet.WatchersPerZone), n.self.Ref)
}

// zonePeers returns the other instances in this instance's zone.
func (n *Node) zonePeers() []fleet.Ref {
	m := n.members.Snapshot().Map
	if m == nil {
		return nil
	}
	var peers []fleet.Ref
	for _, in := range m.Instances() {
		if in.Zone == n.self.Zone && in.Ref != n.self.Ref {
			peers = append(peers, in.Ref)
		}
	}
	return peers
}

// configApplied runs on the control goroutine.
func (n *Node) configApplied(now time.Time, c *rollout.Config) {
	n.router.Store(entry.NewRouter(c))
	n.appliedAt.Store(&now)
	n.weights = accountWeights(c)
	n.endpoints.SetConfig(now, c)
}

// targetsChanged runs on the control goroutine.
func (n *Node) targetsChanged(service fleet.Service, targets []routing.Target, t rollout.ServiceTemplate) {
	n.dispatcher.SetTargets(service, n.routingConfig(t), targets)
}

func (n *Node) routingConfig(t rollout.ServiceTemplate) routing.Config {
	return routing.Config{
		RetryShare:     t.RetryShare,
		Zone:           n.self.Zone,
		AccountWeights: n.weights[t.Name],
	}
}

// accountWeights returns, for each service, the weights of the accounts with a weight above one.
func accountWeights(c *rollout.Config) map[fleet.Service]map[fleet.Account]int {
	weights := make(map[fleet.Service]map[fleet.Account]int)
	for name, a := range c.Accounts {
		if a.Weight <= 1 {
			continue
		}
		for _, service := range a.Services {
			if weights[service] == nil {
				weights[service] = make(map[fleet.Account]int)
			}
			weights[service][name] = a.Weight
		}
	}
	return weights
}

// onUpstreamDraining handles an endpoint's own report that it is draining.
func (n *Node) onUpstreamDraining(service fleet.Service, endpoint fleet.Endpoint) {
	n.loop.Post(func(now time.Time) { n.endpoints.MarkDraining(now, service, endpoint) })
}
