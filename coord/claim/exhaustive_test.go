package claim

import (
	"slices"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

var (
	testStart  = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	testExpiry = testStart.Add(time.Hour)
	homeRef    = fleet.Ref{ID: "home", Incarnation: 1}
	witnessRef = fleet.Ref{ID: "witness", Incarnation: 1}
	oneTicket  = Ticket{Fleet: "f", Home: homeRef, Witness: witnessRef, Expires: testExpiry}
	oneKey     = Key{Ticket: "t", Unique: "u"}
)

// The two sides of exhaustive.
const (
	sideHome = iota
	sideWitness
)

// exhaustive holds one key's home and witness, and every message that was ever sent. A
// message may be delivered any number of times, at any time or never, which covers loss,
// duplication, reordering and unbounded delay. Every order of the events is tried.
type exhaustive struct {
	machines   [2]*Machine // Nil once crashed.
	late       [2]bool     // The ticket has expired by the clock of the side.
	sent       []Send      // Each different message once.
	started    [2]int
	mayHaveRun bool // A dispatch has not been finished as not run.
	saidNotRun bool
	ranLate    bool    // Dispatched where the ticket had expired.
	saidNotMe  [2]bool // The side has told its callers that it will not run the key.
}

func newExhaustive(s shortcuts) *exhaustive {
	x := &exhaustive{}
	for side, ref := range []fleet.Ref{homeRef, witnessRef} {
		x.machines[side] = NewMachine(ref, Limits{})
		x.machines[side].shortcuts = s
	}
	return x
}

// event is one thing that may happen next.
type event struct {
	what string
	side int
	sent int // Index of the message of "deliver".
}

// events lists what may happen next.
func (x *exhaustive) events() []event {
	var events []event
	for side, m := range x.machines {
		if m == nil {
			continue
		}
		for _, what := range []string{"submit", "submit past expiry", "give up", "stop", "crash", "expire"} {
			events = append(events, event{what: what, side: side})
		}
		if e := m.table.find(oneKey); e != nil && e.state == stateRunning {
			for _, what := range []string{"answered", "not run", "unknown"} {
				events = append(events, event{what: what, side: side})
			}
		}
	}
	for i := range x.sent {
		events = append(events, event{what: "deliver", sent: i})
	}
	return events
}

func (x *exhaustive) now(side int) time.Time {
	if x.late[side] {
		return testExpiry.Add(time.Minute)
	}
	return testStart
}

// step makes one event happen.
func (x *exhaustive) step(ev event) {
	if ev.what == "deliver" {
		x.deliver(x.sent[ev.sent])
		return
	}
	m, now := x.machines[ev.side], x.now(ev.side)
	switch ev.what {
	case "submit", "submit past expiry":
		s := Submission{Key: oneKey, Ticket: oneTicket, Deadline: now.Add(time.Minute)}
		if ev.what != "submit" {
			s.Deadline = testExpiry.Add(time.Hour)
		}
		x.note(ev.side, m.Submit(now, Role(ev.side+1), s))
	case "give up":
		x.note(ev.side, m.Abandon(now, oneKey))
	case "stop":
		x.note(ev.side, m.Stop(now))
	case "expire":
		x.late[ev.side] = true
		x.note(ev.side, m.Tick(x.now(ev.side)))
	case "crash":
		x.machines[ev.side] = nil
	case "answered":
		x.note(ev.side, m.Finish(now, oneKey, Outcome{Result: ResultAnswered, Answer: []byte("a")}))
	case "unknown":
		x.note(ev.side, m.Finish(now, oneKey, Outcome{Result: ResultUnknown, Reason: ReasonNoAnswer}))
	case "not run":
		x.mayHaveRun = false
		x.note(ev.side, m.Finish(now, oneKey, Outcome{Result: ResultNotRun, Reason: ReasonShed}))
	}
}

func (x *exhaustive) deliver(send Send) {
	msg := send.Message
	msg.Ticket = oneTicket
	from, side := homeRef, sideWitness
	if send.To == homeRef {
		from, side = witnessRef, sideHome
	}
	if m := x.machines[side]; m != nil {
		x.note(side, m.Deliver(x.now(side), from, msg))
	}
}

// note records effects.
func (x *exhaustive) note(side int, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			if !slices.ContainsFunc(x.sent, func(s Send) bool { return sentOf(s) == sentOf(effect) }) {
				x.sent = append(x.sent, effect)
			}
		case Dispatch:
			x.started[side]++
			x.ranLate = x.ranLate || x.late[side]
			x.mayHaveRun = true
		case Answer:
			x.saidNotRun = x.saidNotRun || effect.Outcome.Result == ResultNotRun
		}
	}
	for side, m := range x.machines {
		if m == nil {
			continue
		}
		o := m.Lookup(testStart, oneKey)
		x.saidNotRun = x.saidNotRun || o.Result == ResultNotRun
		x.saidNotMe[side] = x.saidNotMe[side] || o.Reason == ReasonPeerUnreachable
	}
}

// fault names the promise that is broken, or is empty.
func (x *exhaustive) fault() string {
	switch {
	case x.started[sideHome]+x.started[sideWitness] > 1:
		return "dispatched twice"
	case x.saidNotMe[sideHome] && x.started[sideHome] > 0, x.saidNotMe[sideWitness] && x.started[sideWitness] > 0:
		return "dispatched where it was said not to be"
	case x.ranLate:
		return "dispatched after the ticket expired"
	case x.saidNotRun && x.mayHaveRun:
		return "said not run of a key that may have run"
	default:
		return ""
	}
}

// sentID tells messages apart.
type sentID struct {
	to     fleet.Ref
	kind   MessageKind
	result Result
	reason Reason
}

func sentOf(s Send) sentID {
	return sentID{s.To, s.Message.Kind, s.Message.Outcome.Result, s.Message.Outcome.Reason}
}

// sideID is all that later events at one side depend on.
type sideID struct {
	dead, stopping, held, waiting, known, long bool
	state                                      state
	result                                     Result
	reason                                     Reason
}

func sideOf(m *Machine) sideID {
	if m == nil {
		return sideID{dead: true}
	}
	e := m.table.find(oneKey)
	if e == nil {
		return sideID{stopping: m.stopping}
	}
	return sideID{
		stopping: m.stopping, held: true, waiting: e.waiting, known: e.known, long: e.deadline > testExpiry.UnixNano(),
		state: e.state, result: e.outcome.Result, reason: e.outcome.Reason,
	}
}

// stateID is all that later events depend on.
type stateID struct {
	sides                  [2]sideID
	late                   [2]bool
	sent                   uint64 // One bit for each message of seen.
	started                [2]int
	saidNotMe              [2]bool
	mayHaveRun, saidNotRun bool
	ranLate                bool
}

// explorer visits every reachable state, the nearest first.
type explorer struct {
	visited map[stateID]bool
	bits    map[sentID]uint64
	todo    []visit
}

// visit is a state to visit, with the event that led to it.
type visit struct {
	x      *exhaustive
	ev     event
	parent int // Index in explorer.todo.
}

func (ex *explorer) stateOf(x *exhaustive) stateID {
	id := stateID{
		sides: [2]sideID{sideOf(x.machines[sideHome]), sideOf(x.machines[sideWitness])},
		late:  x.late, started: x.started, saidNotMe: x.saidNotMe, ranLate: x.ranLate, mayHaveRun: x.mayHaveRun, saidNotRun: x.saidNotRun,
	}
	for _, s := range x.sent {
		bit, ok := ex.bits[sentOf(s)]
		if !ok {
			bit = 1 << len(ex.bits)
			ex.bits[sentOf(s)] = bit
		}
		id.sent |= bit
	}
	return id
}

// explore returns the number of reachable states, or the events that led to a fault.
func explore(s shortcuts) (states int, fault string, path []event) {
	ex := &explorer{visited: make(map[stateID]bool), bits: make(map[sentID]uint64)}
	ex.add(visit{x: newExhaustive(s), parent: -1})
	for at := 0; at < len(ex.todo); at++ {
		x := ex.todo[at].x
		ex.todo[at].x = nil
		if fault := x.fault(); fault != "" {
			return len(ex.visited), fault, ex.path(at)
		}
		for _, ev := range x.events() {
			next := x.clone()
			next.step(ev)
			ex.add(visit{x: next, ev: ev, parent: at})
		}
	}
	return len(ex.visited), "", nil
}

// add puts a state on the list unless it was there before.
func (ex *explorer) add(v visit) {
	id := ex.stateOf(v.x)
	if ex.visited[id] {
		return
	}
	ex.visited[id] = true
	ex.todo = append(ex.todo, v)
}

func (ex *explorer) path(at int) []event {
	var path []event
	for ; ex.todo[at].parent >= 0; at = ex.todo[at].parent {
		path = append(path, ex.todo[at].ev)
	}
	slices.Reverse(path)
	return path
}

func (x *exhaustive) clone() *exhaustive {
	c := *x
	c.sent = slices.Clone(x.sent)
	for side, m := range x.machines {
		if m != nil {
			c.machines[side] = m.cloneOne()
		}
	}
	return &c
}

// cloneOne copies a machine that holds oneKey or nothing.
func (m *Machine) cloneOne() *Machine {
	c := *m
	c.table = newTable()
	c.timers = queue[*entry]{}
	e := m.table.find(oneKey)
	if e == nil {
		return &c
	}
	b, held := *e.book, *e
	b.at, held.at = noPlace, noPlace
	b.first, held.book = &held, &b
	c.table.bytes = m.table.bytes
	c.table.books[b.text] = &b
	c.table.entries[entryID{book: &b, unique: held.unique}] = &held
	c.table.expiry.set(&b)
	if e.at != noPlace {
		c.timers.set(&held)
	}
	return &c
}

// mutants are the shortcuts that break the promises.
var mutants = []struct {
	name string
	cut  shortcuts
}{
	{"dispatch without the grant", shortcuts{dispatchUngranted: true}},
	{"dispatch on a grant after the seal", shortcuts{dispatchSealed: true}},
	{"seal without the witness", shortcuts{sealAlone: true}},
	{"witness runs a granted key", shortcuts{runGranted: true}},
}

func TestEveryOrderOfOneKey(t *testing.T) {
	t.Parallel()
	states, fault, path := explore(shortcuts{})
	if fault != "" {
		t.Fatalf("%s after %+v", fault, path)
	}
	t.Logf("%d states", states)
}

func TestEveryOrderFindsEachShortcut(t *testing.T) {
	for _, mutant := range mutants {
		_, fault, path := explore(mutant.cut)
		if fault == "" {
			t.Errorf("%s: not found", mutant.name)
		}
		t.Logf("%s: %s after %+v", mutant.name, fault, path)
	}
}
