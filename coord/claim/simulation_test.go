package claim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// simFleet is a small fleet of real machines on a simulated network that loses, duplicates,
// reorders and delays messages. It checks the guarantees after each effect.
type simFleet struct {
	t         *rapid.T
	now       time.Time
	mutations mutations
	limits    Limits
	ring      *Keyring
	nodes     []*node
	packets   []packet
	keys      []*keyHistory
	violation string // The first violated guarantee.
}

// node is one instance; a restart gives it the next incarnation.
type node struct {
	ref     fleet.Ref
	machine *Machine
	paused  bool
	skew    time.Duration // Error of its wall clock.
	waiting []*caller
	running []*execution
}

// packet is a message or a relayed submission in transit.
type packet struct {
	from, to fleet.Ref
	message  []byte // CBOR of a Message, or nil for a submission.
	role     Role
	caller   caller
}

// caller is one submission at an instance.
type caller struct {
	key         Key
	fingerprint Fingerprint
	deadline    int64 // Local time of the instance at which it waits.
	remaining   time.Duration
}

// execution is a dispatch that has not been finished.
type execution struct {
	key         Key
	fingerprint Fingerprint
	answer      string
}

// keyHistory records what happened to a key in the whole fleet.
type keyHistory struct {
	key             Key
	ticket          Ticket
	dispatched      int
	mayHaveRun      bool
	reportedNotRun  bool
	disturbed       bool // One of its instances has restarted or stopped, or its callers sent different requests.
	finishedUnknown bool // Its execution finished as unknown.
}

func newSimFleet(t *rapid.T, mutations mutations) *simFleet {
	ring, err := NewKeyring([]SigningKey{{ID: 1, Secret: []byte("0123456789abcdef")}})
	if err != nil {
		t.Fatalf("keyring: %v", err)
	}
	f := &simFleet{t: t, now: testStart, mutations: mutations, ring: ring}
	f.limits = Limits{MaxAnswerBytes: 64, MaxKeys: rapid.SampledFrom([]int{2, 3, 100}).Draw(t, "max keys")}
	for i := range 3 {
		skew := time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second
		n := &node{ref: fleet.Ref{ID: fleet.InstanceID(fmt.Sprint("n", i)), Incarnation: 1}, skew: skew}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	for i := range 6 {
		f.issueKey(i)
	}
	return f
}

func (f *simFleet) start(n *node) {
	n.machine = NewMachine(n.ref, f.limits)
	n.machine.mutations = f.mutations
	n.waiting, n.running, n.paused = nil, nil, false
}

// issueKey creates a key with a new ticket for the current incarnations.
func (f *simFleet) issueKey(i int) {
	home := f.nodes[i%len(f.nodes)]
	witness := f.nodes[(i+1)%len(f.nodes)]
	ticket := Ticket{Fleet: "f", Home: home.ref, Witness: witness.ref, Expires: f.now.Add(time.Duration(20+i*40) * time.Second)}
	text, err := f.ring.Sign(ticket)
	if err != nil {
		f.t.Fatalf("sign: %v", err)
	}
	opened, err := f.ring.Open(text)
	if err != nil {
		f.t.Fatalf("open: %v", err)
	}
	f.keys = append(f.keys, &keyHistory{key: Key{Ticket: text, Unique: fmt.Sprint("u", i)}, ticket: opened})
}

func (f *simFleet) reportViolation(format string, args ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf(format, args...)
	}
}

func (f *simFleet) history(key Key) *keyHistory {
	for _, k := range f.keys {
		if k.key == key {
			return k
		}
	}
	f.t.Fatalf("no such key %v", key)
	return nil
}

func (f *simFleet) nodeByRef(ref fleet.Ref) *node {
	for _, n := range f.nodes {
		if n.ref == ref {
			return n
		}
	}
	return nil
}

// nodeByID returns the node of an instance, whatever its incarnation.
func (f *simFleet) nodeByID(id fleet.InstanceID) *node {
	for _, n := range f.nodes {
		if n.ref.ID == id {
			return n
		}
	}
	return nil
}

// wallClock returns the time by the node's wall clock.
func (n *node) wallClock(f *simFleet) time.Time {
	return f.now.Add(n.skew)
}

// submit submits a caller's request at a node.
func (f *simFleet) submit(n *node, role Role, c caller) {
	k := f.history(c.key)
	now := n.wallClock(f)
	c.deadline = n.machine.clock.nanos(now) + int64(c.remaining)
	n.waiting = append(n.waiting, &c)
	s := Submission{Key: c.key, Ticket: k.ticket, Fingerprint: c.fingerprint, Deadline: now.Add(c.remaining)}
	effects := n.machine.Submit(now, role, s)
	for _, effect := range effects {
		if _, ok := effect.(Refusal); ok {
			n.waiting = n.waiting[:len(n.waiting)-1]
			return
		}
	}
	f.apply(n, effects)
}

// apply carries out a node's effects and checks the guarantees.
func (f *simFleet) apply(n *node, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			data, err := cbor.Marshal(effect.Message)
			if err != nil {
				f.t.Fatalf("encode: %v", err)
			}
			f.packets = append(f.packets, packet{from: n.ref, to: effect.To, message: data})
		case Dispatch:
			f.recordDispatch(n, effect)
		case Answer:
			f.recordAnswer(n, effect)
		}
	}
	for _, k := range f.keys {
		if n.machine.Lookup(f.now, k.key).Result == ResultNotRun {
			f.recordNotRun(k)
		}
	}
}

func (f *simFleet) recordDispatch(n *node, d Dispatch) {
	k := f.history(d.Key)
	k.dispatched++
	k.mayHaveRun = true
	if k.dispatched > 1 {
		f.reportViolation("key %s dispatched %d times", d.Key.Unique, k.dispatched)
	}
	if k.reportedNotRun {
		f.reportViolation("key %s dispatched after not run was reported", d.Key.Unique)
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

func (f *simFleet) recordNotRun(k *keyHistory) {
	k.reportedNotRun = true
	if k.mayHaveRun {
		f.reportViolation("key %s reported not run, may have run", k.key.Unique)
	}
}

func (f *simFleet) recordAnswer(n *node, a Answer) {
	k := f.history(a.Key)
	if a.Outcome.Result == ResultNotRun {
		f.recordNotRun(k)
	}
	var rest []*caller
	for _, c := range n.waiting {
		if c.key != a.Key {
			rest = append(rest, c)
			continue
		}
		expected := fmt.Sprint("answer to ", c.key.Unique, " ", c.fingerprint)
		if len(a.Outcome.Answer) > 0 && string(a.Outcome.Answer[:len(expected)]) != expected {
			f.reportViolation("caller of %s got %q, expected %q", c.key.Unique, a.Outcome.Answer, expected)
		}
	}
	if len(rest) == len(n.waiting) {
		f.reportViolation("answer for %s without a caller", a.Key.Unique)
	}
	n.waiting = rest
}

// finish finishes execution i of a node with an outcome.
func (f *simFleet) finish(n *node, i int, o Outcome) {
	x := n.running[i]
	n.running = append(n.running[:i:i], n.running[i+1:]...)
	k := f.history(x.key)
	switch o.Result {
	case ResultNotRun:
		k.mayHaveRun = false
	case ResultUnknown:
		k.finishedUnknown = true
	case ResultAnswered:
		o.Answer = fmt.Appendf(nil, "%s %v%s", x.answer, x.fingerprint, o.Answer)
	}
	f.apply(n, n.machine.Finish(n.wallClock(f), x.key, o))
}

// deliver delivers a packet, unless its target has restarted or is paused.
func (f *simFleet) deliver(p packet) {
	n := f.nodeByRef(p.to)
	if n == nil || n.paused {
		return
	}
	if p.message == nil {
		f.submit(n, p.role, p.caller)
		return
	}
	var msg Message
	if err := cbor.Unmarshal(p.message, &msg); err != nil {
		f.t.Fatalf("decode: %v", err)
	}
	if !n.machine.Contains(msg.Key) {
		msg.Ticket = f.history(msg.Key).ticket
	}
	f.apply(n, n.machine.Deliver(n.wallClock(f), p.from, msg))
}

// tick advances the time and checks that no caller waits past its deadline.
func (f *simFleet) tick(d time.Duration) {
	f.now = f.now.Add(d)
	for _, n := range f.nodes {
		if n.paused {
			continue
		}
		f.apply(n, n.machine.Tick(n.wallClock(f)))
		for _, c := range n.waiting {
			if c.deadline <= n.machine.clock.last && !n.hasLaterCaller(c) {
				f.reportViolation("caller of %s waits past its deadline", c.key.Unique)
			}
		}
	}
}

// hasLaterCaller reports whether another caller of the same key has a deadline that has not
// passed. The machine answers a key's callers together; the embedding program enforces each
// caller's own deadline.
func (n *node) hasLaterCaller(c *caller) bool {
	for _, other := range n.waiting {
		if other.key == c.key && other.deadline > n.machine.clock.last {
			return true
		}
	}
	return false
}

// restart replaces a node's machine by one of the next incarnation.
func (f *simFleet) restart(n *node) {
	for _, k := range f.keys {
		if k.ticket.Home == n.ref || k.ticket.Witness == n.ref {
			k.disturbed = true
		}
	}
	n.ref.Incarnation++
	f.start(n)
}
