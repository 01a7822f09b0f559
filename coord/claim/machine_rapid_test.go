package claim

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runRandomEvents runs a fleet under random events until one violates a guarantee. The fleet
// that it returns has the violation, if any.
func runRandomEvents(t *rapid.T, mutations mutations) *simFleet {
	f := newSimFleet(t, mutations)
	for range rapid.IntRange(5, 120).Draw(t, "events") {
		if f.violation != "" {
			break
		}
		f.randomEvent()
	}
	return f
}

// randomEvent applies one random event. Restarts and stops are rare, since they end an
// incarnation.
func (f *simFleet) randomEvent() {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "node")]
	switch roll := rapid.IntRange(0, 99).Draw(f.t, "event"); {
	case roll < 25:
		f.randomSubmit()
	case roll < 60:
		f.randomDelivery()
	case roll < 65:
		f.randomLoss()
	case roll < 78:
		f.tick(time.Duration(rapid.IntRange(1, 600).Draw(f.t, "ms")) * time.Millisecond)
	case roll < 88:
		f.randomFinish()
	case roll < 92:
		f.randomAbandon()
	case roll < 95:
		n.paused = !n.paused
	case roll < 96:
		n.skew += time.Duration(rapid.IntRange(-30, 30).Draw(f.t, "step")) * time.Second
	case roll < 97:
		f.stop(n)
	case roll < 98:
		f.restart(n)
	default:
		f.tick(time.Duration(rapid.IntRange(1, 90).Draw(f.t, "s")) * time.Second)
	}
}

// randomSubmit submits a caller's request to the home or the witness, directly or relayed.
func (f *simFleet) randomSubmit() {
	k := f.keys[rapid.IntRange(0, len(f.keys)-1).Draw(f.t, "key")]
	role := rapid.SampledFrom([]Role{RoleHome, RoleHome, RoleWitness}).Draw(f.t, "role")
	c := caller{key: k.key, remaining: time.Duration(rapid.IntRange(0, 4000).Draw(f.t, "deadline")) * time.Millisecond}
	if rapid.IntRange(0, 19).Draw(f.t, "other request") == 0 {
		c.fingerprint[0] = 1
		k.disturbed = true
	}
	to := k.ticket.peer(3 - role)
	if rapid.Bool().Draw(f.t, "relayed") {
		f.packets = append(f.packets, packet{to: to, role: role, caller: c})
		return
	}
	if n := f.nodeByID(to.ID); !n.paused {
		f.submit(n, role, c)
	}
}

func (f *simFleet) randomDelivery() {
	if len(f.packets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.packets)-1).Draw(f.t, "packet")
	p := f.packets[i]
	if rapid.IntRange(0, 2).Draw(f.t, "keep") > 0 {
		f.dropPacket(i)
	}
	f.deliver(p)
}

func (f *simFleet) randomLoss() {
	if len(f.packets) > 0 {
		f.dropPacket(rapid.IntRange(0, len(f.packets)-1).Draw(f.t, "packet"))
	}
}

func (f *simFleet) dropPacket(i int) {
	f.packets = append(f.packets[:i:i], f.packets[i+1:]...)
}

func (f *simFleet) randomFinish() {
	for _, n := range f.nodes {
		if n.paused || len(n.running) == 0 {
			continue
		}
		o := Outcome{Result: Result(rapid.IntRange(1, 3).Draw(f.t, "result"))}
		if o.Result == ResultAnswered && rapid.Bool().Draw(f.t, "large") {
			o.Answer = []byte(strings.Repeat("x", f.limits.MaxAnswerBytes))
		}
		f.finish(n, rapid.IntRange(0, len(n.running)-1).Draw(f.t, "execution"), o)
		return
	}
}

func (f *simFleet) randomAbandon() {
	for _, n := range f.nodes {
		if n.paused || len(n.waiting) == 0 {
			continue
		}
		key := n.waiting[rapid.IntRange(0, len(n.waiting)-1).Draw(f.t, "caller")].key
		var rest []*caller
		for _, c := range n.waiting {
			if c.key != key {
				rest = append(rest, c)
			}
		}
		n.waiting = rest
		f.apply(n, n.machine.Abandon(n.wallClock(f), key))
		return
	}
}

func (f *simFleet) stop(n *node) {
	if n.paused {
		return
	}
	for _, k := range f.keys {
		if k.ticket.Home == n.ref || k.ticket.Witness == n.ref {
			k.disturbed = true
		}
	}
	f.apply(n, n.machine.Stop(n.wallClock(f)))
}

// heal resumes every instance, submits each key to its home once more and delivers all messages.
func (f *simFleet) heal() {
	for _, n := range f.nodes {
		n.paused = false
		behind := n.machine.clock.last - n.wallClock(f).UnixNano()
		n.skew += time.Duration(max(behind, 0))
	}
	for _, k := range f.keys {
		if n := f.nodeByRef(k.ticket.Home); n != nil {
			f.submit(n, RoleHome, caller{key: k.key, remaining: 8 * time.Second})
		}
	}
	for range 180 {
		f.tick(50 * time.Millisecond)
		for len(f.packets) > 0 {
			p := f.packets[0]
			f.packets = f.packets[1:]
			f.deliver(p)
		}
		for _, n := range f.nodes {
			for len(n.running) > 0 {
				f.finish(n, 0, Outcome{Result: ResultAnswered})
			}
		}
	}
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := runRandomEvents(t, mutations{})
		if f.violation != "" {
			t.Fatal(f.violation)
		}
	})
}

// Once messages are delivered again, a key whose two instances still run must have one settled
// outcome at both, and no caller may still wait.
func TestOutcomesConvergeAfterNetworkHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := runRandomEvents(t, mutations{})
		f.heal()
		if f.violation != "" {
			t.Fatal(f.violation)
		}
		for _, n := range f.nodes {
			if len(n.waiting) > 0 {
				t.Fatalf("%d callers still wait at %s", len(n.waiting), n.ref)
			}
		}
		for _, k := range f.keys {
			f.checkSettled(k)
		}
	})
}

// checkSettled checks the outcome of an undisturbed key that has not expired at any instance.
func (f *simFleet) checkSettled(k *keyHistory) {
	margin := 2 * time.Minute
	if k.disturbed || f.limits.MaxKeys < len(f.keys) || f.now.Add(margin).After(k.ticket.Expires.Add(margin/2)) {
		return
	}
	for _, role := range []Role{RoleHome, RoleWitness} {
		n := f.nodeByRef(k.ticket.peer(3 - role))
		o := n.machine.Lookup(f.now, k.key)
		switch {
		case o.Result == ResultUnknown && !k.finishedUnknown:
			f.t.Fatalf("key %s has no outcome at %s: reason %d", k.key.Unique, n.ref, o.Reason)
		case o.Result == ResultNotRun && k.mayHaveRun:
			f.t.Fatalf("key %s is not run at %s, but may have run", k.key.Unique, n.ref)
		}
	}
}

func TestRandomEventsFindEachMutation(t *testing.T) {
	const seeds = 3000
	for _, mutant := range mutants {
		run := rapid.Custom(func(t *rapid.T) string { return runRandomEvents(t, mutant.mutations).violation })
		found := 0
		for seed := 1; seed <= seeds && found == 0; seed++ {
			if run.Example(seed) != "" {
				found = seed
			}
		}
		if found == 0 {
			t.Errorf("%s: not found in %d runs", mutant.name, seeds)
		}
		t.Logf("%s: found in run %d", mutant.name, found)
	}
}
