package health

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// simulation is a fleet whose network, clocks, lists, rosters and wanted removals are drawn at random.
// The removals that evaluators want don't come from the detector: the floor must hold whatever it finds.
type simulation struct {
	t          *rapid.T
	cfg        Config
	now        time.Time
	floor      int
	actual     []fleet.Upstream
	rosters    []roster
	nodes      []*node
	messages   []message // All messages sent so far; each may be delivered at any time, also twice.
	heldLists  []heldList
	maxRemoved int // Most slots removed at one time; shows that the runs remove endpoints at all.
}

// heldList is the number of ready slots in an evaluator's list, and until when decisions on it may be valid.
type heldList struct {
	ready int
	until time.Time
}

type roster struct {
	carriers []fleet.Instance
}

type message struct {
	from fleet.Ref
	send Send
}

// node is one incarnation of one instance, with its own clock.
type node struct {
	self         fleet.Instance
	offset       time.Duration
	rate         float64
	alive        bool
	roster       int
	list         []fleet.Upstream
	evaluatorRef fleet.Ref
	carrier      *Carrier
	evaluator    *Evaluator
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, cfg: DefaultConfig(), now: time.Unix(1_000_000, 0)}
	endpoints := rapid.IntRange(2, 8).Draw(t, "endpoints")
	total := 0
	for i := range endpoints {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		total += slots
		sim.actual = append(sim.actual, fleet.Upstream{Endpoint: fleet.Endpoint(fmt.Sprintf("10.0.0.%d:80", i)), Slots: slots, State: fleet.UpstreamReady})
	}
	sim.floor = rapid.IntRange(0, total).Draw(t, "floor")
	count := rapid.IntRange(1, 7).Draw(t, "carriers")
	for i := range count {
		sim.start(fmt.Sprintf("i%d", i), 1)
	}
	sim.rosters = []roster{{carriers: sim.aliveInstances()}}
	for _, n := range sim.nodes {
		n.evaluatorRef = sim.nodes[0].self.Ref
		sim.configure(n)
	}
	return sim
}

func (sim *simulation) start(id string, incarnation uint64) *node {
	zone := rapid.SampledFrom([]fleet.Zone{"a", "b", "c"}).Draw(sim.t, "zone")
	n := &node{
		self:   fleet.Instance{Ref: fleet.Ref{ID: fleet.InstanceID(id), Incarnation: fleet.Incarnation(incarnation)}, Zone: zone},
		offset: time.Duration(rapid.IntRange(-1000, 1000).Draw(sim.t, "offset")) * time.Second,
		rate:   1 + float64(rapid.IntRange(-10, 10).Draw(sim.t, "drift"))/1000,
		alive:  true,
		list:   slices.Clone(sim.actual),
	}
	n.carrier = NewCarrier(n.self, sim.cfg)
	n.evaluator = NewEvaluator(n.self, sim.cfg)
	n.evaluatorRef = n.self.Ref
	sim.nodes = append(sim.nodes, n)
	return n
}

func (sim *simulation) aliveInstances() []fleet.Instance {
	var all []fleet.Instance
	for _, n := range sim.nodes {
		if n.alive {
			all = append(all, n.self)
		}
	}
	return all
}

// clock returns a node's own time.
func (sim *simulation) clock(n *node) time.Time {
	elapsed := float64(sim.now.Sub(time.Unix(0, 0)))
	return time.Unix(0, 0).Add(n.offset).Add(time.Duration(elapsed * n.rate))
}

func (sim *simulation) configure(n *node) {
	p := Parameters{Service: "s", Revision: 1, FloorSlots: sim.floor}
	a := Assignment{Generation: uint64(n.roster + 1), Evaluator: n.evaluatorRef, Carriers: sim.rosters[n.roster].carriers}
	for _, r := range sim.rosters[:n.roster] {
		a.Former = append(a.Former, r.carriers)
	}
	now := sim.clock(n)
	n.carrier.Configure(now, p, a, n.list)
	sim.recordList(n)
	n.evaluator.Configure(now, p, a, n.list)
	sim.recordList(n)
}

// recordList records the ready slots in the list of a node's evaluator, for as long as a decision on it may be valid.
func (sim *simulation) recordList(n *node) {
	sim.heldLists = append(sim.heldLists, heldList{ready: n.evaluator.readySlots(), until: sim.now.Add(sim.cfg.Lease + 2*sim.cfg.DriftMargin)})
}

func (sim *simulation) node(ref fleet.Ref) *node {
	for _, n := range sim.nodes {
		if n.self.Ref == ref && n.alive {
			return n
		}
	}
	return nil
}

func (sim *simulation) post(from fleet.Ref, sends []Send) {
	for _, s := range sends {
		sim.messages = append(sim.messages, message{from: from, send: s})
	}
}

func (sim *simulation) deliver(m message) {
	n := sim.node(m.send.To)
	if n == nil {
		return
	}
	if m.send.Evidence != nil {
		sends, _ := n.evaluator.Deliver(sim.clock(n), m.from, m.send.Evidence)
		sim.recordList(n)
		sim.post(n.self.Ref, sends)
		return
	}
	_ = n.carrier.Deliver(sim.clock(n), m.from, m.send.Decision)
}

// exchange sends a node's evidence and delivers it and the decision without loss.
func (sim *simulation) exchange(n *node) {
	before := len(sim.messages)
	sim.post(n.self.Ref, n.carrier.Tick(sim.clock(n)))
	for i := before; i < len(sim.messages); i++ {
		sim.deliver(sim.messages[i])
	}
}

func (sim *simulation) drawNode(label string) *node {
	return rapid.SampledFrom(sim.nodes).Draw(sim.t, label)
}

// setRemoved makes an evaluator want an endpoint removed, for all zones or for one, or back in service.
func (sim *simulation) setRemoved(n *node, key EndpointKey, zone fleet.Zone, removed bool) {
	ep := n.evaluator.byKey[key]
	if ep == nil || !ep.ready() {
		return
	}
	ep.removal.zones = nil
	switch {
	case !removed:
		ep.removal.state = StateInService
	case zone != "" && slices.Contains(n.evaluator.zones, zone):
		ep.removal.state = StateAvoided
		ep.removal.zones = []fleet.Zone{zone}
	default:
		ep.removal.state = StateEjected
	}
}

// check asserts the floor in every carrier's view and over the union of the views of each zone.
func (sim *simulation) check() {
	union := map[fleet.Zone]map[fleet.Endpoint]bool{}
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		removed := sim.checkView(n)
		if union[n.self.Zone] == nil {
			union[n.self.Zone] = map[fleet.Endpoint]bool{}
		}
		for _, e := range removed {
			union[n.self.Zone][e] = true
		}
	}
	for zone, removed := range union {
		sim.checkUnion(zone, removed)
	}
}

func (sim *simulation) checkView(n *node) []fleet.Endpoint {
	var removed []fleet.Endpoint
	capacity := 0
	for i, v := range n.carrier.View(sim.clock(n)) {
		if isRemoved(v.State) {
			removed = append(removed, v.Endpoint)
		} else if n.list[i].State == fleet.UpstreamReady {
			capacity += n.list[i].Slots
		}
	}
	ready := readySlots(n.list)
	if want := min(sim.floor, ready); capacity < want {
		sim.t.Fatalf("view of %s has %d slots, below %d (floor %d, ready %d)", n.self.Ref, capacity, want, sim.floor, ready)
	}
	return removed
}

func (sim *simulation) checkUnion(zone fleet.Zone, removed map[fleet.Endpoint]bool) {
	ready, capacity := readySlots(sim.actual), 0
	for _, u := range sim.actual {
		if u.State == fleet.UpstreamReady && !removed[u.Endpoint] {
			capacity += u.Slots
		}
	}
	sim.maxRemoved = max(sim.maxRemoved, ready-capacity)
	largest := ready
	for _, l := range sim.heldLists {
		if sim.now.Before(l.until) {
			largest = max(largest, l.ready)
		}
	}
	drained := largest - ready
	if want := min(sim.floor-drained, ready); capacity < want {
		sim.t.Fatalf("zone %s has %d slots, below %d (floor %d, ready %d, drained %d): removed %v", zone, capacity, want, sim.floor, ready, drained, removed)
	}
}
