package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

var errAway = errors.New("store away")

// failer is what the checks need of a test.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

const tick = 50 * time.Millisecond

// process is one running life of an instance.
type process struct {
	machine *Machine
	paused  bool
	queue   []delivery // Arrived while it was paused.
	rejoins int
	over    bool // It was superseded.
}

type delivery struct {
	from fleet.Ref
	to   fleet.Ref
	msg  Message
}

// world is a few machines, the links between them and a store, all in memory.
type world struct {
	t        failer
	now      time.Time
	random   *rand.Rand
	running  map[fleet.InstanceID]*process
	order    []fleet.InstanceID
	cut      map[[2]fleet.InstanceID]bool // Directions that drop every message.
	inbox    []delivery
	store    Roster
	away     bool // The store takes no call.
	loseNext bool // The reply to the next write is lost.
	writes   int
	reads    int
	messages int
	encoded  int // Bytes of the messages, when they are encoded and decoded on their way.
	codec    bool
}

func newWorld(t failer, size, zones int) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)),
		running: make(map[fleet.InstanceID]*process), cut: make(map[[2]fleet.InstanceID]bool),
	}
	var list []fleet.Instance
	for i := range size {
		list = append(list, instanceOf(i, zones))
	}
	w.store = Roster{Fleet: "f", Generation: 1}
	w.store.Instances = (Roster{}).with(list, nil).Instances
	for _, i := range list {
		w.start(i)
		w.running[i.Ref.ID].machine.RosterRead(w.now, w.store, nil)
	}
	return w
}

func instanceOf(i, zones int) fleet.Instance {
	return fleet.Instance{
		Ref:    fleet.Ref{ID: fleet.InstanceID(fmt.Sprintf("i%03d", i)), Incarnation: 1},
		Zone:   fleet.Zone(fmt.Sprintf("z%d", i%zones)),
		Region: fleet.Region(fmt.Sprintf("r%d", i%zones/3)),
	}
}

// start runs a life of an instance, in place of an earlier one.
func (w *world) start(i fleet.Instance) {
	if _, known := w.running[i.Ref.ID]; !known {
		w.order = append(w.order, i.Ref.ID)
	}
	m := NewMachine(Config{Fleet: "f"}, i, rand.New(rand.NewPCG(uint64(i.Ref.Incarnation), hashID(i.Ref.ID))))
	w.running[i.Ref.ID] = &process{machine: m}
	w.run(i.Ref.ID, m.Start(w.now, w.store.Instances))
}

func (w *world) machine(i int) *Machine {
	return w.running[w.order[i]].machine
}

func (w *world) run(id fleet.InstanceID, effects []Effect) {
	p := w.running[id]
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			w.messages++
			e.Message = w.pass(e.Message)
			w.inbox = append(w.inbox, delivery{from: p.machine.Self().Ref, to: e.To.Ref, msg: e.Message})
		case ReadRoster:
			w.read(id)
		case WriteRoster:
			w.write(id, e.Roster)
		case Rejoined:
			p.rejoins++
		case Superseded:
			p.over = true
		}
	}
}

// pass encodes and decodes a message, if the world does so.
func (w *world) pass(msg Message) Message {
	if !w.codec {
		return msg
	}
	data, err := cbor.Marshal(msg)
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}
	w.encoded += len(data)
	var decoded Message
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		w.t.Fatalf("decode: %v", err)
	}
	return decoded
}

func (w *world) read(id fleet.InstanceID) {
	w.reads++
	m := w.running[id].machine
	if w.away {
		w.run(id, m.RosterRead(w.now, Roster{}, errAway))
		return
	}
	w.run(id, m.RosterRead(w.now, w.store, nil))
}

func (w *world) write(id fleet.InstanceID, next Roster) {
	w.writes++
	w.run(id, w.running[id].machine.RosterWritten(w.now, next, w.swap(next)))
}

func (w *world) swap(next Roster) error {
	switch {
	case w.away:
		return errAway
	case next.Generation != w.store.Generation+1:
		return ErrConflict
	}
	w.store = next
	if w.loseNext {
		w.loseNext = false
		return ErrUnknownResult
	}
	return nil
}

// step delivers what is under way and ticks.
func (w *world) step() {
	batch := w.inbox
	w.inbox = nil
	for _, d := range batch {
		w.deliver(d)
	}
	w.now = w.now.Add(tick)
	for _, id := range w.order {
		p := w.running[id]
		if p == nil || p.paused {
			continue
		}
		for len(p.queue) > 0 {
			d := p.queue[0]
			p.queue = p.queue[1:]
			w.run(id, p.machine.Deliver(w.now, d.from, d.msg))
		}
		w.run(id, p.machine.Tick(w.now))
	}
}

func (w *world) deliver(d delivery) {
	p := w.running[d.to.ID]
	if p == nil || w.cut[[2]fleet.InstanceID{d.from.ID, d.to.ID}] {
		return
	}
	if p.paused {
		p.queue = append(p.queue, d)
		return
	}
	if p.machine.Self().Ref != d.to {
		return
	}
	w.run(d.to.ID, p.machine.Deliver(w.now, d.from, d.msg))
}

func (w *world) settle(d time.Duration) {
	for range int(d / tick) {
		w.step()
	}
}

// agreed fails unless every running machine holds the stored roster, which has exactly the running lives.
func (w *world) agreed() {
	w.t.Helper()
	running := 0
	for _, id := range w.order {
		p := w.running[id]
		if p == nil || p.over {
			continue
		}
		running++
		if r := p.machine.Roster(); r.Generation != w.store.Generation {
			w.t.Fatalf("%s holds generation %d, stored is %d", id, r.Generation, w.store.Generation)
		}
		if !w.store.Has(p.machine.Self().Ref) {
			w.t.Fatalf("%v is not on the roster", p.machine.Self().Ref)
		}
	}
	if running != len(w.store.Instances) {
		w.t.Fatalf("%d instances run, the roster has %d", running, len(w.store.Instances))
	}
}

// allAlive fails unless every machine sees every member alive and within reach.
func (w *world) allAlive() {
	w.t.Helper()
	for _, id := range w.order {
		p := w.running[id]
		if p == nil || p.over {
			continue
		}
		for _, member := range p.machine.Members() {
			if member.Status != StatusAlive || !member.Heard {
				w.t.Fatalf("%s sees %v as %d, heard %v", id, member.Instance.Ref, member.Status, member.Heard)
			}
		}
	}
}

func (w *world) status(seenBy int, of fleet.InstanceID) Status {
	for _, member := range w.machine(seenBy).Members() {
		if member.Instance.Ref.ID == of {
			return member.Status
		}
	}
	return 0
}
