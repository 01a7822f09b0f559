package rollout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// drawChange draws a change of a few templates; some are too large to be held inline.
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

func TestRevisionNeverFallsAndChangesArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "machines")
		w := newWorld(t, size)
		any := func(t *rapid.T) int { return rapid.IntRange(0, size-1).Draw(t, "machine") }
		t.Repeat(map[string]func(*rapid.T){
			"change":  func(t *rapid.T) { w.accept(drawChange(t)) },
			"small":   func(t *rapid.T) { w.accept(Change{Services: []ServiceTemplate{service("s", 3)}}) },
			"restart": func(t *rapid.T) { w.restart(any(t)) },
			"cut":     func(t *rapid.T) { w.cut[[2]int{any(t), any(t)}] = true },
			"heal":    func(*rapid.T) { clear(w.cut) },
			"away":    func(t *rapid.T) { w.away[any(t)] = true },
			"back":    func(*rapid.T) { clear(w.away) },
			"lost":    func(*rapid.T) { w.inbox = nil },
			"doubled": func(*rapid.T) { w.inbox = append(w.inbox, w.inbox...) },
			"late": func(t *rapid.T) {
				w.inbox = rapid.Permutation(w.inbox).Draw(t, "order")
			},
			"step": func(t *rapid.T) { w.settle(rapid.IntRange(1, 5).Draw(t, "steps")) },
		})
		clear(w.cut)
		clear(w.away)
		w.settle(120)
		w.converged()
	})
}

func TestChangeReachesAllThroughOneWatcher(t *testing.T) {
	w := newWorld(t, 9)
	w.accept(Change{Services: []ServiceTemplate{service("s", 1)}})
	w.settle(20)
	w.converged()
	for i := 1; i < 9; i++ {
		w.away[i] = true
	}
	w.accept(Change{Services: []ServiceTemplate{service("s", 2)}})
	w.silent = true
	w.settle(4)
	w.converged()
}

func TestColdStartWithTheStoreAway(t *testing.T) {
	w := newWorld(t, 5)
	big := Change{Services: []ServiceTemplate{service("s", 1)}}
	big.Services = append(big.Services, bulk("bulk", 1))
	for i := range 300 {
		big.Accounts = append(big.Accounts, account(fmt.Sprint("a", i), "bulk"))
	}
	w.accept(big)
	w.settle(60)
	w.accept(Change{Services: []ServiceTemplate{service("s", 2)}})
	w.settle(20)
	w.converged()
	for i := range w.away {
		w.away[i] = true
	}
	for _, i := range []int{0, 3} {
		w.restart(i)
	}
	w.settle(80)
	w.converged()
}

func TestFirstConfigurationWaitsForTheHighestPeer(t *testing.T) {
	w := newWorld(t, 4)
	w.accept(Change{Services: []ServiceTemplate{service("s", 1)}})
	w.settle(20)
	for j := range 4 {
		w.cut[[2]int{j, 1}] = true
	}
	w.away[1] = true
	w.accept(Change{Services: []ServiceTemplate{service("s", 2)}})
	w.settle(10)
	clear(w.cut)
	for i := range w.away {
		w.away[i] = true
	}
	w.restart(0)
	w.settle(60)
	w.converged()
	if n := w.machines[0].Counters().Applied; n != 1 {
		t.Fatalf("%d configurations applied, the first was not the highest that a peer had", n)
	}
}

func TestWrongDigestKeepsTheLastGoodState(t *testing.T) {
	w := newWorld(t, 2)
	w.accept(Change{Services: []ServiceTemplate{service("s", 1)}})
	w.settle(20)
	w.away[1] = true
	big := Change{}
	big.Services = append(big.Services, bulk("bulk", 1))
	for i := range 300 {
		big.Accounts = append(big.Accounts, account(fmt.Sprint("a", i), "bulk"))
	}
	w.accept(big)
	good := w.shards
	w.shards = make(map[Digest][]byte)
	for d, data := range good {
		bad := append([]byte(nil), data...)
		bad[len(bad)-1] ^= 1
		w.shards[d] = bad
	}
	w.settle(40)
	m := w.machines[0]
	if m.Current().Revision != 1 || m.Counters().WrongDigest == 0 {
		t.Fatalf("revision %d, %d wrong digests", m.Current().Revision, m.Counters().WrongDigest)
	}
	w.shards = good
	w.settle(200)
	w.converged()
}

func TestRefusals(t *testing.T) {
	w := newWorld(t, 2)
	w.accept(Change{Services: []ServiceTemplate{service("s", 1)}})
	w.accept(Change{Services: []ServiceTemplate{service("s", 2)}})
	w.settle(20)
	m := w.machines[0]
	from := w.ref(1)
	m.Deliver(w.now, from, Message{Fleet: "other", Ask: &Ask{}})
	m.Deliver(w.now, from, Message{Fleet: "f", Head: &Head{Fleet: "other", Revision: 9}})
	m.Deliver(w.now, from, Message{Fleet: "f", Head: &Head{Fleet: "f", Revision: 9, SnapshotRevision: 12}})
	m.Deliver(w.now, from, Message{Fleet: "f"})
	m.Deliver(w.now, from, Message{Fleet: "f", Shard: &Shard{Digest: Digest{1}, Data: []byte{1}}})
	m.HeadRead(w.now, Head{Fleet: "f", Revision: 1, Changes: w.head.Changes[:1]}, nil)
	c := m.Counters()
	if c.OtherFleet != 2 || c.Malformed != 2 || c.Unsolicited != 1 || c.StoreBehind != 1 || c.LowerRevision == 0 {
		t.Fatalf("counters %+v", c)
	}
	if m.Current().Revision != 2 {
		t.Fatalf("revision %d", m.Current().Revision)
	}
}

func TestTemplateRemovedWhileInUse(t *testing.T) {
	w := newWorld(t, 3)
	w.accept(Change{Services: []ServiceTemplate{service("s", 1), service("u", 1)}, Accounts: []AccountTemplate{account("a", "s", "u")}})
	_, _, err := Propose(w.head, w.history[1], Change{ID: "remove", RemoveServices: []fleet.Service{"u"}})
	faults, ok := err.(*FaultError)
	if !ok || len(faults.Faults) != 1 || !faults.Faults[0].Unknown {
		t.Fatalf("error %v", err)
	}
	w.accept(Change{RemoveServices: []fleet.Service{"u"}, Accounts: []AccountTemplate{account("a", "s")}})
	w.settle(30)
	w.converged()
}
