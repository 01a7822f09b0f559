package health

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// world is a fleet whose network, clocks, lists, rosters and judges' wishes are drawn at random.
// Judges want whatever the test draws: the floor must hold whatever the detector says.
type world struct {
	t       *rapid.T
	cfg     Config
	now     time.Time
	floor   int
	truth   []fleet.Upstream
	rosters []roster
	nodes   []*node
	mail    []mail // Everything ever sent; any of it may be delivered at any time, also twice.
	listed  []listing
	most    int // Largest union of removed slots seen, against vacuous runs.
}

// listing is when a judge last held a list with so many ready slots.
type listing struct {
	ready int
	until time.Time
}

type roster struct {
	carriers []fleet.Instance
}

type mail struct {
	from fleet.Ref
	send Send
}

// node is one life of one instance, with its own clock.
type node struct {
	self     fleet.Instance
	offset   time.Duration
	rate     float64
	alive    bool
	roster   int
	list     []fleet.Upstream
	judgeRef fleet.Ref
	carrier  *Carrier
	judge    *Judge
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, cfg: DefaultConfig(), now: time.Unix(1_000_000, 0)}
	endpoints := rapid.IntRange(2, 8).Draw(t, "endpoints")
	total := 0
	for i := range endpoints {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		total += slots
		w.truth = append(w.truth, fleet.Upstream{Endpoint: fleet.Endpoint(fmt.Sprintf("10.0.0.%d:80", i)), Slots: slots, State: fleet.UpstreamReady})
	}
	w.floor = rapid.IntRange(0, total).Draw(t, "floor")
	count := rapid.IntRange(1, 7).Draw(t, "carriers")
	for i := range count {
		w.start(fmt.Sprintf("i%d", i), 1)
	}
	w.rosters = []roster{{carriers: w.living()}}
	for _, n := range w.nodes {
		n.judgeRef = w.nodes[0].self.Ref
		w.configure(n)
	}
	return w
}

func (w *world) start(id string, incarnation uint64) *node {
	zone := rapid.SampledFrom([]fleet.Zone{"a", "b", "c"}).Draw(w.t, "zone")
	n := &node{
		self:   fleet.Instance{Ref: fleet.Ref{ID: fleet.InstanceID(id), Incarnation: fleet.Incarnation(incarnation)}, Zone: zone},
		offset: time.Duration(rapid.IntRange(-1000, 1000).Draw(w.t, "offset")) * time.Second,
		rate:   1 + float64(rapid.IntRange(-10, 10).Draw(w.t, "drift"))/1000,
		alive:  true,
		list:   slices.Clone(w.truth),
	}
	n.carrier = NewCarrier(n.self, w.cfg)
	n.judge = NewJudge(n.self, w.cfg)
	n.judgeRef = n.self.Ref
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) living() []fleet.Instance {
	var all []fleet.Instance
	for _, n := range w.nodes {
		if n.alive {
			all = append(all, n.self)
		}
	}
	return all
}

// clock returns a node's own time.
func (w *world) clock(n *node) time.Time {
	elapsed := float64(w.now.Sub(time.Unix(0, 0)))
	return time.Unix(0, 0).Add(n.offset).Add(time.Duration(elapsed * n.rate))
}

func (w *world) configure(n *node) {
	p := Parameters{Service: "s", Revision: 1, FloorSlots: w.floor}
	a := Assignment{Generation: uint64(n.roster + 1), Judge: n.judgeRef, Carriers: w.rosters[n.roster].carriers}
	for _, r := range w.rosters[:n.roster] {
		a.Former = append(a.Former, r.carriers)
	}
	now := w.clock(n)
	n.carrier.Configure(now, p, a, n.list)
	w.holdList(n)
	n.judge.Configure(now, p, a, n.list)
	w.holdList(n)
}

// holdList notes what the judge of a node counts as ready, for as long as a verdict of it may live.
func (w *world) holdList(n *node) {
	w.listed = append(w.listed, listing{ready: n.judge.readySlots(), until: w.now.Add(w.cfg.Lease + 2*w.cfg.DriftMargin)})
}

func (w *world) node(ref fleet.Ref) *node {
	for _, n := range w.nodes {
		if n.self.Ref == ref && n.alive {
			return n
		}
	}
	return nil
}

func (w *world) post(from fleet.Ref, sends []Send) {
	for _, s := range sends {
		w.mail = append(w.mail, mail{from: from, send: s})
	}
}

func (w *world) deliver(m mail) {
	n := w.node(m.send.To)
	if n == nil {
		return
	}
	if m.send.Evidence != nil {
		sends, _ := n.judge.Deliver(w.clock(n), m.from, m.send.Evidence)
		w.holdList(n)
		w.post(n.self.Ref, sends)
		return
	}
	_ = n.carrier.Deliver(w.clock(n), m.from, m.send.Verdict)
}

// exchange lets a node report and delivers the evidence and its verdict without loss.
func (w *world) exchange(n *node) {
	before := len(w.mail)
	w.post(n.self.Ref, n.carrier.Tick(w.clock(n)))
	for i := before; i < len(w.mail); i++ {
		w.deliver(w.mail[i])
	}
}

func (w *world) drawNode(label string) *node {
	return rapid.SampledFrom(w.nodes).Draw(w.t, label)
}

// want makes a judge want an endpoint removed, for all zones or for one, or back.
func (w *world) want(n *node, key EndpointKey, zone fleet.Zone, removed bool) {
	t := n.judge.byKey[key]
	if t == nil || !t.ready() {
		return
	}
	t.removal.zones = nil
	switch {
	case !removed:
		t.removal.state = StateOpen
	case zone != "" && slices.Contains(n.judge.zones, zone):
		t.removal.state = StateAvoided
		t.removal.zones = []fleet.Zone{zone}
	default:
		t.removal.state = StateEjected
	}
}

// check asserts the floor in every carrier's view and over the union of the views of each zone.
func (w *world) check() {
	union := map[fleet.Zone]map[fleet.Endpoint]bool{}
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		removed := w.checkView(n)
		if union[n.self.Zone] == nil {
			union[n.self.Zone] = map[fleet.Endpoint]bool{}
		}
		for _, e := range removed {
			union[n.self.Zone][e] = true
		}
	}
	for zone, removed := range union {
		w.checkUnion(zone, removed)
	}
}

func (w *world) checkView(n *node) []fleet.Endpoint {
	var removed []fleet.Endpoint
	capacity := 0
	for i, v := range n.carrier.View(w.clock(n)) {
		if removes(v.State) {
			removed = append(removed, v.Endpoint)
		} else if n.list[i].State == fleet.UpstreamReady {
			capacity += n.list[i].Slots
		}
	}
	ready := readySlots(n.list)
	if want := min(w.floor, ready); capacity < want {
		w.t.Fatalf("view of %s has %d slots, below %d (floor %d, ready %d)", n.self.Ref, capacity, want, w.floor, ready)
	}
	return removed
}

func (w *world) checkUnion(zone fleet.Zone, removed map[fleet.Endpoint]bool) {
	ready, capacity := readySlots(w.truth), 0
	for _, u := range w.truth {
		if u.State == fleet.UpstreamReady && !removed[u.Endpoint] {
			capacity += u.Slots
		}
	}
	w.most = max(w.most, ready-capacity)
	largest := ready
	for _, l := range w.listed {
		if w.now.Before(l.until) {
			largest = max(largest, l.ready)
		}
	}
	drained := largest - ready
	if want := min(w.floor-drained, ready); capacity < want {
		w.t.Fatalf("zone %s has %d slots, below %d (floor %d, ready %d, drained %d): removed %v", zone, capacity, want, w.floor, ready, drained, removed)
	}
}
