package claim

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// disturb runs a fleet under random events and returns the first broken promise.
func disturb(t *rapid.T, cut shortcuts) *world {
	w := newWorld(t, cut)
	for range rapid.IntRange(5, 120).Draw(t, "events") {
		if w.fault != "" {
			break
		}
		w.event()
	}
	return w
}

// event makes one random thing happen. Those that end lives are rare.
func (w *world) event() {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node")]
	switch what := rapid.IntRange(0, 99).Draw(w.t, "event"); {
	case what < 25:
		w.someSubmit()
	case what < 60:
		w.someDelivery()
	case what < 65:
		w.somePacketLost()
	case what < 78:
		w.tick(time.Duration(rapid.IntRange(1, 600).Draw(w.t, "ms")) * time.Millisecond)
	case what < 88:
		w.someFinish()
	case what < 92:
		w.someGiveUp()
	case what < 95:
		n.paused = !n.paused
	case what < 96:
		n.skew += time.Duration(rapid.IntRange(-30, 30).Draw(w.t, "step")) * time.Second
	case what < 97:
		w.stop(n)
	case what < 98:
		w.restart(n)
	default:
		w.tick(time.Duration(rapid.IntRange(1, 90).Draw(w.t, "s")) * time.Second)
	}
}

// someSubmit lets a caller send its request to the home or the witness, directly or relayed.
func (w *world) someSubmit() {
	k := w.keys[rapid.IntRange(0, len(w.keys)-1).Draw(w.t, "key")]
	role := rapid.SampledFrom([]Role{RoleHome, RoleHome, RoleWitness}).Draw(w.t, "role")
	c := caller{key: k.key, remaining: time.Duration(rapid.IntRange(0, 4000).Draw(w.t, "deadline")) * time.Millisecond}
	if rapid.IntRange(0, 19).Draw(w.t, "other request") == 0 {
		c.fingerprint[0] = 1
		k.disturbed = true
	}
	to := k.ticket.other(3 - role)
	if rapid.Bool().Draw(w.t, "relayed") {
		w.packets = append(w.packets, packet{to: to, role: role, caller: c})
		return
	}
	if n := w.named(to.ID); !n.paused {
		w.submit(n, role, c)
	}
}

func (w *world) someDelivery() {
	if len(w.packets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.packets)-1).Draw(w.t, "packet")
	p := w.packets[i]
	if rapid.IntRange(0, 2).Draw(w.t, "keep") > 0 {
		w.lose(i)
	}
	w.deliver(p)
}

func (w *world) somePacketLost() {
	if len(w.packets) > 0 {
		w.lose(rapid.IntRange(0, len(w.packets)-1).Draw(w.t, "packet"))
	}
}

func (w *world) lose(i int) {
	w.packets = append(w.packets[:i:i], w.packets[i+1:]...)
}

func (w *world) someFinish() {
	for _, n := range w.nodes {
		if n.paused || len(n.running) == 0 {
			continue
		}
		o := Outcome{Result: Result(rapid.IntRange(1, 3).Draw(w.t, "result"))}
		if o.Result == ResultAnswered && rapid.Bool().Draw(w.t, "large") {
			o.Answer = []byte(strings.Repeat("x", w.limits.MaxAnswerBytes))
		}
		w.finish(n, rapid.IntRange(0, len(n.running)-1).Draw(w.t, "execution"), o)
		return
	}
}

func (w *world) someGiveUp() {
	for _, n := range w.nodes {
		if n.paused || len(n.waiting) == 0 {
			continue
		}
		key := n.waiting[rapid.IntRange(0, len(n.waiting)-1).Draw(w.t, "caller")].key
		var rest []*caller
		for _, c := range n.waiting {
			if c.key != key {
				rest = append(rest, c)
			}
		}
		n.waiting = rest
		w.apply(n, n.machine.Abandon(n.clock(w), key))
		return
	}
}

func (w *world) stop(n *node) {
	if n.paused {
		return
	}
	for _, k := range w.keys {
		if k.ticket.Home == n.ref || k.ticket.Witness == n.ref {
			k.disturbed = true
		}
	}
	w.apply(n, n.machine.Stop(n.clock(w)))
}

// heal lets every instance run and every message through, and asks each home once more.
func (w *world) heal() {
	for _, n := range w.nodes {
		n.paused = false
		behind := n.machine.clock.last - n.clock(w).UnixNano()
		n.skew += time.Duration(max(behind, 0))
	}
	for _, k := range w.keys {
		if n := w.node(k.ticket.Home); n != nil {
			w.submit(n, RoleHome, caller{key: k.key, remaining: 8 * time.Second})
		}
	}
	for range 180 {
		w.tick(50 * time.Millisecond)
		for len(w.packets) > 0 {
			p := w.packets[0]
			w.packets = w.packets[1:]
			w.deliver(p)
		}
		for _, n := range w.nodes {
			for len(n.running) > 0 {
				w.finish(n, 0, Outcome{Result: ResultAnswered})
			}
		}
	}
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := disturb(t, shortcuts{})
		if w.fault != "" {
			t.Fatal(w.fault)
		}
	})
}

// Once messages flow, a key whose two instances live on has one settled outcome at both, and
// no caller waits.
func TestEveryCallerIsAnsweredOnceMessagesFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := disturb(t, shortcuts{})
		w.heal()
		if w.fault != "" {
			t.Fatal(w.fault)
		}
		for _, n := range w.nodes {
			if len(n.waiting) > 0 {
				t.Fatalf("%d callers still wait at %s", len(n.waiting), n.ref)
			}
		}
		for _, k := range w.keys {
			w.checkSettled(k)
		}
	})
}

// checkSettled checks the outcome of an undisturbed key that has not expired anywhere.
func (w *world) checkSettled(k *keyTruth) {
	margin := 2 * time.Minute
	if k.disturbed || w.limits.MaxKeys < len(w.keys) || w.now.Add(margin).After(k.ticket.Expires.Add(margin/2)) {
		return
	}
	for _, ref := range []Role{RoleHome, RoleWitness} {
		n := w.node(k.ticket.other(3 - ref))
		o := n.machine.Lookup(w.now, k.key)
		switch {
		case o.Result == ResultUnknown && !k.unknown:
			w.t.Fatalf("key %s has no outcome at %s: reason %d", k.key.Unique, n.ref, o.Reason)
		case o.Result == ResultNotRun && k.mayHaveRun:
			w.t.Fatalf("key %s is not run at %s, ran", k.key.Unique, n.ref)
		}
	}
}

func TestRandomEventsFindEachShortcut(t *testing.T) {
	const seeds = 3000
	for _, mutant := range mutants {
		run := rapid.Custom(func(t *rapid.T) string { return disturb(t, mutant.cut).fault })
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
