package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// pair is a home and a witness. Messages are delivered at once, except to unreachable instances.
type pair struct {
	t            *testing.T
	now          time.Time
	machines     map[fleet.Ref]*Machine
	unreachable  map[fleet.Ref]bool // Messages to these are lost.
	sent         map[MessageKind]int
	answers      []Answer
	refusals     []Reason
	dispatchedAt []fleet.Ref
}

func newPair(t *testing.T, limits Limits) *pair {
	return &pair{
		t:   t,
		now: testStart,
		machines: map[fleet.Ref]*Machine{
			homeRef:    NewMachine(homeRef, limits),
			witnessRef: NewMachine(witnessRef, limits),
		},
		unreachable: make(map[fleet.Ref]bool),
		sent:        make(map[MessageKind]int),
	}
}

func (p *pair) apply(from fleet.Ref, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			p.sent[effect.Message.Kind]++
			if p.unreachable[effect.To] {
				continue
			}
			msg := effect.Message
			msg.Ticket = testTicket
			p.apply(effect.To, p.machines[effect.To].Deliver(p.now, from, msg))
		case Dispatch:
			p.dispatchedAt = append(p.dispatchedAt, from)
		case Answer:
			p.answers = append(p.answers, effect)
		case Refusal:
			p.refusals = append(p.refusals, effect.Reason)
		}
	}
}

func (p *pair) submit(at fleet.Ref, unique string) {
	role := p.machines[at].roleIn(testTicket)
	p.apply(at, p.machines[at].Submit(p.now, role, newSubmission(p.now, unique)))
}

func newSubmission(now time.Time, unique string) Submission {
	return Submission{Key: Key{Ticket: "t", Unique: unique}, Ticket: testTicket, Deadline: now.Add(2 * time.Second)}
}

func (p *pair) finish(at fleet.Ref, unique string, o Outcome) {
	p.apply(at, p.machines[at].Finish(p.now, Key{Ticket: "t", Unique: unique}, o))
}

func (p *pair) tick(d time.Duration) {
	p.now = p.now.Add(d)
	for ref, m := range p.machines {
		p.apply(ref, m.Tick(p.now))
	}
}

func (p *pair) lastAnswer() Outcome {
	p.t.Helper()
	if len(p.answers) == 0 {
		p.t.Fatal("no answer")
	}
	return p.answers[len(p.answers)-1].Outcome
}

func (p *pair) lastRefusal() Reason {
	p.t.Helper()
	if len(p.refusals) == 0 {
		p.t.Fatal("no refusal")
	}
	return p.refusals[len(p.refusals)-1]
}

func TestRequestTakesFourMessages(t *testing.T) {
	p := newPair(t, Limits{})
	p.submit(homeRef, "u")
	p.finish(homeRef, "u", Outcome{Result: ResultAnswered, Answer: []byte("a")})
	if o := p.lastAnswer(); o.Result != ResultAnswered || string(o.Answer) != "a" {
		t.Fatalf("answer %+v", o)
	}
	p.tick(time.Minute)
	for _, kind := range []MessageKind{MessageClaim, MessageGrant, MessageOutcome, MessageOutcomeAck} {
		if p.sent[kind] != 1 {
			t.Errorf("kind %d sent %d times", kind, p.sent[kind])
		}
	}
	if len(p.sent) != 4 {
		t.Errorf("sent %v", p.sent)
	}
}

func TestWitnessReturnsOutcomeOfHome(t *testing.T) {
	p := newPair(t, Limits{})
	p.submit(homeRef, "u")
	p.unreachable[witnessRef] = true
	p.finish(homeRef, "u", Outcome{Result: ResultAnswered, Answer: []byte("a")})
	p.unreachable[witnessRef] = false
	p.answers = nil
	p.submit(witnessRef, "u")
	if o := p.lastAnswer(); o.Result != ResultAnswered || string(o.Answer) != "a" {
		t.Fatalf("answer at the witness %+v", o)
	}
}

func TestHomeSealsAndReportsUnknownWhenWitnessIsUnreachable(t *testing.T) {
	p := newPair(t, Limits{})
	p.unreachable[witnessRef] = true
	p.submit(homeRef, "u")
	for range 60 {
		p.tick(50 * time.Millisecond)
	}
	if o := p.lastAnswer(); o.Result != ResultUnknown || o.Reason != ReasonPeerUnreachable {
		t.Fatalf("answer %+v", o)
	}
	p.unreachable[witnessRef] = false
	p.tick(time.Minute)
	if o := p.machines[homeRef].Lookup(p.now, Key{Ticket: "t", Unique: "u"}); o.Result != ResultNotRun {
		t.Fatalf("look-up after the link is back: %+v", o)
	}
	if len(p.dispatchedAt) != 0 {
		t.Fatalf("dispatched at %v", p.dispatchedAt)
	}
}

func TestSingleInstanceRunsWithoutWitness(t *testing.T) {
	m := NewMachine(homeRef, Limits{})
	alone := Ticket{Home: homeRef, Expires: testExpiry}
	s := Submission{Key: testKey, Ticket: alone, Deadline: testStart.Add(time.Second)}
	effects := m.Submit(testStart, RoleHome, s)
	if _, ok := effects[0].(Dispatch); !ok || len(effects) != 1 {
		t.Fatalf("effects %+v", effects)
	}
	m.Stop(testStart)
	if m.Drained() {
		t.Fatal("drained while it runs a key")
	}
	m.Finish(testStart, testKey, Outcome{Result: ResultNotRun})
	if o := m.Lookup(testStart, testKey); o.Result != ResultNotRun {
		t.Fatalf("outcome %+v", o)
	}
	if !m.Drained() {
		t.Fatal("not drained with nothing to hand over")
	}
}

func TestOtherIncarnationsRefuse(t *testing.T) {
	for _, self := range []fleet.Ref{{ID: "home", Incarnation: 2}, {ID: "other", Incarnation: 1}} {
		m := NewMachine(self, Limits{})
		for _, role := range []Role{RoleNone, RoleHome, RoleWitness} {
			effects := m.Submit(testStart, role, newSubmission(testStart, "u"))
			if r, ok := effects[0].(Refusal); !ok || r.Reason != ReasonWrongIncarnation {
				t.Errorf("%s as %d: %+v", self, role, effects)
			}
		}
	}
}

func TestBackwardClockRunsNoExpiredKey(t *testing.T) {
	p := newPair(t, Limits{})
	p.submit(homeRef, "u")
	p.finish(homeRef, "u", Outcome{Result: ResultAnswered})
	p.tick(2 * time.Hour)
	if n := p.machines[homeRef].Len(); n != 0 {
		t.Fatalf("%d keys after expiry", n)
	}
	p.now = testStart
	p.submit(homeRef, "u")
	if r := p.lastRefusal(); r != ReasonExpired {
		t.Fatalf("reason %d", r)
	}
}

// A witness whose clock is ahead may grant a claim and then refuse a duplicate of it as expired.
// The refusal must not change the key that the home already runs.
func TestRefusalAfterGrantIsIgnored(t *testing.T) {
	p := newPair(t, Limits{})
	p.submit(homeRef, "u")
	late := Message{Kind: MessageRefuse, Key: Key{Ticket: "t", Unique: "u"}, Outcome: Outcome{Result: ResultRefused, Reason: ReasonExpired}}
	p.apply(homeRef, p.machines[homeRef].Deliver(p.now, witnessRef, late))
	p.finish(homeRef, "u", Outcome{Result: ResultAnswered})
	if o := p.lastAnswer(); o.Result != ResultAnswered {
		t.Fatalf("answer %+v", o)
	}
}

func TestFullWitnessGrantsNothing(t *testing.T) {
	p := newPair(t, Limits{MaxKeys: 1})
	witness := p.machines[witnessRef]
	witness.add(Key{Ticket: "t", Unique: "v"}, testTicket, RoleWitness, Fingerprint{}).state = stateSealed
	p.submit(homeRef, "u")
	for range 60 {
		p.tick(50 * time.Millisecond)
	}
	if len(p.dispatchedAt) != 0 || p.sent[MessageGrant] != 0 || p.sent[MessageSealAck] != 0 {
		t.Fatalf("dispatched at %v, sent %v", p.dispatchedAt, p.sent)
	}
	if o := p.lastAnswer(); o.Result != ResultUnknown {
		t.Fatalf("answer %+v", o)
	}
	p.submit(homeRef, "second")
	if r := p.lastRefusal(); r != ReasonTableFull {
		t.Fatalf("reason %d", r)
	}
}

func TestFullWitnessConfirmsSeals(t *testing.T) {
	p := newPair(t, Limits{MaxKeys: 8})
	witness := p.machines[witnessRef]
	for i := range 8 {
		witness.add(Key{Ticket: "t", Unique: string(rune('a' + i))}, testTicket, RoleWitness, Fingerprint{}).state = stateSealed
	}
	p.submit(homeRef, "u")
	p.apply(homeRef, p.machines[homeRef].Abandon(p.now, Key{Ticket: "t", Unique: "u"}))
	if o := p.machines[homeRef].Lookup(p.now, Key{Ticket: "t", Unique: "u"}); o.Result != ResultNotRun {
		t.Fatalf("outcome %+v", o)
	}
}

func TestStoppingWitnessGrantsWithoutRoom(t *testing.T) {
	p := newPair(t, Limits{MaxKeys: 1})
	witness := p.machines[witnessRef]
	witness.add(Key{Ticket: "t", Unique: "v"}, testTicket, RoleWitness, Fingerprint{}).state = stateSealed
	p.apply(witnessRef, witness.Stop(p.now))
	p.submit(witnessRef, "u")
	if r := p.lastRefusal(); r != ReasonStopping {
		t.Fatalf("reason %d", r)
	}
	p.submit(homeRef, "u")
	if len(p.dispatchedAt) != 1 || p.dispatchedAt[0] != homeRef {
		t.Fatalf("dispatched at %v", p.dispatchedAt)
	}
}

func TestPlannedStopHandsOverOutcomes(t *testing.T) {
	p := newPair(t, Limits{})
	home := p.machines[homeRef]
	p.unreachable[homeRef] = true
	p.submit(homeRef, "claiming")
	p.unreachable[homeRef] = false
	p.submit(homeRef, "running")
	p.unreachable[witnessRef] = true
	p.submit(homeRef, "done")
	p.machines[witnessRef].add(Key{Ticket: "t", Unique: "done"}, testTicket, RoleWitness, Fingerprint{}).state = stateGranted
	p.apply(homeRef, home.Deliver(p.now, witnessRef, Message{Kind: MessageGrant, Key: Key{Ticket: "t", Unique: "done"}}))
	p.finish(homeRef, "done", Outcome{Result: ResultAnswered})
	p.apply(homeRef, home.Stop(p.now))
	if home.Drained() {
		t.Fatal("drained with three keys to settle")
	}
	p.unreachable[witnessRef] = false
	p.finish(homeRef, "running", Outcome{Result: ResultAnswered})
	p.tick(2 * time.Second)
	if !home.Drained() {
		t.Fatalf("not drained: %d timers", len(home.timers.items))
	}
	for unique, want := range map[string]Result{"claiming": ResultNotRun, "running": ResultAnswered, "done": ResultAnswered} {
		if o := p.machines[witnessRef].Lookup(p.now, Key{Ticket: "t", Unique: unique}); o.Result != want {
			t.Errorf("%s at the witness: %+v", unique, o)
		}
	}
	p.submit(homeRef, "new")
	if r := p.lastRefusal(); r != ReasonStopping {
		t.Errorf("new key: reason %d", r)
	}
}

func TestOversizeAnswerIsNotStored(t *testing.T) {
	p := newPair(t, Limits{MaxAnswerBytes: 4})
	p.submit(homeRef, "u")
	p.finish(homeRef, "u", Outcome{Result: ResultAnswered, Answer: []byte("large")})
	if o := p.lastAnswer(); string(o.Answer) != "large" {
		t.Fatalf("waiting caller got %+v", o)
	}
	p.submit(homeRef, "u")
	if o := p.lastAnswer(); o.Result != ResultAnswered || o.Reason != ReasonAnswerDropped || o.Answer != nil {
		t.Fatalf("later caller got %+v", o)
	}
}

// A table at MaxBytes must evict the oldest answers and accept new keys, and keep the record
// that the evicted keys ran.
func TestFullTableDropsOldAnswersBeforeItRefusesKeys(t *testing.T) {
	const (
		answer = 1000
		keys   = 40
		bound  = keys * (entryOverheadBytes + answer) / 2
	)
	p := newPair(t, Limits{MaxBytes: bound, MaxAnswerBytes: answer})
	for i := range keys {
		unique := fmt.Sprintf("u%d", i)
		p.submit(homeRef, unique)
		p.finish(homeRef, unique, Outcome{Result: ResultAnswered, Answer: make([]byte, answer)})
		if o := p.lastAnswer(); o.Result != ResultAnswered {
			t.Fatalf("key %d: %+v", i, o)
		}
		for ref, m := range p.machines {
			if m.Bytes() > bound {
				t.Fatalf("table of %s holds %d bytes, bound %d", ref, m.Bytes(), bound)
			}
		}
	}
	p.submit(homeRef, "u0")
	if o := p.lastAnswer(); o.Result != ResultAnswered || o.Reason != ReasonAnswerDropped {
		t.Errorf("the oldest key: %+v, want that it ran and its answer is gone", o)
	}
	p.submit(homeRef, fmt.Sprintf("u%d", keys-1))
	if o := p.lastAnswer(); len(o.Answer) != answer {
		t.Errorf("the newest key has an answer of %d bytes, want %d", len(o.Answer), answer)
	}
}

// The table's byte estimate must return to zero once all keys have expired, whatever their
// answers were.
func TestTableBytesReturnToZero(t *testing.T) {
	p := newPair(t, Limits{MaxBytes: 20_000, MaxAnswerBytes: 100})
	for i := range 100 {
		unique := string(rune('a' + i*7%26))
		p.submit(homeRef, unique)
		p.finish(homeRef, unique, Outcome{Result: ResultAnswered, Answer: make([]byte, i)})
		for ref, m := range p.machines {
			if m.Bytes() > 20_000*9/8 {
				t.Fatalf("%s holds %d bytes", ref, m.Bytes())
			}
		}
	}
	p.tick(2 * time.Hour)
	for ref, m := range p.machines {
		if m.Bytes() != 0 || m.Len() != 0 {
			t.Errorf("%s: %d bytes, %d keys after expiry", ref, m.Bytes(), m.Len())
		}
	}
}

func TestResendsBackOff(t *testing.T) {
	p := newPair(t, Limits{})
	p.submit(homeRef, "u")
	p.unreachable[witnessRef] = true
	p.finish(homeRef, "u", Outcome{Result: ResultAnswered})
	for range 50 * 60 * 20 {
		p.tick(50 * time.Millisecond)
	}
	if n := p.sent[MessageOutcome]; n < 8 || n > 16 {
		t.Fatalf("%d outcomes sent in 50 minutes", n)
	}
}
