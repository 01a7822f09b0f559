package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

var errStoreDown = errors.New("store unavailable")

// testingT is the part of testing.TB and rapid.T that the simulation uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

const tick = 50 * time.Millisecond

// process is one running incarnation of an instance.
type process struct {
	machine    *Machine
	paused     bool
	queue      []delivery // Messages that arrived during the pause.
	rejoins    int
	superseded bool
}

type delivery struct {
	from fleet.Ref
	to   fleet.Ref
	msg  Message
}

// simulation is a fleet of machines, the links between them and a store, all in memory.
type simulation struct {
	t             testingT
	now           time.Time
	random        *rand.Rand
	running       map[fleet.InstanceID]*process
	ids           []fleet.InstanceID
	blocked       map[[2]fleet.InstanceID]bool // Sender and receiver pairs whose messages are dropped.
	inFlight      []delivery
	store         Roster
	storeDown     bool // Every store call fails.
	loseNextReply bool // The reply to the next write is lost.
	writes        int
	reads         int
	messages      int
	encodedBytes  int  // Bytes of the encoded messages; zero unless encode is set.
	encode        bool // Encode and decode every message, as the transport does.
}

func newSimulation(t testingT, size, zones int) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)),
		running: make(map[fleet.InstanceID]*process), blocked: make(map[[2]fleet.InstanceID]bool),
	}
	var list []fleet.Instance
	for i := range size {
		list = append(list, instanceOf(i, zones))
	}
	sim.store = Roster{Fleet: "f", Generation: 1}
	sim.store.Instances = (Roster{}).with(list, nil).Instances
	for _, i := range list {
		sim.start(i)
		sim.running[i.Ref.ID].machine.RosterRead(sim.now, sim.store, nil)
	}
	return sim
}

func instanceOf(i, zones int) fleet.Instance {
	return fleet.Instance{
		Ref:    fleet.Ref{ID: fleet.InstanceID(fmt.Sprintf("i%03d", i)), Incarnation: 1},
		Zone:   fleet.Zone(fmt.Sprintf("z%d", i%zones)),
		Region: fleet.Region(fmt.Sprintf("r%d", i%zones/3)),
	}
}

// start starts an incarnation of an instance, in place of an earlier one.
func (sim *simulation) start(i fleet.Instance) {
	if _, known := sim.running[i.Ref.ID]; !known {
		sim.ids = append(sim.ids, i.Ref.ID)
	}
	m := NewMachine(Config{Fleet: "f"}, i, rand.New(rand.NewPCG(uint64(i.Ref.Incarnation), hashID(i.Ref.ID))))
	sim.running[i.Ref.ID] = &process{machine: m}
	sim.run(i.Ref.ID, m.Start(sim.now, sim.store.Instances))
}

func (sim *simulation) machine(i int) *Machine {
	return sim.running[sim.ids[i]].machine
}

func (sim *simulation) run(id fleet.InstanceID, effects []Effect) {
	p := sim.running[id]
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			sim.messages++
			e.Message = sim.roundTrip(e.Message)
			sim.inFlight = append(sim.inFlight, delivery{from: p.machine.Self().Ref, to: e.To.Ref, msg: e.Message})
		case ReadRoster:
			sim.read(id)
		case WriteRoster:
			sim.write(id, e.Roster)
		case Rejoined:
			p.rejoins++
		case Superseded:
			p.superseded = true
		}
	}
}

// roundTrip encodes and decodes a message if encode is set.
func (sim *simulation) roundTrip(msg Message) Message {
	if !sim.encode {
		return msg
	}
	data, err := cbor.Marshal(msg)
	if err != nil {
		sim.t.Fatalf("encode: %v", err)
	}
	sim.encodedBytes += len(data)
	var decoded Message
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		sim.t.Fatalf("decode: %v", err)
	}
	return decoded
}

func (sim *simulation) read(id fleet.InstanceID) {
	sim.reads++
	m := sim.running[id].machine
	if sim.storeDown {
		sim.run(id, m.RosterRead(sim.now, Roster{}, errStoreDown))
		return
	}
	sim.run(id, m.RosterRead(sim.now, sim.store, nil))
}

func (sim *simulation) write(id fleet.InstanceID, next Roster) {
	sim.writes++
	sim.run(id, sim.running[id].machine.RosterWritten(sim.now, next, sim.compareAndSwap(next)))
}

func (sim *simulation) compareAndSwap(next Roster) error {
	switch {
	case sim.storeDown:
		return errStoreDown
	case next.Generation != sim.store.Generation+1:
		return ErrConflict
	}
	sim.store = next
	if sim.loseNextReply {
		sim.loseNextReply = false
		return ErrUnknownResult
	}
	return nil
}

// step delivers the messages in flight, advances the time by a tick and ticks every machine.
func (sim *simulation) step() {
	batch := sim.inFlight
	sim.inFlight = nil
	for _, d := range batch {
		sim.deliver(d)
	}
	sim.now = sim.now.Add(tick)
	for _, id := range sim.ids {
		p := sim.running[id]
		if p == nil || p.paused {
			continue
		}
		for len(p.queue) > 0 {
			d := p.queue[0]
			p.queue = p.queue[1:]
			sim.run(id, p.machine.Deliver(sim.now, d.from, d.msg))
		}
		sim.run(id, p.machine.Tick(sim.now))
	}
}

func (sim *simulation) deliver(d delivery) {
	p := sim.running[d.to.ID]
	if p == nil || sim.blocked[[2]fleet.InstanceID{d.from.ID, d.to.ID}] {
		return
	}
	if p.paused {
		p.queue = append(p.queue, d)
		return
	}
	if p.machine.Self().Ref != d.to {
		return
	}
	sim.run(d.to.ID, p.machine.Deliver(sim.now, d.from, d.msg))
}

func (sim *simulation) runFor(d time.Duration) {
	for range int(d / tick) {
		sim.step()
	}
}

// requireConverged fails unless every running machine has the stored roster, which lists exactly the running incarnations.
func (sim *simulation) requireConverged() {
	sim.t.Helper()
	running := 0
	for _, id := range sim.ids {
		p := sim.running[id]
		if p == nil || p.superseded {
			continue
		}
		running++
		if r := p.machine.Roster(); r.Generation != sim.store.Generation {
			sim.t.Fatalf("%s has generation %d, stored is %d", id, r.Generation, sim.store.Generation)
		}
		if !sim.store.Has(p.machine.Self().Ref) {
			sim.t.Fatalf("%v is not on the roster", p.machine.Self().Ref)
		}
	}
	if running != len(sim.store.Instances) {
		sim.t.Fatalf("%d instances run, the roster has %d", running, len(sim.store.Instances))
	}
}

// requireAllAlive fails unless every machine has every member as alive and reachable.
func (sim *simulation) requireAllAlive() {
	sim.t.Helper()
	for _, id := range sim.ids {
		p := sim.running[id]
		if p == nil || p.superseded {
			continue
		}
		for _, member := range p.machine.Members() {
			if member.Status != StatusAlive || !member.Reachable {
				sim.t.Fatalf("%s sees %v with status %d, reachable %v", id, member.Instance.Ref, member.Status, member.Reachable)
			}
		}
	}
}

func (sim *simulation) status(observer int, of fleet.InstanceID) Status {
	for _, member := range sim.machine(observer).Members() {
		if member.Instance.Ref.ID == of {
			return member.Status
		}
	}
	return 0
}
