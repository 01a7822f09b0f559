package rollout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// drawChange draws a change of a few templates; some changes are too large to be inline.
func drawChange(t *rapid.T) Change {
	change := Change{Services: []ServiceTemplate{service("s", rapid.IntRange(0, 9).Draw(t, "floor"))}}
	if rapid.IntRange(0, 4).Draw(t, "bulk") == 0 {
		change.Services = append(change.Services, bulk("bulk", rapid.IntRange(0, 9).Draw(t, "floor")))
	}
	for range rapid.IntRange(0, 30).Draw(t, "accounts") {
		name := fmt.Sprintf("account-%d", rapid.IntRange(0, 50).Draw(t, "account"))
		change.Accounts = append(change.Accounts, account(name, "s"))
	}
	return change
}

func TestRevisionNeverDecreasesAndMachinesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "machines")
		sim := newSimulation(t, size)
		randomMachine := func(t *rapid.T) int { return rapid.IntRange(0, size-1).Draw(t, "machine") }
		t.Repeat(map[string]func(*rapid.T){
			"change":  func(t *rapid.T) { sim.accept(drawChange(t)) },
			"small":   func(t *rapid.T) { sim.accept(Change{Services: []ServiceTemplate{service("s", 3)}}) },
			"restart": func(t *rapid.T) { sim.restart(randomMachine(t)) },
			"cut":     func(t *rapid.T) { sim.blocked[[2]int{randomMachine(t), randomMachine(t)}] = true },
			"heal":    func(*rapid.T) { clear(sim.blocked) },
			"away":    func(t *rapid.T) { sim.storeDown[randomMachine(t)] = true },
			"back":    func(*rapid.T) { clear(sim.storeDown) },
			"lost":    func(*rapid.T) { sim.inFlight = nil },
			"doubled": func(*rapid.T) { sim.inFlight = append(sim.inFlight, sim.inFlight...) },
			"late": func(t *rapid.T) {
				sim.inFlight = rapid.Permutation(sim.inFlight).Draw(t, "order")
			},
			"step": func(t *rapid.T) { sim.runSteps(rapid.IntRange(1, 5).Draw(t, "steps")) },
		})
		clear(sim.blocked)
		clear(sim.storeDown)
		sim.runSteps(120)
		sim.requireConverged()
	})
}

func TestOneWatcherPropagatesChangeToAll(t *testing.T) {
	sim := newSimulation(t, 9)
	sim.accept(Change{Services: []ServiceTemplate{service("s", 1)}})
	sim.runSteps(20)
	sim.requireConverged()
	for i := 1; i < 9; i++ {
		sim.storeDown[i] = true
	}
	sim.accept(Change{Services: []ServiceTemplate{service("s", 2)}})
	sim.noHeartbeats = true
	sim.runSteps(4)
	sim.requireConverged()
}

func TestColdStartDuringStoreOutage(t *testing.T) {
	sim := newSimulation(t, 5)
	big := Change{Services: []ServiceTemplate{service("s", 1)}}
	big.Services = append(big.Services, bulk("bulk", 1))
	for i := range 300 {
		big.Accounts = append(big.Accounts, account(fmt.Sprint("a", i), "bulk"))
	}
	sim.accept(big)
	sim.runSteps(60)
	sim.accept(Change{Services: []ServiceTemplate{service("s", 2)}})
	sim.runSteps(20)
	sim.requireConverged()
	for i := range sim.storeDown {
		sim.storeDown[i] = true
	}
	for _, i := range []int{0, 3} {
		sim.restart(i)
	}
	sim.runSteps(80)
	sim.requireConverged()
}

func TestFirstConfigurationIsHighestOfAllPeers(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.accept(Change{Services: []ServiceTemplate{service("s", 1)}})
	sim.runSteps(20)
	for j := range 4 {
		sim.blocked[[2]int{j, 1}] = true
	}
	sim.storeDown[1] = true
	sim.accept(Change{Services: []ServiceTemplate{service("s", 2)}})
	sim.runSteps(10)
	clear(sim.blocked)
	for i := range sim.storeDown {
		sim.storeDown[i] = true
	}
	sim.restart(0)
	sim.runSteps(60)
	sim.requireConverged()
	if n := sim.machines[0].Counters().Applied; n != 1 {
		t.Fatalf("%d configurations applied: the first was not the highest of all peers", n)
	}
}

func TestWrongDigestKeepsLastGoodConfiguration(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.accept(Change{Services: []ServiceTemplate{service("s", 1)}})
	sim.runSteps(20)
	sim.storeDown[1] = true
	big := Change{}
	big.Services = append(big.Services, bulk("bulk", 1))
	for i := range 300 {
		big.Accounts = append(big.Accounts, account(fmt.Sprint("a", i), "bulk"))
	}
	sim.accept(big)
	good := sim.shards
	sim.shards = make(map[Digest][]byte)
	for d, data := range good {
		bad := append([]byte(nil), data...)
		bad[len(bad)-1] ^= 1
		sim.shards[d] = bad
	}
	sim.runSteps(40)
	m := sim.machines[0]
	if m.Current().Revision != 1 || m.Counters().WrongDigest == 0 {
		t.Fatalf("revision %d, %d wrong digests", m.Current().Revision, m.Counters().WrongDigest)
	}
	sim.shards = good
	sim.runSteps(200)
	sim.requireConverged()
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.accept(Change{Services: []ServiceTemplate{service("s", 1)}})
	sim.accept(Change{Services: []ServiceTemplate{service("s", 2)}})
	sim.runSteps(20)
	m := sim.machines[0]
	from := sim.ref(1)
	m.Deliver(sim.now, from, Message{Fleet: "other", HeadRequest: &HeadRequest{}})
	m.Deliver(sim.now, from, Message{Fleet: "f", Head: &Head{Fleet: "other", Revision: 9}})
	m.Deliver(sim.now, from, Message{Fleet: "f", Head: &Head{Fleet: "f", Revision: 9, SnapshotRevision: 12}})
	m.Deliver(sim.now, from, Message{Fleet: "f"})
	m.Deliver(sim.now, from, Message{Fleet: "f", Shard: &Shard{Digest: Digest{1}, Data: []byte{1}}})
	m.HeadRead(sim.now, Head{Fleet: "f", Revision: 1, Changes: sim.head.Changes[:1]}, nil)
	c := m.Counters()
	if c.OtherFleet != 2 || c.Malformed != 2 || c.Unsolicited != 1 || c.StaleStoreReads != 1 || c.LowerRevision == 0 {
		t.Fatalf("counters %+v", c)
	}
	if m.Current().Revision != 2 {
		t.Fatalf("revision %d", m.Current().Revision)
	}
}

func TestTemplateRemovedWhileInUse(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.accept(Change{Services: []ServiceTemplate{service("s", 1), service("u", 1)}, Accounts: []AccountTemplate{account("a", "s", "u")}})
	_, _, err := Propose(sim.head, sim.history[1][0], Change{ID: "remove", RemoveServices: []fleet.Service{"u"}})
	invalid, ok := err.(*ValidationError)
	if !ok || len(invalid.Fields) != 1 || !invalid.Fields[0].Unknown {
		t.Fatalf("error %v", err)
	}
	sim.accept(Change{RemoveServices: []fleet.Service{"u"}, Accounts: []AccountTemplate{account("a", "s")}})
	sim.runSteps(30)
	sim.requireConverged()
}
