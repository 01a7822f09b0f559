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
	testTicket = Ticket{Fleet: "f", Home: homeRef, Witness: witnessRef, Expires: testExpiry}
	testKey    = Key{Ticket: "t", Unique: "u"}
)

// The two sides of model.
const (
	sideHome = iota
	sideWitness
)

// model is a state of the model check: one key's home and witness, and every message sent so
// far. A message may be delivered any number of times, at any time or never, which covers loss,
// duplication, reordering and unbounded delay.
type model struct {
	machines          [2]*Machine // Nil after a crash.
	expired           [2]bool     // The ticket has expired by the clock of the side.
	sent              []Send      // Each distinct message once.
	dispatched        [2]int
	mayHaveRun        bool // There was a dispatch, and it has not finished as not run.
	reportedNotRun    bool
	dispatchedExpired bool    // Dispatched by a side whose clock is past the expiry.
	reportedWontRun   [2]bool // The side has reported ReasonPeerUnreachable: it will not run the key.
}

func newModel(s mutations) *model {
	x := &model{}
	for side, ref := range []fleet.Ref{homeRef, witnessRef} {
		x.machines[side] = NewMachine(ref, Limits{})
		x.machines[side].mutations = s
	}
	return x
}

// event is one step of the model.
type event struct {
	kind string
	side int
	sent int // For "deliver", the index of the message in model.sent.
}

// events returns the events that can happen next.
func (x *model) events() []event {
	var events []event
	for side, m := range x.machines {
		if m == nil {
			continue
		}
		for _, kind := range []string{"submit", "submit past expiry", "give up", "stop", "crash", "expire"} {
			events = append(events, event{kind: kind, side: side})
		}
		if e := m.table.find(testKey); e != nil && e.state == stateRunning {
			for _, kind := range []string{"answered", "not run", "unknown"} {
				events = append(events, event{kind: kind, side: side})
			}
		}
	}
	for i := range x.sent {
		events = append(events, event{kind: "deliver", sent: i})
	}
	return events
}

func (x *model) now(side int) time.Time {
	if x.expired[side] {
		return testExpiry.Add(time.Minute)
	}
	return testStart
}

// step applies one event.
func (x *model) step(ev event) {
	if ev.kind == "deliver" {
		x.deliver(x.sent[ev.sent])
		return
	}
	m, now := x.machines[ev.side], x.now(ev.side)
	switch ev.kind {
	case "submit", "submit past expiry":
		s := Submission{Key: testKey, Ticket: testTicket, Deadline: now.Add(time.Minute)}
		if ev.kind != "submit" {
			s.Deadline = testExpiry.Add(time.Hour)
		}
		x.record(ev.side, m.Submit(now, Role(ev.side+1), s))
	case "give up":
		x.record(ev.side, m.Abandon(now, testKey))
	case "stop":
		x.record(ev.side, m.Stop(now))
	case "expire":
		x.expired[ev.side] = true
		x.record(ev.side, m.Tick(x.now(ev.side)))
	case "crash":
		x.machines[ev.side] = nil
	case "answered":
		x.record(ev.side, m.Finish(now, testKey, Outcome{Result: ResultAnswered, Answer: []byte("a")}))
	case "unknown":
		x.record(ev.side, m.Finish(now, testKey, Outcome{Result: ResultUnknown, Reason: ReasonNoAnswer}))
	case "not run":
		x.mayHaveRun = false
		x.record(ev.side, m.Finish(now, testKey, Outcome{Result: ResultNotRun, Reason: ReasonShed}))
	}
}

func (x *model) deliver(send Send) {
	msg := send.Message
	msg.Ticket = testTicket
	from, side := homeRef, sideWitness
	if send.To == homeRef {
		from, side = witnessRef, sideHome
	}
	if m := x.machines[side]; m != nil {
		x.record(side, m.Deliver(x.now(side), from, msg))
	}
}

// record records the effects of a side, and what both sides now report.
func (x *model) record(side int, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			if !slices.ContainsFunc(x.sent, func(s Send) bool { return messageIDOf(s) == messageIDOf(effect) }) {
				x.sent = append(x.sent, effect)
			}
		case Dispatch:
			x.dispatched[side]++
			x.dispatchedExpired = x.dispatchedExpired || x.expired[side]
			x.mayHaveRun = true
		case Answer:
			x.reportedNotRun = x.reportedNotRun || effect.Outcome.Result == ResultNotRun
		}
	}
	for side, m := range x.machines {
		if m == nil {
			continue
		}
		o := m.Lookup(testStart, testKey)
		x.reportedNotRun = x.reportedNotRun || o.Result == ResultNotRun
		x.reportedWontRun[side] = x.reportedWontRun[side] || o.Reason == ReasonPeerUnreachable
	}
}

// violation describes the violated guarantee, or is empty.
func (x *model) violation() string {
	switch {
	case x.dispatched[sideHome]+x.dispatched[sideWitness] > 1:
		return "dispatched twice"
	case x.reportedWontRun[sideHome] && x.dispatched[sideHome] > 0, x.reportedWontRun[sideWitness] && x.dispatched[sideWitness] > 0:
		return "dispatched by a side that had reported it would not run the key"
	case x.dispatchedExpired:
		return "dispatched after the ticket expired"
	case x.reportedNotRun && x.mayHaveRun:
		return "reported not run for a key that may have run"
	default:
		return ""
	}
}

// messageID identifies distinct messages.
type messageID struct {
	to     fleet.Ref
	kind   MessageKind
	result Result
	reason Reason
}

func messageIDOf(s Send) messageID {
	return messageID{s.To, s.Message.Kind, s.Message.Outcome.Result, s.Message.Outcome.Reason}
}

// sideID is the part of a side's state that later events depend on.
type sideID struct {
	crashed, stopping, recorded, waiting, peerHasOutcome, deadlineAfterExpiry bool
	state                                                                     state
	result                                                                    Result
	reason                                                                    Reason
}

func sideIDOf(m *Machine) sideID {
	if m == nil {
		return sideID{crashed: true}
	}
	e := m.table.find(testKey)
	if e == nil {
		return sideID{stopping: m.stopping}
	}
	return sideID{
		stopping: m.stopping, recorded: true, waiting: e.waiting, peerHasOutcome: e.peerHasOutcome, deadlineAfterExpiry: e.deadline > testExpiry.UnixNano(),
		state: e.state, result: e.outcome.Result, reason: e.outcome.Reason,
	}
}

// stateID is the part of a model's state that later events depend on.
type stateID struct {
	sides                      [2]sideID
	expired                    [2]bool
	sent                       uint64 // One bit for each message, as numbered in explorer.messageBits.
	dispatched                 [2]int
	reportedWontRun            [2]bool
	mayHaveRun, reportedNotRun bool
	dispatchedExpired          bool
}

// explorer visits every reachable state breadth first.
type explorer struct {
	visited       map[stateID]bool
	messageBits   map[messageID]uint64
	pendingVisits []visit
}

// visit is a state to visit and the event that led to it.
type visit struct {
	x      *model
	ev     event
	parent int // Index in explorer.pendingVisits.
}

func (ex *explorer) stateIDOf(x *model) stateID {
	id := stateID{
		sides:   [2]sideID{sideIDOf(x.machines[sideHome]), sideIDOf(x.machines[sideWitness])},
		expired: x.expired, dispatched: x.dispatched, reportedWontRun: x.reportedWontRun, dispatchedExpired: x.dispatchedExpired, mayHaveRun: x.mayHaveRun, reportedNotRun: x.reportedNotRun,
	}
	for _, s := range x.sent {
		bit, ok := ex.messageBits[messageIDOf(s)]
		if !ok {
			bit = 1 << len(ex.messageBits)
			ex.messageBits[messageIDOf(s)] = bit
		}
		id.sent |= bit
	}
	return id
}

// explore visits all states. It returns the number of states visited and, for the first
// violation found, its description and the events that led to it.
func explore(s mutations) (states int, violation string, path []event) {
	ex := &explorer{visited: make(map[stateID]bool), messageBits: make(map[messageID]uint64)}
	ex.add(visit{x: newModel(s), parent: -1})
	for at := 0; at < len(ex.pendingVisits); at++ {
		x := ex.pendingVisits[at].x
		ex.pendingVisits[at].x = nil
		if violation := x.violation(); violation != "" {
			return len(ex.visited), violation, ex.path(at)
		}
		for _, ev := range x.events() {
			next := x.clone()
			next.step(ev)
			ex.add(visit{x: next, ev: ev, parent: at})
		}
	}
	return len(ex.visited), "", nil
}

// add queues a state unless it was queued before.
func (ex *explorer) add(v visit) {
	id := ex.stateIDOf(v.x)
	if ex.visited[id] {
		return
	}
	ex.visited[id] = true
	ex.pendingVisits = append(ex.pendingVisits, v)
}

func (ex *explorer) path(at int) []event {
	var path []event
	for ; ex.pendingVisits[at].parent >= 0; at = ex.pendingVisits[at].parent {
		path = append(path, ex.pendingVisits[at].ev)
	}
	slices.Reverse(path)
	return path
}

func (x *model) clone() *model {
	c := *x
	c.sent = slices.Clone(x.sent)
	for side, m := range x.machines {
		if m != nil {
			c.machines[side] = m.cloneOneKey()
		}
	}
	return &c
}

// cloneOneKey copies a machine whose table has testKey or no key.
func (m *Machine) cloneOneKey() *Machine {
	c := *m
	c.table = newTable()
	c.timers = timerQueue[*entry]{}
	e := m.table.find(testKey)
	if e == nil {
		return &c
	}
	groupCopy, entryCopy := *e.group, *e
	groupCopy.index, entryCopy.index = notQueued, notQueued
	groupCopy.first, entryCopy.group = &entryCopy, &groupCopy
	c.table.bytes = m.table.bytes
	c.table.groups[groupCopy.text] = &groupCopy
	c.table.entries[entryID{group: &groupCopy, unique: entryCopy.unique}] = &entryCopy
	c.table.expiry.set(&groupCopy)
	if e.index != notQueued {
		c.timers.set(&entryCopy)
	}
	return &c
}

// mutants are the mutations that break a guarantee.
var mutants = []struct {
	name      string
	mutations mutations
}{
	{"dispatch without the grant", mutations{dispatchWithoutGrant: true}},
	{"dispatch on a grant after the seal", mutations{dispatchAfterSeal: true}},
	{"seal without the witness", mutations{sealWithoutWitness: true}},
	{"witness runs a granted key", mutations{runAfterGrant: true}},
}

func TestModelCheckOneKey(t *testing.T) {
	t.Parallel()
	states, violation, path := explore(mutations{})
	if violation != "" {
		t.Fatalf("%s after %+v", violation, path)
	}
	t.Logf("%d states", states)
}

func TestModelCheckFindsEachMutation(t *testing.T) {
	for _, mutant := range mutants {
		_, violation, path := explore(mutant.mutations)
		if violation == "" {
			t.Errorf("%s: not found", mutant.name)
		}
		t.Logf("%s: %s after %+v", mutant.name, violation, path)
	}
}
