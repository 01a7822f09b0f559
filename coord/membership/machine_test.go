package membership

import (
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

func TestFirstStartOfAWholeFleet(t *testing.T) {
	w := newWorld(t, 0, 3)
	w.store = Roster{}
	var hints []fleet.Instance
	for i := range 44 {
		hints = append(hints, instanceOf(i, 3))
	}
	w.store.Instances = nil
	for _, i := range hints {
		w.order = append(w.order, i.Ref.ID)
		m := NewMachine(Config{Fleet: "f"}, i, w.random)
		w.running[i.Ref.ID] = &process{machine: m}
		w.run(i.Ref.ID, m.Start(w.now, hints))
	}
	w.settle(30 * time.Second)
	w.agreed()
	w.allAlive()
	t.Logf("44 instances joined with %d writes and %d reads", w.writes, w.reads)
	if w.writes > 44 {
		t.Fatalf("%d writes of the roster for 44 joins", w.writes)
	}
}

func TestJoinAndDeparture(t *testing.T) {
	w := newWorld(t, 12, 3)
	w.settle(3 * time.Second)
	w.start(instanceOf(20, 3))
	w.settle(5 * time.Second)
	w.agreed()
	w.allAlive()
	left := w.order[3]
	w.run(left, w.machine(3).Leave(w.now))
	w.settle(time.Second)
	if got := w.status(0, left); got != StatusLeaving {
		t.Fatalf("status %d of a leaving instance", got)
	}
	w.run(left, w.machine(3).Gone(w.now))
	delete(w.running, left)
	w.settle(5 * time.Second)
	w.agreed()
	w.allAlive()
	if w.writes > 3 {
		t.Fatalf("%d writes for a join and a departure", w.writes)
	}
}

func TestCrashIsSeenAndStruck(t *testing.T) {
	w := newWorld(t, 24, 3)
	w.settle(3 * time.Second)
	dead := w.order[5]
	delete(w.running, dead)
	w.settle(4 * time.Second)
	for i := range w.order {
		if i != 5 && w.status(i, dead) != StatusDead {
			t.Fatalf("machine %d sees status %d", i, w.status(i, dead))
		}
	}
	w.settle(15 * time.Second)
	w.agreed()
	w.allAlive()
}

func TestOneDeadDirectionEvictsNobody(t *testing.T) {
	w := newWorld(t, 12, 3)
	w.settle(3 * time.Second)
	a, b := w.order[0], w.machine(0).Neighbours()[0].Ref.ID
	w.cut[[2]fleet.InstanceID{a, b}] = true
	w.settle(time.Minute)
	w.agreed()
	if got := w.status(5, a); got != StatusSuspect {
		t.Fatalf("status %d of an instance that one neighbour does not hear", got)
	}
	clear(w.cut)
	w.settle(5 * time.Second)
	w.allAlive()
}

// TestHalfOfTheNeighboursIsNoMajority cuts one instance off from exactly half of its
// neighbours and then from one more.
func TestHalfOfTheNeighboursIsNoMajority(t *testing.T) {
	w := newWorld(t, 24, 3)
	w.settle(3 * time.Second)
	subject := w.order[0]
	neighbours := w.machine(0).Neighbours()
	half := len(neighbours) / 2
	if len(neighbours)%2 != 0 {
		t.Fatalf("%d neighbours, the test needs an even number", len(neighbours))
	}
	for _, n := range neighbours[:half] {
		w.cut[[2]fleet.InstanceID{subject, n.Ref.ID}] = true
	}
	w.settle(5 * time.Second)
	if got := w.status(9, subject); got != StatusSuspect {
		t.Fatalf("status %d with half of the neighbours silent", got)
	}
	w.cut[[2]fleet.InstanceID{subject, neighbours[half].Ref.ID}] = true
	w.settle(5 * time.Second)
	if got := w.status(9, subject); got != StatusDead {
		t.Fatalf("status %d with more than half of the neighbours silent", got)
	}
}

func TestDeafInstanceEvictsNobody(t *testing.T) {
	w := newWorld(t, 12, 3)
	w.settle(3 * time.Second)
	for _, id := range w.order {
		w.cut[[2]fleet.InstanceID{id, w.order[0]}] = true
	}
	w.settle(time.Minute)
	w.agreed()
	for i := 1; i < 12; i++ {
		for _, member := range w.machine(i).Members() {
			if id := member.Instance.Ref.ID; id != w.order[0] && (member.Status == StatusDead || !member.Heard) {
				t.Fatalf("machine %d sees %s as %d, heard %v", i, id, member.Status, member.Heard)
			}
		}
	}
}

func TestMuteInstanceIsEvictedAndRejoins(t *testing.T) {
	w := newWorld(t, 12, 3)
	w.settle(3 * time.Second)
	mute := w.order[0]
	for _, id := range w.order {
		w.cut[[2]fleet.InstanceID{mute, id}] = true
	}
	w.settle(20 * time.Second)
	if w.store.Has(fleet.Ref{ID: mute, Incarnation: 1}) {
		t.Fatal("an instance that nobody hears is still on the roster")
	}
	clear(w.cut)
	w.settle(20 * time.Second)
	w.agreed()
	w.allAlive()
	if got := w.machine(0).Self().Ref.Incarnation; got < 2 || w.running[mute].rejoins == 0 {
		t.Fatalf("incarnation %d after %d rejoins", got, w.running[mute].rejoins)
	}
}

func TestPausedInstanceDoesNothingWithOldAuthority(t *testing.T) {
	w := newWorld(t, 9, 3)
	w.settle(3 * time.Second)
	writer := -1
	for i := range w.order {
		if w.machine(i).writerRank() == 0 {
			writer = i
		}
	}
	id := w.order[writer]
	victim := w.order[(writer+1)%9]
	w.machine(writer).cast(fleet.Ref{ID: victim, Incarnation: 1}, true)
	stale := w.machine(writer).roster.with(nil, []fleet.Ref{{ID: victim, Incarnation: 1}})
	w.running[id].paused = true
	w.settle(30 * time.Second)
	generation := w.store.Generation
	if w.store.Has(fleet.Ref{ID: id, Incarnation: 1}) {
		t.Fatal("a paused instance is still on the roster")
	}
	w.write(id, stale)
	if w.store.Generation != generation {
		t.Fatal("a write from before the pause took effect")
	}
	w.running[id].paused = false
	w.settle(20 * time.Second)
	w.agreed()
	w.allAlive()
	if w.machine(writer).Self().Ref.Incarnation < 2 {
		t.Fatal("the instance came back as the same incarnation")
	}
}

func TestShortPauseChangesNothing(t *testing.T) {
	w := newWorld(t, 9, 3)
	w.settle(3 * time.Second)
	w.running[w.order[0]].paused = true
	w.settle(6 * time.Second)
	w.running[w.order[0]].queue = nil // The links' queues were dropped meanwhile.
	w.running[w.order[0]].paused = false
	w.settle(5 * time.Second)
	w.agreed()
	w.allAlive()
	if w.machine(0).Self().Ref.Incarnation != 1 || w.machine(0).Counters().Votes != 0 {
		t.Fatalf("incarnation %d, %d votes", w.machine(0).Self().Ref.Incarnation, w.machine(0).Counters().Votes)
	}
}

// TestLastInstanceStrikesTheOther: the one that is left had been voted against by the one that died.
func TestLastInstanceStrikesTheOther(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.settle(3 * time.Second)
	w.cut[[2]fleet.InstanceID{w.order[1], w.order[0]}] = true
	w.settle(3 * time.Second)
	w.running[w.order[0]] = nil
	clear(w.cut)
	w.settle(20 * time.Second)
	w.agreed()
}

func TestStoreAwayForHoursChangesNothing(t *testing.T) {
	w := newWorld(t, 9, 3)
	w.settle(3 * time.Second)
	w.away = true
	w.start(instanceOf(30, 3))
	calls := w.writes + w.reads
	w.settle(20 * time.Minute)
	if calls = w.writes + w.reads - calls; calls > 200 {
		t.Fatalf("%d calls of an absent store in 20 minutes", calls)
	}
	for i := range 9 {
		if w.machine(i).Self().Ref.Incarnation != 1 || len(w.machine(i).Members()) != 9 {
			t.Fatalf("machine %d: %v, %d members", i, w.machine(i).Self().Ref, len(w.machine(i).Members()))
		}
	}
	w.away = false
	w.settle(90 * time.Second)
	w.agreed()
	w.allAlive()
}

func TestLostReplyOfAWriteIsRecovered(t *testing.T) {
	w := newWorld(t, 9, 3)
	w.settle(3 * time.Second)
	w.loseNext = true
	w.start(instanceOf(30, 3))
	w.settle(10 * time.Second)
	w.agreed()
	w.allAlive()
	if w.store.Generation != 2 {
		t.Fatalf("generation %d after one join", w.store.Generation)
	}
}

func TestStartWithAClockThatIsBehind(t *testing.T) {
	w := newWorld(t, 6, 3)
	w.settle(3 * time.Second)
	old := instanceOf(2, 3)
	delete(w.running, old.Ref.ID)
	old.Ref.Incarnation = 0
	w.order = append(w.order[:2:2], w.order[3:]...)
	w.start(old)
	w.settle(30 * time.Second)
	w.agreed()
	w.allAlive()
}

func TestSecondProcessSupersedesTheFirst(t *testing.T) {
	w := newWorld(t, 6, 3)
	w.settle(3 * time.Second)
	first := w.machine(2)
	w.running["old"] = w.running[w.order[2]]
	next := instanceOf(2, 3)
	next.Ref.Incarnation = 7
	w.start(next)
	w.settle(5 * time.Second)
	effects := first.RosterRead(w.now, w.store, nil)
	if len(effects) == 0 || first.Tick(w.now.Add(time.Hour)) != nil {
		t.Fatalf("the older process goes on: %v", effects)
	}
	if _, ok := effects[0].(Superseded); !ok {
		t.Fatalf("effect %T", effects[0])
	}
}

func TestRefusals(t *testing.T) {
	w := newWorld(t, 6, 3)
	w.settle(3 * time.Second)
	m := w.machine(0)
	before := m.Counters()
	known := w.machine(1).Self().Ref
	future, past, stranger := known, known, fleet.Ref{ID: "stranger", Incarnation: 1}
	future.Incarnation, past.Incarnation = 99, 0
	beat := Message{Fleet: "f", Heartbeat: &Heartbeat{Generation: 1}}
	m.Deliver(w.now, known, Message{Fleet: "other", Heartbeat: &Heartbeat{}})
	m.Deliver(w.now, future, beat)
	m.Deliver(w.now, past, beat)
	m.Deliver(w.now, stranger, beat)
	m.Deliver(w.now, stranger, Message{Fleet: "f", Join: &fleet.Instance{Ref: known}})
	m.Deliver(w.now, known, Message{Fleet: "f", Facts: []Fact{{Kind: 77}}})
	m.Deliver(w.now, known, Message{Fleet: "f", Roster: &Roster{Fleet: "g", Generation: 9}})
	m.Deliver(w.now, known, Message{Fleet: "f", Roster: &Roster{Fleet: "f", Generation: 0}})
	c := m.Counters()
	if c.OtherFleet != before.OtherFleet+2 || c.Unknown != before.Unknown+2 || c.OldIncarnation != before.OldIncarnation+1 ||
		c.Malformed != before.Malformed+2 || c.LowerRoster != before.LowerRoster+1 {
		t.Fatalf("counters %+v", c)
	}
	w.settle(5 * time.Second)
	w.agreed()
	w.allAlive()
}
