package membership

import (
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

func TestWholeFleetColdStart(t *testing.T) {
	sim := newSimulation(t, 0, 3)
	sim.store = Roster{}
	var seeds []fleet.Instance
	for i := range 44 {
		seeds = append(seeds, instanceOf(i, 3))
	}
	sim.store.Instances = nil
	for _, i := range seeds {
		sim.ids = append(sim.ids, i.Ref.ID)
		m := NewMachine(Config{Fleet: "f"}, i, sim.random)
		sim.running[i.Ref.ID] = &process{machine: m}
		sim.run(i.Ref.ID, m.Start(sim.now, seeds))
	}
	sim.runFor(30 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
	t.Logf("44 instances joined with %d writes and %d reads", sim.writes, sim.reads)
	if sim.writes > 44 {
		t.Fatalf("%d writes of the roster for 44 joins", sim.writes)
	}
}

func TestJoinAndDeparture(t *testing.T) {
	sim := newSimulation(t, 12, 3)
	sim.runFor(3 * time.Second)
	sim.start(instanceOf(20, 3))
	sim.runFor(5 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
	left := sim.ids[3]
	sim.run(left, sim.machine(3).Leave(sim.now))
	sim.runFor(time.Second)
	if got := sim.status(0, left); got != StatusLeaving {
		t.Fatalf("status %d of a leaving instance", got)
	}
	sim.run(left, sim.machine(3).Stop(sim.now))
	delete(sim.running, left)
	sim.runFor(5 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
	if sim.writes > 3 {
		t.Fatalf("%d writes for a join and a departure", sim.writes)
	}
}

func TestCrashedInstanceIsRemoved(t *testing.T) {
	sim := newSimulation(t, 24, 3)
	sim.runFor(3 * time.Second)
	dead := sim.ids[5]
	delete(sim.running, dead)
	sim.runFor(4 * time.Second)
	for i := range sim.ids {
		if i != 5 && sim.status(i, dead) != StatusDead {
			t.Fatalf("machine %d has status %d", i, sim.status(i, dead))
		}
	}
	sim.runFor(15 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
}

func TestOneWayLinkFailureEvictsNobody(t *testing.T) {
	sim := newSimulation(t, 12, 3)
	sim.runFor(3 * time.Second)
	a, b := sim.ids[0], sim.machine(0).Neighbours()[0].Ref.ID
	sim.blocked[[2]fleet.InstanceID{a, b}] = true
	sim.runFor(time.Minute)
	sim.requireConverged()
	if got := sim.status(5, a); got != StatusSuspect {
		t.Fatalf("status %d of an instance that one neighbour votes unreachable", got)
	}
	clear(sim.blocked)
	sim.runFor(5 * time.Second)
	sim.requireAllAlive()
}

// TestHalfOfNeighboursIsNotAMajority blocks an instance's messages to exactly half of its
// neighbours, and then to one more.
func TestHalfOfNeighboursIsNotAMajority(t *testing.T) {
	sim := newSimulation(t, 24, 3)
	sim.runFor(3 * time.Second)
	subject := sim.ids[0]
	neighbours := sim.machine(0).Neighbours()
	half := len(neighbours) / 2
	if len(neighbours)%2 != 0 {
		t.Fatalf("%d neighbours, the test needs an even number", len(neighbours))
	}
	for _, n := range neighbours[:half] {
		sim.blocked[[2]fleet.InstanceID{subject, n.Ref.ID}] = true
	}
	sim.runFor(5 * time.Second)
	if got := sim.status(9, subject); got != StatusSuspect {
		t.Fatalf("status %d with votes of half of the neighbours", got)
	}
	sim.blocked[[2]fleet.InstanceID{subject, neighbours[half].Ref.ID}] = true
	sim.runFor(5 * time.Second)
	if got := sim.status(9, subject); got != StatusDead {
		t.Fatalf("status %d with votes of more than half of the neighbours", got)
	}
}

func TestInstanceWithoutInboundMessagesEvictsNobody(t *testing.T) {
	sim := newSimulation(t, 12, 3)
	sim.runFor(3 * time.Second)
	for _, id := range sim.ids {
		sim.blocked[[2]fleet.InstanceID{id, sim.ids[0]}] = true
	}
	sim.runFor(time.Minute)
	sim.requireConverged()
	for i := 1; i < 12; i++ {
		for _, member := range sim.machine(i).Members() {
			if id := member.Instance.Ref.ID; id != sim.ids[0] && (member.Status == StatusDead || !member.Reachable) {
				t.Fatalf("machine %d sees %s with status %d, reachable %v", i, id, member.Status, member.Reachable)
			}
		}
	}
}

func TestInstanceWithoutOutboundMessagesIsEvictedAndRejoins(t *testing.T) {
	sim := newSimulation(t, 12, 3)
	sim.runFor(3 * time.Second)
	noOutbound := sim.ids[0]
	for _, id := range sim.ids {
		sim.blocked[[2]fleet.InstanceID{noOutbound, id}] = true
	}
	sim.runFor(20 * time.Second)
	if sim.store.Has(fleet.Ref{ID: noOutbound, Incarnation: 1}) {
		t.Fatal("an instance that no neighbour can receive from is still on the roster")
	}
	clear(sim.blocked)
	sim.runFor(20 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
	if got := sim.machine(0).Self().Ref.Incarnation; got < 2 || sim.running[noOutbound].rejoins == 0 {
		t.Fatalf("incarnation %d after %d rejoins", got, sim.running[noOutbound].rejoins)
	}
}

func TestPausedInstanceCannotWriteStaleRoster(t *testing.T) {
	sim := newSimulation(t, 9, 3)
	sim.runFor(3 * time.Second)
	writer := -1
	for i := range sim.ids {
		if sim.machine(i).writerRank() == 0 {
			writer = i
		}
	}
	id := sim.ids[writer]
	victim := sim.ids[(writer+1)%9]
	sim.machine(writer).castVote(fleet.Ref{ID: victim, Incarnation: 1}, true)
	staleRoster := sim.machine(writer).roster.with(nil, []fleet.Ref{{ID: victim, Incarnation: 1}})
	sim.running[id].paused = true
	sim.runFor(30 * time.Second)
	generation := sim.store.Generation
	if sim.store.Has(fleet.Ref{ID: id, Incarnation: 1}) {
		t.Fatal("a paused instance is still on the roster")
	}
	sim.write(id, staleRoster)
	if sim.store.Generation != generation {
		t.Fatal("a write from before the pause took effect")
	}
	sim.running[id].paused = false
	sim.runFor(20 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
	if sim.machine(writer).Self().Ref.Incarnation < 2 {
		t.Fatal("the instance came back as the same incarnation")
	}
}

func TestShortPauseChangesNothing(t *testing.T) {
	sim := newSimulation(t, 9, 3)
	sim.runFor(3 * time.Second)
	sim.running[sim.ids[0]].paused = true
	sim.runFor(6 * time.Second)
	sim.running[sim.ids[0]].queue = nil // Messages that arrived during the pause are lost.
	sim.running[sim.ids[0]].paused = false
	sim.runFor(5 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
	if sim.machine(0).Self().Ref.Incarnation != 1 || sim.machine(0).Counters().Votes != 0 {
		t.Fatalf("incarnation %d, %d votes", sim.machine(0).Self().Ref.Incarnation, sim.machine(0).Counters().Votes)
	}
}

// TestLastInstanceRemovesTheOther: the remaining instance must remove a crashed one that had voted it unreachable.
func TestLastInstanceRemovesTheOther(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.runFor(3 * time.Second)
	sim.blocked[[2]fleet.InstanceID{sim.ids[1], sim.ids[0]}] = true
	sim.runFor(3 * time.Second)
	sim.running[sim.ids[0]] = nil
	clear(sim.blocked)
	sim.runFor(20 * time.Second)
	sim.requireConverged()
}

func TestStoreOutageDoesNotChangeMembership(t *testing.T) {
	sim := newSimulation(t, 9, 3)
	sim.runFor(3 * time.Second)
	sim.storeDown = true
	sim.start(instanceOf(30, 3))
	calls := sim.writes + sim.reads
	sim.runFor(20 * time.Minute)
	if calls = sim.writes + sim.reads - calls; calls > 200 {
		t.Fatalf("%d calls of an absent store in 20 minutes", calls)
	}
	for i := range 9 {
		if sim.machine(i).Self().Ref.Incarnation != 1 || len(sim.machine(i).Members()) != 9 {
			t.Fatalf("machine %d: %v, %d members", i, sim.machine(i).Self().Ref, len(sim.machine(i).Members()))
		}
	}
	sim.storeDown = false
	sim.runFor(90 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
}

func TestLostWriteReplyIsRecovered(t *testing.T) {
	sim := newSimulation(t, 9, 3)
	sim.runFor(3 * time.Second)
	sim.loseNextReply = true
	sim.start(instanceOf(30, 3))
	sim.runFor(10 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
	if sim.store.Generation != 2 {
		t.Fatalf("generation %d after one join", sim.store.Generation)
	}
}

func TestStartWithClockBehindPreviousIncarnation(t *testing.T) {
	sim := newSimulation(t, 6, 3)
	sim.runFor(3 * time.Second)
	old := instanceOf(2, 3)
	delete(sim.running, old.Ref.ID)
	old.Ref.Incarnation = 0
	sim.ids = append(sim.ids[:2:2], sim.ids[3:]...)
	sim.start(old)
	sim.runFor(30 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
}

func TestSecondProcessSupersedesTheFirst(t *testing.T) {
	sim := newSimulation(t, 6, 3)
	sim.runFor(3 * time.Second)
	first := sim.machine(2)
	sim.running["old"] = sim.running[sim.ids[2]]
	next := instanceOf(2, 3)
	next.Ref.Incarnation = 7
	sim.start(next)
	sim.runFor(5 * time.Second)
	effects := first.RosterRead(sim.now, sim.store, nil)
	if len(effects) == 0 || first.Tick(sim.now.Add(time.Hour)) != nil {
		t.Fatalf("the older process goes on: %v", effects)
	}
	if _, ok := effects[0].(Superseded); !ok {
		t.Fatalf("effect %T", effects[0])
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	sim := newSimulation(t, 6, 3)
	sim.runFor(3 * time.Second)
	m := sim.machine(0)
	before := m.Counters()
	known := sim.machine(1).Self().Ref
	future, past, stranger := known, known, fleet.Ref{ID: "stranger", Incarnation: 1}
	future.Incarnation, past.Incarnation = 99, 0
	heartbeat := Message{Fleet: "f", Heartbeat: &Heartbeat{Generation: 1}}
	m.Deliver(sim.now, known, Message{Fleet: "other", Heartbeat: &Heartbeat{}})
	m.Deliver(sim.now, future, heartbeat)
	m.Deliver(sim.now, past, heartbeat)
	m.Deliver(sim.now, stranger, heartbeat)
	m.Deliver(sim.now, stranger, Message{Fleet: "f", Join: &fleet.Instance{Ref: known}})
	m.Deliver(sim.now, known, Message{Fleet: "f", Facts: []Fact{{Kind: 77}}})
	m.Deliver(sim.now, known, Message{Fleet: "f", Roster: &Roster{Fleet: "g", Generation: 9}})
	m.Deliver(sim.now, known, Message{Fleet: "f", Roster: &Roster{Fleet: "f", Generation: 0}})
	c := m.Counters()
	if c.OtherFleet != before.OtherFleet+2 || c.Unknown != before.Unknown+2 || c.OldIncarnation != before.OldIncarnation+1 ||
		c.Malformed != before.Malformed+2 || c.StaleRosters != before.StaleRosters+1 {
		t.Fatalf("counters %+v", c)
	}
	sim.runFor(5 * time.Second)
	sim.requireConverged()
	sim.requireAllAlive()
}
