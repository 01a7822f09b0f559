package endpoints

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/coord/routing"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/wire"
)

const catalogue fleet.Service = "catalogue"

// fixedPlacement gives every service all instances as carriers and the first as evaluator.
type fixedPlacement []fleet.Instance

func (p fixedPlacement) Carriers(fleet.Service, int) []fleet.Instance { return p }

func (p fixedPlacement) Evaluator(fleet.Service) (fleet.Instance, bool) { return p[0], true }

func (p fixedPlacement) Incarnation(id fleet.InstanceID) (fleet.Incarnation, bool) {
	for _, in := range p {
		if in.Ref.ID == id {
			return in.Ref.Incarnation, true
		}
	}
	return 0, false
}

// network encodes, decodes and delivers messages between managers without delay.
type network struct {
	t     *testing.T
	now   time.Time
	nodes map[fleet.Ref]*testNode

	listing metastore.Listing
	config  *rollout.Config
	all     fixedPlacement
}

type testNode struct {
	network *network
	self    fleet.Instance
	manager *Manager
	targets []routing.Target
	cut     bool
}

func (n *testNode) Send(to fleet.Ref, kind wire.Kind, body any) {
	peer := n.network.nodes[to]
	if n.cut || peer == nil || peer.cut {
		return
	}
	data, err := wire.Encode(kind, body)
	if err != nil {
		n.network.t.Fatal(err)
	}
	e, err := wire.Decode(data)
	if err != nil {
		n.network.t.Fatal(err)
	}
	if err := peer.manager.Deliver(n.network.now, n.self.Ref, e); err != nil {
		n.network.t.Fatal(err)
	}
}

func newNetwork(t *testing.T, instances, upstreams int) *network {
	n := &network{t: t, now: time.Unix(1_000_000, 0), nodes: map[fleet.Ref]*testNode{}}
	var all fixedPlacement
	for i := range instances {
		all = append(all, fleet.Instance{
			Ref:  fleet.Ref{ID: fleet.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: 1},
			Zone: fleet.Zone([]string{"a", "b", "c"}[i%3]),
		})
	}
	listing := metastore.Listing{Upstreams: map[fleet.Service][]fleet.Upstream{}}
	for i := range upstreams {
		u := fleet.Upstream{Endpoint: fleet.Endpoint(fmt.Sprintf("10.0.0.%d:80", i)), Slots: 3, State: fleet.UpstreamReady}
		listing.Upstreams[catalogue] = append(listing.Upstreams[catalogue], u)
	}
	config := &rollout.Config{Revision: 1, Services: map[fleet.Service]rollout.ServiceTemplate{
		catalogue: {Name: catalogue, FloorSlots: 9, FalseEjectionsPerEndpointMonth: 0.001, RequestsPerSecond: 200},
	}}
	n.listing, n.config, n.all = listing, config, all
	for _, self := range all {
		n.add(self).manager.SetFleet(n.now, 1, all, self)
	}
	return n
}

// add starts one incarnation of an instance, with the listing and the configuration set.
func (n *network) add(self fleet.Instance) *testNode {
	node := &testNode{network: n, self: self}
	node.manager = NewManager(Options{
		Sender: node,
		Log:    slog.New(slog.NewJSONHandler(io.Discard, nil)),
		Publish: func(_ fleet.Service, targets []routing.Target, _ rollout.ServiceTemplate) {
			node.targets = targets
		},
	})
	node.manager.SetListing(n.now, n.listing)
	node.manager.SetConfig(n.now, n.config)
	n.nodes[self.Ref] = node
	return node
}

// restart replaces every instance by its next incarnation. The new ones first get the roster
// of the previous incarnations, then one roster for each instance that has rejoined.
func (n *network) restart() {
	clear(n.nodes)
	var next []*testNode
	for _, self := range n.all {
		self.Ref.Incarnation++
		next = append(next, n.add(self))
	}
	roster := slices.Clone(n.all)
	for i := -1; i < len(next); i++ {
		if i >= 0 {
			roster[i] = next[i].self
		}
		for _, node := range next {
			node.manager.SetFleet(n.now, uint64(i+3), fixedPlacement(slices.Clone(roster)), node.self)
		}
	}
	n.all = roster
}

// run lets every node send one request to each endpoint it may use, every 100 ms.
func (n *network) run(d time.Duration, failing fleet.Endpoint) {
	for step := range int(d / (50 * time.Millisecond)) {
		n.now = n.now.Add(50 * time.Millisecond)
		for _, node := range n.nodes {
			if step%2 == 0 {
				node.request(failing)
			}
			node.manager.Tick(n.now)
		}
	}
}

func (node *testNode) request(failing fleet.Endpoint) {
	for _, target := range node.targets {
		e := target.Upstream.Endpoint
		if target.State == routing.StateAvailable || target.State == routing.StateTrial {
			node.manager.Observe(catalogue, health.Attempt{
				Endpoint: e,
				Failed:   e == failing,
				Latency:  40 * time.Millisecond,
				Trial:    target.State == routing.StateTrial,
			})
		}
	}
}

// countInState returns how many of the nodes that may use an endpoint have it in a state.
func (n *network) countInState(e fleet.Endpoint, want routing.EndpointState) (count, of int) {
	for _, node := range n.nodes {
		for _, target := range node.targets {
			if target.Upstream.Endpoint != e {
				continue
			}
			of++
			if target.State == want {
				count++
			}
		}
	}
	return count, of
}

func TestFailingEndpointIsExcludedAtAllInstances(t *testing.T) {
	n := newNetwork(t, 6, 7)
	n.run(10*time.Second, "")
	n.run(5*time.Second, "10.0.0.3:80")
	if excluded, of := n.countInState("10.0.0.3:80", routing.StateExcluded); excluded != of || of == 0 {
		t.Fatalf("failing endpoint is excluded at %d of %d instances", excluded, of)
	}
	if available, of := n.countInState("10.0.0.2:80", routing.StateAvailable); available != of || of == 0 {
		t.Fatalf("healthy endpoint is available at %d of %d instances", available, of)
	}
	status := n.nodes[fleet.Ref{ID: "i0", Incarnation: 1}].manager.Status()
	if len(status.Services) != 1 || !status.Services[0].Evaluating || status.Services[0].BudgetSlots != 12 {
		t.Fatalf("status %+v, want the evaluator of one service with a budget of 12 slots", status.Services)
	}
}

func TestIsolatedInstanceRestoresAllEndpoints(t *testing.T) {
	n := newNetwork(t, 6, 7)
	n.run(10*time.Second, "")
	n.run(5*time.Second, "10.0.0.3:80")
	isolated := n.nodes[fleet.Ref{ID: "i5", Incarnation: 1}]
	isolated.cut = true
	n.run(health.DefaultConfig().Lease, "10.0.0.3:80")
	for _, target := range isolated.targets {
		if target.State != routing.StateAvailable {
			t.Errorf("isolated instance has %s in state %d, want available", target.Upstream.Endpoint, target.State)
		}
	}
}

func TestDrainingEndpointIsMarkedAtOnce(t *testing.T) {
	n := newNetwork(t, 1, 3)
	n.run(time.Second, "")
	node := n.nodes[fleet.Ref{ID: "i0", Incarnation: 1}]
	node.manager.MarkDraining(n.now, catalogue, "10.0.0.1:80")
	if count, of := n.countInState("10.0.0.1:80", routing.StateDraining); count != 1 || of != 1 {
		t.Fatalf("endpoint is marked draining at %d of %d instances", count, of)
	}
}

func TestLimitsSumToSlotsWithOvercommit(t *testing.T) {
	n := newNetwork(t, 12, 9)
	n.run(time.Second, "")
	perEndpoint := map[fleet.Endpoint]int{}
	lowest, highest := 1<<30, 0
	for _, node := range n.nodes {
		total := 0
		for _, target := range node.targets {
			perEndpoint[target.Upstream.Endpoint] += target.Limit
			total += target.Limit
		}
		lowest, highest = min(lowest, total), max(highest, total)
	}
	for e, total := range perEndpoint {
		if total < 3 || total > 4 {
			t.Errorf("limits on %s sum to %d, want 3 or 4 for 3 slots", e, total)
		}
	}
	if len(perEndpoint) != 9 || highest-lowest > 1 {
		t.Errorf("%d endpoints are used, want 9; instances have %d to %d shares, want a difference of at most 1", len(perEndpoint), lowest, highest)
	}
}

func TestEjectionSoonAfterAllInstancesRestart(t *testing.T) {
	n := newNetwork(t, 6, 7)
	n.run(10*time.Second, "")
	n.restart()
	const failing = fleet.Endpoint("10.0.0.3:80")
	n.run(20*time.Second, failing)
	if excluded, of := n.countInState(failing, routing.StateExcluded); excluded != of || of == 0 {
		t.Errorf("failing endpoint is excluded at %d of %d instances 20 s after all restarted, want all", excluded, of)
	}
}
