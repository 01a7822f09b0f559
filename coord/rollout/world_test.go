package rollout

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

var errAway = errors.New("store away")

// failer is what the checks need of a test.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// world is a few machines, the links between them and a store, all in memory.
type world struct {
	t        failer
	now      time.Time
	machines []*Machine
	floor    []fleet.Revision // Highest revision seen at each machine in its present life.
	life     []fleet.Incarnation
	cut      map[[2]int]bool // Directions that drop every message.
	away     []bool          // The store is out of this machine's reach.
	head     Head
	shards   map[Digest][]byte
	history  map[fleet.Revision]*Config // Accepted configurations.
	inbox    []delivery
	changes  int
	silent   bool // No heartbeats: only what is pushed arrives.
}

type delivery struct {
	from, to int
	msg      Message
}

func newWorld(t failer, size int) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), cut: make(map[[2]int]bool), away: make([]bool, size),
		head: Head{Fleet: "f"}, shards: make(map[Digest][]byte),
		history: make(map[fleet.Revision]*Config),
		life:    make([]fleet.Incarnation, size), floor: make([]fleet.Revision, size),
		machines: make([]*Machine, size),
	}
	for i := range size {
		w.restart(i)
	}
	return w
}

func (w *world) ref(i int) fleet.Ref {
	return fleet.Ref{ID: fleet.InstanceID(fmt.Sprint(i)), Incarnation: w.life[i]}
}

// restart gives a machine a new life that knows nothing.
func (w *world) restart(i int) {
	w.life[i]++
	w.floor[i] = 0
	w.machines[i] = NewMachine(MachineConfig{Fleet: "f"}, w.ref(i))
	w.setPeers()
}

// setPeers links each machine to the two after it and the two before it.
func (w *world) setPeers() {
	n := len(w.machines)
	for i, m := range w.machines {
		if m == nil {
			continue
		}
		var peers []fleet.Ref
		for _, step := range []int{1, 2, n - 1, n - 2} {
			if j := (i + step) % n; j != i {
				peers = append(peers, w.ref(j))
			}
		}
		m.SetPeers(peers, i < 2)
	}
}

func (w *world) index(r fleet.Ref) (int, bool) {
	for i := range w.machines {
		if w.ref(i) == r {
			return i, true
		}
	}
	return 0, false
}

// accept makes a change in the store, as the operators' tool does.
func (w *world) accept(change Change) {
	w.t.Helper()
	w.changes++
	change.ID = fmt.Sprintf("change-%d", w.changes)
	next, shards, err := Propose(w.head, w.history[w.head.Revision], change)
	if err != nil {
		w.t.Fatalf("propose: %v", err)
	}
	for _, s := range shards {
		w.shards[s.Digest] = s.Data
	}
	w.history[next.Revision] = w.history[w.head.Revision].With(change, next.Revision)
	w.head = next
}

func (w *world) run(i int, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			if j, ok := w.index(e.To); ok {
				w.inbox = append(w.inbox, delivery{from: i, to: j, msg: e.Message})
			}
		case ReadHead:
			w.readHead(i)
		case ReadShard:
			if w.away[i] {
				w.run(i, w.machines[i].ShardRead(w.now, e.Digest, nil, errAway))
				continue
			}
			w.run(i, w.machines[i].ShardRead(w.now, e.Digest, w.shards[e.Digest], nil))
		case Apply:
			w.check(i)
		}
	}
}

func (w *world) readHead(i int) {
	if w.away[i] {
		w.run(i, w.machines[i].HeadRead(w.now, Head{}, errAway))
		return
	}
	w.run(i, w.machines[i].HeadRead(w.now, w.head, nil))
}

// check compares what is in force at a machine with what was accepted.
func (w *world) check(i int) {
	w.t.Helper()
	c := w.machines[i].Current()
	if c.Revision < w.floor[i] {
		w.t.Fatalf("machine %d went from revision %d to %d", i, w.floor[i], c.Revision)
	}
	w.floor[i] = c.Revision
	want, ok := w.history[c.Revision]
	if !ok {
		w.t.Fatalf("machine %d applied revision %d, which nobody proposed", i, c.Revision)
	}
	if d := Diff(want, c); len(d) > 0 {
		w.t.Fatalf("machine %d at revision %d differs: %v", i, c.Revision, d[0])
	}
}

// step delivers what is under way, and then ticks and exchanges heartbeats.
func (w *world) step() {
	batch := w.inbox
	w.inbox = nil
	for _, d := range batch {
		if !w.cut[[2]int{d.from, d.to}] {
			w.run(d.to, w.machines[d.to].Deliver(w.now, w.ref(d.from), d.msg))
		}
	}
	w.now = w.now.Add(200 * time.Millisecond)
	for i, m := range w.machines {
		w.run(i, m.Tick(w.now))
		if m.Watcher() {
			w.readHead(i)
		}
		if !w.silent {
			w.heartbeats(i)
		}
	}
}

func (w *world) heartbeats(i int) {
	for _, peer := range w.machines[i].peers {
		j, ok := w.index(peer)
		if ok && !w.cut[[2]int{i, j}] {
			w.run(j, w.machines[j].PeerRevision(w.now, w.ref(i), w.machines[i].revision()))
		}
	}
}

func (w *world) settle(steps int) {
	for range steps {
		w.step()
	}
}

// converged fails unless every machine has the accepted revision.
func (w *world) converged() {
	w.t.Helper()
	for i, m := range w.machines {
		if m.revision() != w.head.Revision {
			w.t.Fatalf("machine %d has revision %d, accepted is %d", i, m.revision(), w.head.Revision)
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

// bulk is a service whose change is too large to be held inline.
func bulk(name string, floor int) ServiceTemplate {
	t := service(name, floor)
	t.Routes[0].PathPrefix = "/" + strings.Repeat("long/", MaxInlineBytes/5)
	return t
}

func account(name string, services ...fleet.Service) AccountTemplate {
	return AccountTemplate{Name: fleet.Account(name), Services: services, Weight: 1}
}

var _ failer = (*testing.T)(nil)
