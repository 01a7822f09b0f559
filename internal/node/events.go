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

// deliver hands a peer's message to the relays or to the control goroutine.
func (n *Node) deliver(from fleet.Ref, e wire.Envelope) {
	if !relay.Handles(e.Kind) {
		n.loop.Deliver(from, e)
		return
	}
	if err := n.calls.Deliver(context.Background(), from, e); err != nil {
		n.refuse(from, e.Kind, err)
	}
}

// carriersOf is the placement that the health duty needs: carriers by the roster's
// generation alone, the judge by what this instance takes to be alive.
type carriersOf struct {
	roster *placement.Map
	alive  *placement.Map
	lives  map[fleet.InstanceID]fleet.Incarnation // Of the roster.
}

func (c carriersOf) Carriers(s fleet.Service, count int) []fleet.Instance {
	return c.roster.Carriers(s, count)
}

func (c carriersOf) Evaluator(s fleet.Service) (fleet.Instance, bool) {
	return c.alive.Evaluator(s)
}

func (c carriersOf) Incarnation(id fleet.InstanceID) (fleet.Incarnation, bool) {
	life, ok := c.lives[id]
	return life, ok
}

// livesOf returns the incarnation of each instance of a roster.
func livesOf(instances []fleet.Instance) map[fleet.InstanceID]fleet.Incarnation {
	lives := make(map[fleet.InstanceID]fleet.Incarnation, len(instances))
	for _, in := range instances {
		lives[in.Ref.ID] = in.Ref.Incarnation
	}
	return lives
}

// membersChanged runs on the control goroutine.
func (n *Node) membersChanged(now time.Time, s *members.Snapshot) {
	n.budget.SetFleetSize(len(s.Roster.Instances))
	p := carriersOf{roster: placement.NewMap(s.Roster.Instances), alive: s.Map, lives: livesOf(s.Roster.Instances)}
	n.endpoints.SetFleet(now, s.Roster.Generation, p, s.Self)
}

// maxVia bounds the instances that are asked to pass a message on.
const maxVia = 4

// via returns instances that may pass a message on to another, those of other zones
// than this one's first; none when the receiver is not believed alive.
func (n *Node) via(to fleet.Ref) []fleet.Ref {
	m := n.members.Snapshot().Map
	if m == nil || !contains(m.Instances(), to) {
		return nil
	}
	instances := m.Instances()
	start := rand.IntN(len(instances))
	var far, near []fleet.Ref
	for i := range instances {
		in := instances[(start+i)%len(instances)]
		switch {
		case in.Ref == to || in.Ref == n.self.Ref:
		case in.Zone != n.self.Zone:
			far = append(far, in.Ref)
		default:
			near = append(near, in.Ref)
		}
		if len(far) >= maxVia {
			break
		}
	}
	return append(far, near...)
}

// watches reports whether this instance reads the platform's list for its zone.
func (n *Node) watches() bool {
	m := n.members.Snapshot().Map
	if m == nil {
		return false
	}
	return contains(m.Watchers(n.self.Zone, n.opts.Settings.Fleet.WatchersPerZone), n.self.Ref)
}

// zonePeers returns the other instances of this one's zone.
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
	n.weights = weightsOf(c)
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

// weightsOf returns, for each service, the shares of its accounts whose share is not one.
func weightsOf(c *rollout.Config) map[fleet.Service]map[fleet.Account]int {
	shares := make(map[fleet.Service]map[fleet.Account]int)
	for name, a := range c.Accounts {
		if a.Weight <= 1 {
			continue
		}
		for _, service := range a.Services {
			if shares[service] == nil {
				shares[service] = make(map[fleet.Account]int)
			}
			shares[service][name] = a.Weight
		}
	}
	return shares
}

// upstreamLeaving takes an upstream's own word that it leaves.
func (n *Node) upstreamLeaving(service fleet.Service, endpoint fleet.Endpoint) {
	n.loop.Post(func(now time.Time) { n.endpoints.MarkLeaving(now, service, endpoint) })
}
