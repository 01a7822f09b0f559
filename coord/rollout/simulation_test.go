package rollout

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

var errStoreDown = errors.New("store unavailable")

// testingT is the part of testing.TB and rapid.T that the simulation uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simulation is a fleet of machines, the links between them and a store, all in memory.
type simulation struct {
	t            testingT
	now          time.Time
	machines     []*Machine
	minRevision  []fleet.Revision // Highest revision of each machine in its current incarnation; it must not decrease.
	incarnation  []fleet.Incarnation
	blocked      map[[2]int]bool // Sender and receiver pairs whose messages are dropped.
	storeDown    []bool          // Machines whose store calls all fail.
	head         Head
	config       *Config // Accepted, at head; nil before the first.
	shards       map[Digest][]byte
	history      map[fleet.Revision][]*Config // Accepted configurations, by revision: more than one after a restoration.
	inFlight     []delivery
	changes      int
	steps        int
	noHeartbeats bool // Only pushed changes reach a machine.
}

// pollSteps is the number of steps, of 200 ms, after which an instance that does not watch the store reads the head.
const pollSteps = 75

type delivery struct {
	from, to int
	msg      Message
}

func newSimulation(t testingT, size int) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1000, 0), blocked: make(map[[2]int]bool), storeDown: make([]bool, size),
		head: Head{Fleet: "f"}, shards: make(map[Digest][]byte),
		history:     make(map[fleet.Revision][]*Config),
		incarnation: make([]fleet.Incarnation, size), minRevision: make([]fleet.Revision, size),
		machines: make([]*Machine, size),
	}
	for i := range size {
		sim.restart(i)
	}
	return sim
}

func (sim *simulation) ref(i int) fleet.Ref {
	return fleet.Ref{ID: fleet.InstanceID(fmt.Sprint(i)), Incarnation: sim.incarnation[i]}
}

// restart replaces a machine by its next incarnation, without any state.
func (sim *simulation) restart(i int) {
	sim.incarnation[i]++
	sim.minRevision[i] = 0
	sim.machines[i] = NewMachine(MachineConfig{Fleet: "f"}, sim.ref(i))
	sim.setPeers()
}

// setPeers makes the two machines after each one and the two before it its peers.
func (sim *simulation) setPeers() {
	n := len(sim.machines)
	for i, m := range sim.machines {
		if m == nil {
			continue
		}
		var peers []fleet.Ref
		for _, step := range []int{1, 2, n - 1, n - 2} {
			if j := (i + step) % n; j != i {
				peers = append(peers, sim.ref(j))
			}
		}
		m.SetPeers(peers, i < 2)
	}
}

func (sim *simulation) index(r fleet.Ref) (int, bool) {
	for i := range sim.machines {
		if sim.ref(i) == r {
			return i, true
		}
	}
	return 0, false
}

// accept writes a change to the store, as the operators' tool does.
func (sim *simulation) accept(change Change) {
	sim.t.Helper()
	sim.changes++
	change.ID = fmt.Sprintf("change-%d", sim.changes)
	next, shards, err := Propose(sim.head, sim.config, change)
	if err != nil {
		sim.t.Fatalf("propose: %v", err)
	}
	sim.write(next, sim.config.With(change, next.Revision), shards)
}

// write writes a head with its configuration and shards to the store.
func (sim *simulation) write(next Head, config *Config, shards []Shard) {
	for _, s := range shards {
		sim.shards[s.Digest] = s.Data
	}
	sim.head, sim.config = next, config
	sim.history[next.Revision] = append(sim.history[next.Revision], config)
}

// storeCopy is a copy of the store.
type storeCopy struct {
	head   Head
	config *Config
	shards map[Digest][]byte
}

func (sim *simulation) save() storeCopy {
	return storeCopy{sim.head, sim.config, maps.Clone(sim.shards)}
}

// restore puts the store back to a copy.
func (sim *simulation) restore(c storeCopy) {
	sim.head, sim.config, sim.shards = c.head, c.config, maps.Clone(c.shards)
}

func (sim *simulation) run(i int, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			if j, ok := sim.index(e.To); ok {
				sim.inFlight = append(sim.inFlight, delivery{from: i, to: j, msg: e.Message})
			}
		case ReadHead:
			sim.readHead(i)
		case ReadShard:
			if sim.storeDown[i] {
				sim.run(i, sim.machines[i].ShardRead(sim.now, e.Digest, nil, errStoreDown))
				continue
			}
			sim.run(i, sim.machines[i].ShardRead(sim.now, e.Digest, sim.shards[e.Digest], nil))
		case RestoreHead:
			sim.reconcile(i, e)
		case Apply:
			sim.checkApplied(i)
		}
	}
}

func (sim *simulation) reconcile(i int, e RestoreHead) {
	if sim.storeDown[i] {
		return
	}
	r, ok, err := Reconcile(sim.head, e.Head, e.Config, e.Shards)
	if err != nil || len(r.Skipped) > 0 {
		sim.t.Fatalf("reconcile: %v, skipped %v", err, r.Skipped)
	}
	if ok {
		sim.write(r.Head, r.Config, r.Shards)
	}
	sim.readHead(i)
}

func (sim *simulation) readHead(i int) {
	if sim.storeDown[i] {
		sim.run(i, sim.machines[i].HeadRead(sim.now, Head{}, errStoreDown))
		return
	}
	sim.run(i, sim.machines[i].HeadRead(sim.now, sim.head, nil))
}

// checkApplied compares a machine's active configuration with the accepted one of its revision.
func (sim *simulation) checkApplied(i int) {
	sim.t.Helper()
	c := sim.machines[i].Current()
	if c.Revision < sim.minRevision[i] {
		sim.t.Fatalf("machine %d went from revision %d to %d", i, sim.minRevision[i], c.Revision)
	}
	sim.minRevision[i] = c.Revision
	var differences []Difference
	for _, want := range sim.history[c.Revision] {
		if differences = Diff(want, c); len(differences) == 0 {
			return
		}
	}
	if len(differences) == 0 {
		sim.t.Fatalf("machine %d applied revision %d, which was never accepted", i, c.Revision)
	}
	sim.t.Fatalf("machine %d at revision %d differs: %v", i, c.Revision, differences[0])
}

// step delivers the messages in flight, advances the time, ticks every machine and exchanges heartbeats.
func (sim *simulation) step() {
	batch := sim.inFlight
	sim.inFlight = nil
	for _, d := range batch {
		if !sim.blocked[[2]int{d.from, d.to}] {
			sim.run(d.to, sim.machines[d.to].Deliver(sim.now, sim.ref(d.from), d.msg))
		}
	}
	sim.now = sim.now.Add(200 * time.Millisecond)
	sim.steps++
	for i, m := range sim.machines {
		sim.run(i, m.Tick(sim.now))
		if m.Watcher() || sim.steps%pollSteps == i {
			sim.readHead(i)
		}
		if !sim.noHeartbeats {
			sim.heartbeats(i)
		}
	}
}

func (sim *simulation) heartbeats(i int) {
	for _, peer := range sim.machines[i].peers {
		j, ok := sim.index(peer)
		if ok && !sim.blocked[[2]int{i, j}] {
			sim.run(j, sim.machines[j].PeerRevision(sim.now, sim.ref(i), sim.machines[i].revision()))
		}
	}
}

func (sim *simulation) runSteps(steps int) {
	for range steps {
		sim.step()
	}
}

// requireConverged fails unless every machine has the latest accepted revision.
func (sim *simulation) requireConverged() {
	sim.t.Helper()
	for i, m := range sim.machines {
		if m.revision() != sim.head.Revision {
			sim.t.Fatalf("machine %d has revision %d, accepted is %d", i, m.revision(), sim.head.Revision)
		}
	}
}

func service(name string, floor int) ServiceTemplate {
	return ServiceTemplate{
		Name: fleet.Service(name), FloorSlots: floor, Deadline: time.Second, RetryShare: 0.1,
		FalseEjectionsPerEndpointMonth: 0.01, RequestsPerSecond: 10, MaxBodyBytes: 1 << 16,
		Routes: []Route{{Method: "GET", PathPrefix: "/" + name, Idempotent: true}},
	}
}

// bulk returns a service whose change is too large to be inline.
func bulk(name string, floor int) ServiceTemplate {
	t := service(name, floor)
	t.Routes[0].PathPrefix = "/" + strings.Repeat("long/", MaxInlineBytes/5)
	return t
}

func account(name string, services ...fleet.Service) AccountTemplate {
	return AccountTemplate{Name: fleet.Account(name), Services: services, Weight: 1}
}

var _ testingT = (*testing.T)(nil)
