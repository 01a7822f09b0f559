package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/membership"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/config"
	"github.com/damaskcove/damaskcove/internal/control"
	"github.com/damaskcove/damaskcove/internal/members"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/operate"
	"github.com/damaskcove/damaskcove/internal/storecall"
	"github.com/damaskcove/damaskcove/internal/storekeys"
	"github.com/damaskcove/damaskcove/internal/wire"
)

// waitTimeout bounds each wait of a test.
const waitTimeout = 90 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 2 * time.Millisecond

// instance is a test instance: a control loop with the membership and configuration components.
type instance struct {
	ref     fleet.Ref
	loop    *control.Loop
	members *members.Manager
	config  *config.Manager
	stop    context.CancelFunc
	net     *network
	mu      sync.Mutex
	applied []fleet.Revision
}

// network delivers encoded messages between the control loops of one process.
type network struct {
	mu    sync.Mutex
	nodes map[fleet.Ref]*instance
}

type link struct {
	net  *network
	from fleet.Ref
}

func (l link) Send(to fleet.Ref, kind wire.Kind, body any) {
	data, err := wire.Encode(kind, body)
	if err != nil {
		return
	}
	l.net.mu.Lock()
	target := l.net.nodes[to]
	l.net.mu.Unlock()
	if target == nil {
		return
	}
	e, err := wire.Decode(data)
	if err != nil {
		return
	}
	go target.loop.Deliver(l.from, e)
}

func describe(i int) fleet.Instance {
	return fleet.Instance{
		Ref:  fleet.Ref{ID: fleet.InstanceID(fmt.Sprintf("10.0.0.%d", i)), Incarnation: 1},
		Zone: fleet.Zone(fmt.Sprintf("z%d", i%3)), Region: "r",
	}
}

func (n *network) start(t testing.TB, i int, candidates []fleet.Instance, store *standin.Platform) *instance {
	self := describe(i)
	ctx, cancel := context.WithCancel(t.Context())
	loop := control.NewLoop(func(from fleet.Ref, kind wire.Kind, err error) {})
	budget := storecall.NewBudget(time.Now)
	random := rand.New(rand.NewPCG(uint64(i), 1))
	node := &instance{ref: self.Ref, loop: loop, stop: cancel, net: n}
	node.members = members.New(ctx, members.Options{
		Self: self, Config: membership.Config{Fleet: "f"}, RosterKey: storekeys.Keys{Fleet: "f"}.Roster(),
		Random: random, Loop: loop, Sender: link{n, self.Ref}, Store: store, Budget: budget,
	})
	node.config = config.New(ctx, config.Options{
		Keys: storekeys.Keys{Fleet: "f"}, Random: random, Loop: loop, Sender: link{n, self.Ref},
		Store: store, Budget: budget, Members: node.members, OnApply: node.recordApplied,
	})
	loop.Add(node.members)
	loop.Add(node.config)
	n.mu.Lock()
	n.nodes[self.Ref] = node
	n.mu.Unlock()
	go loop.Run(ctx)
	loop.Post(func(now time.Time) {
		node.members.Start(now, candidates)
		node.config.Start(now, candidates)
	})
	return node
}

func (i *instance) recordApplied(_ time.Time, c *rollout.Config) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.applied = append(i.applied, c.Revision)
}

func (i *instance) revision() fleet.Revision {
	if c := i.config.Current(); c != nil {
		return c.Revision
	}
	return 0
}

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

func allInstances(nodes []*instance, condition func(*instance) bool) func() bool {
	return func() bool {
		for _, n := range nodes {
			if !condition(n) {
				return false
			}
		}
		return true
	}
}

func change(t testing.TB, store *standin.Platform, floor int, id string) fleet.Revision {
	t.Helper()
	accepted, err := operate.Apply(t.Context(), store, "f", nil, rollout.Change{Services: []rollout.ServiceTemplate{{
		Name: "s", FloorSlots: floor, Deadline: time.Second, FalseEjectionsPerEndpointMonth: 0.01, MaxBodyBytes: 1,
		Routes: []rollout.Route{{PathPrefix: "/"}},
	}}}, id)
	if err != nil {
		t.Fatal(err)
	}
	return accepted.Revision
}

// TestFleetAppliesChangesAcrossStoreOutage starts a fleet on an empty store, changes the
// configuration, and starts one more instance during a store outage. The new instance must get
// the configuration from its peers, and all must apply revisions in increasing order.
func TestFleetAppliesChangesAcrossStoreOutage(t *testing.T) {
	store := standin.New(standin.Options{})
	net := &network{nodes: make(map[fleet.Ref]*instance)}
	var candidates []fleet.Instance
	for i := range 9 {
		candidates = append(candidates, describe(i))
	}
	var nodes []*instance
	for i := range 9 {
		nodes = append(nodes, net.start(t, i, candidates, store))
	}
	waitFor(t, "all nine on the roster", allInstances(nodes, func(n *instance) bool {
		s := n.members.Snapshot()
		return s.Joined && len(s.Roster.Instances) == 9
	}))
	for k := range 3 {
		want := change(t, store, k, fmt.Sprint(k))
		waitFor(t, "change active on every instance", allInstances(nodes, func(n *instance) bool { return n.revision() == want }))
	}
	if err := store.SetFaults(standin.Faults{Store: standin.OutageRefuse}); err != nil {
		t.Fatal(err)
	}
	joiner := net.start(t, 20, candidates, store)
	waitFor(t, "the configuration from peers during the outage", func() bool { return joiner.revision() == 3 })
	if err := store.SetFaults(standin.Faults{}); err != nil {
		t.Fatal(err)
	}
	nodes = append(nodes, joiner)
	want := change(t, store, 9, "after")
	waitFor(t, "change after the outage active on every instance", allInstances(nodes, func(n *instance) bool {
		return n.revision() == want && len(n.members.Snapshot().Roster.Instances) == 10
	}))
	for _, n := range nodes {
		n.mu.Lock()
		for k := 1; k < len(n.applied); k++ {
			if n.applied[k] <= n.applied[k-1] {
				t.Errorf("%v applied revisions %v", n.ref, n.applied)
			}
		}
		n.mu.Unlock()
		n.stop()
	}
}

// TestRosterReplyLost drops the replies to the first two writes of the roster, so that their result is unknown.
func TestRosterReplyLost(t *testing.T) {
	store := standin.New(standin.Options{Faults: standin.Faults{LoseReplies: 2}})
	net := &network{nodes: make(map[fleet.Ref]*instance)}
	candidates := []fleet.Instance{describe(0), describe(1), describe(2)}
	var nodes []*instance
	for i := range 3 {
		nodes = append(nodes, net.start(t, i, candidates, store))
	}
	waitFor(t, "all three on the roster", allInstances(nodes, func(n *instance) bool {
		s := n.members.Snapshot()
		return s.Joined && len(s.Roster.Instances) == 3 && s.Map.Len() == 3
	}))
	for _, n := range nodes {
		n.stop()
	}
}
