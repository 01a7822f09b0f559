package claim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// world is a small fleet of real machines with a network that loses, doubles, reorders and
// delays messages. It checks the promises after each effect.
type world struct {
	t       *rapid.T
	now     time.Time
	cut     shortcuts
	limits  Limits
	ring    *Keyring
	nodes   []*node
	packets []packet
	keys    []*keyTruth
	fault   string // The first broken promise.
}

// node is one instance; a restart makes its next life.
type node struct {
	ref     fleet.Ref
	machine *Machine
	paused  bool
	skew    time.Duration // Its wall clock's error.
	waiting []*caller
	running []*execution
}

// packet is a message or a relayed submission on its way.
type packet struct {
	from, to fleet.Ref
	message  []byte // CBOR of Message, or nil.
	role     Role
	caller   caller
}

// caller is one submission at an instance.
type caller struct {
	key         Key
	fingerprint Fingerprint
	deadline    int64 // Local time of the instance that it waits at.
	remaining   time.Duration
}

// execution is a dispatch that has not been finished.
type execution struct {
	key         Key
	fingerprint Fingerprint
	answer      string
}

// keyTruth is what really happened to a key.
type keyTruth struct {
	key        Key
	ticket     Ticket
	dispatched int
	mayHaveRun bool
	saidNotRun bool
	disturbed  bool // An instance of it has crashed or stopped, or its callers used two requests.
	unknown    bool // Its execution was finished as unknown.
}

func newWorld(t *rapid.T, cut shortcuts) *world {
	ring, err := NewKeyring([]SigningKey{{ID: 1, Secret: []byte("0123456789abcdef")}})
	if err != nil {
		t.Fatalf("keyring: %v", err)
	}
	w := &world{t: t, now: testStart, cut: cut, ring: ring}
	w.limits = Limits{MaxAnswerBytes: 64, MaxKeys: rapid.SampledFrom([]int{2, 3, 100}).Draw(t, "max keys")}
	for i := range 3 {
		skew := time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second
		n := &node{ref: fleet.Ref{ID: fleet.InstanceID(fmt.Sprint("n", i)), Incarnation: 1}, skew: skew}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	for i := range 6 {
		w.issue(i)
	}
	return w
}

func (w *world) start(n *node) {
	n.machine = NewMachine(n.ref, w.limits)
	n.machine.shortcuts = w.cut
	n.waiting, n.running, n.paused = nil, nil, false
}

// issue makes a key of a new ticket for the instances that live now.
func (w *world) issue(i int) {
	home := w.nodes[i%len(w.nodes)]
	witness := w.nodes[(i+1)%len(w.nodes)]
	ticket := Ticket{Fleet: "f", Home: home.ref, Witness: witness.ref, Expires: w.now.Add(time.Duration(20+i*40) * time.Second)}
	text, err := w.ring.Sign(ticket)
	if err != nil {
		w.t.Fatalf("sign: %v", err)
	}
	opened, err := w.ring.Open(text)
	if err != nil {
		w.t.Fatalf("open: %v", err)
	}
	w.keys = append(w.keys, &keyTruth{key: Key{Ticket: text, Unique: fmt.Sprint("u", i)}, ticket: opened})
}

func (w *world) breach(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func (w *world) truth(key Key) *keyTruth {
	for _, k := range w.keys {
		if k.key == key {
			return k
		}
	}
	w.t.Fatalf("no such key %v", key)
	return nil
}

func (w *world) node(ref fleet.Ref) *node {
	for _, n := range w.nodes {
		if n.ref == ref {
			return n
		}
	}
	return nil
}

// named returns the life that an instance now has.
func (w *world) named(id fleet.InstanceID) *node {
	for _, n := range w.nodes {
		if n.ref.ID == id {
			return n
		}
	}
	return nil
}

// clock returns the wall clock of a node.
func (n *node) clock(w *world) time.Time {
	return w.now.Add(n.skew)
}

// submit makes a caller's request arrive at a node.
func (w *world) submit(n *node, role Role, c caller) {
	k := w.truth(c.key)
	now := n.clock(w)
	c.deadline = n.machine.clock.at(now) + int64(c.remaining)
	n.waiting = append(n.waiting, &c)
	s := Submission{Key: c.key, Ticket: k.ticket, Fingerprint: c.fingerprint, Deadline: now.Add(c.remaining)}
	effects := n.machine.Submit(now, role, s)
	for _, effect := range effects {
		if _, ok := effect.(Refusal); ok {
			n.waiting = n.waiting[:len(n.waiting)-1]
			return
		}
	}
	w.apply(n, effects)
}

// apply carries out a node's effects and checks the promises.
func (w *world) apply(n *node, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			data, err := cbor.Marshal(effect.Message)
			if err != nil {
				w.t.Fatalf("encode: %v", err)
			}
			w.packets = append(w.packets, packet{from: n.ref, to: effect.To, message: data})
		case Dispatch:
			w.dispatched(n, effect)
		case Answer:
			w.answered(n, effect)
		}
	}
	for _, k := range w.keys {
		if n.machine.Lookup(w.now, k.key).Result == ResultNotRun {
			w.saysNotRun(k)
		}
	}
}

func (w *world) dispatched(n *node, d Dispatch) {
	k := w.truth(d.Key)
	k.dispatched++
	k.mayHaveRun = true
	if k.dispatched > 1 {
		w.breach("key %s dispatched %d times", d.Key.Unique, k.dispatched)
	}
	if k.saidNotRun {
		w.breach("key %s dispatched after not run was said", d.Key.Unique)
	}
	x := &execution{key: d.Key, answer: "answer to " + d.Key.Unique}
	for _, c := range n.waiting {
		if c.key == d.Key {
			x.fingerprint = c.fingerprint
			break
		}
	}
	n.running = append(n.running, x)
}

func (w *world) saysNotRun(k *keyTruth) {
	k.saidNotRun = true
	if k.mayHaveRun {
		w.breach("key %s said not run, may have run", k.key.Unique)
	}
}

func (w *world) answered(n *node, a Answer) {
	k := w.truth(a.Key)
	if a.Outcome.Result == ResultNotRun {
		w.saysNotRun(k)
	}
	var rest []*caller
	for _, c := range n.waiting {
		if c.key != a.Key {
			rest = append(rest, c)
			continue
		}
		expected := fmt.Sprint("answer to ", c.key.Unique, " ", c.fingerprint)
		if len(a.Outcome.Answer) > 0 && string(a.Outcome.Answer[:len(expected)]) != expected {
			w.breach("caller of %s got %q, expected %q", c.key.Unique, a.Outcome.Answer, expected)
		}
	}
	if len(rest) == len(n.waiting) {
		w.breach("answer for %s without a caller", a.Key.Unique)
	}
	n.waiting = rest
}

// finish ends an execution.
func (w *world) finish(n *node, i int, o Outcome) {
	x := n.running[i]
	n.running = append(n.running[:i:i], n.running[i+1:]...)
	k := w.truth(x.key)
	switch o.Result {
	case ResultNotRun:
		k.mayHaveRun = false
	case ResultUnknown:
		k.unknown = true
	case ResultAnswered:
		o.Answer = fmt.Appendf(nil, "%s %v%s", x.answer, x.fingerprint, o.Answer)
	}
	w.apply(n, n.machine.Finish(n.clock(w), x.key, o))
}

// deliver hands the packet over if its target still lives and runs.
func (w *world) deliver(p packet) {
	n := w.node(p.to)
	if n == nil || n.paused {
		return
	}
	if p.message == nil {
		w.submit(n, p.role, p.caller)
		return
	}
	var msg Message
	if err := cbor.Unmarshal(p.message, &msg); err != nil {
		w.t.Fatalf("decode: %v", err)
	}
	if !n.machine.Contains(msg.Key) {
		msg.Ticket = w.truth(msg.Key).ticket
	}
	w.apply(n, n.machine.Deliver(n.clock(w), p.from, msg))
}

// tick moves the time and checks that no caller waits past its deadline.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		if n.paused {
			continue
		}
		w.apply(n, n.machine.Tick(n.clock(w)))
		for _, c := range n.waiting {
			if c.deadline <= n.machine.clock.last && !n.laterCaller(c) {
				w.breach("caller of %s waits past its deadline", c.key.Unique)
			}
		}
	}
}

// laterCaller reports whether another caller of the same key has a later deadline: a key's
// callers are answered together, and the program ends the wait of each by its own deadline.
func (n *node) laterCaller(c *caller) bool {
	for _, other := range n.waiting {
		if other.key == c.key && other.deadline > n.machine.clock.last {
			return true
		}
	}
	return false
}

// restart ends a node's life and begins its next.
func (w *world) restart(n *node) {
	for _, k := range w.keys {
		if k.ticket.Home == n.ref || k.ticket.Witness == n.ref {
			k.disturbed = true
		}
	}
	n.ref.Incarnation++
	w.start(n)
}
