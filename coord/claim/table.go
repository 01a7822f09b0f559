package claim

// maxAnswersScanned bounds the answers that one call of evictAnswers examines.
const maxAnswersScanned = 64

// state is the progress of a key at this instance.
type state uint8

const (
	stateClaiming state = iota + 1 // Home: waits for the witness's grant.
	stateSealing                   // Home: will never run the key; waits for the witness to confirm the seal.
	stateDeferred                  // Home: the witness is running the key.
	stateGranted                   // Witness: the home may run the key, this instance never will.
	stateRunning                   // Home or witness: dispatched by this instance.
	stateSealed                    // No instance ran the key or will run it.
	stateDone                      // The key ran, or may have run.
)

// Estimated bytes of an entry and of a ticketGroup besides their texts and answers.
const (
	entryOverheadBytes = 224
	groupOverheadBytes = 240
)

// ticketGroup holds the keys of one ticket; they expire together.
type ticketGroup struct {
	text    string
	ticket  Ticket
	expires int64 // Local time.
	first   *entry
	keys    int
	index   int32
}

func (g *ticketGroup) dueAt() int64      { return g.expires }
func (g *ticketGroup) heapIndex() *int32 { return &g.index }

// entry is one key.
type entry struct {
	group          *ticketGroup
	next           *entry // In the same group.
	unique         string
	outcome        Outcome
	deadline       int64 // Local time of the latest deadline among the callers.
	claimDeadline  int64 // Local time at which a home without a grant seals the key.
	resendAt       int64 // Local time of the next resend.
	due            int64 // Local time at which the entry's timer fires.
	index          int32
	fingerprint    Fingerprint
	state          state
	role           Role
	backoff        uint8
	waiting        bool // Callers wait for the outcome at this instance.
	peerHasOutcome bool // Also set if there is no other instance.
}

func (e *entry) dueAt() int64      { return e.due }
func (e *entry) heapIndex() *int32 { return &e.index }

func (e *entry) key() Key {
	return Key{Ticket: e.group.text, Unique: e.unique}
}

// settled reports whether the outcome is final.
func (e *entry) settled() bool {
	return e.state == stateSealed || e.state == stateDone
}

// entryID is the map key of an entry.
type entryID struct {
	group  *ticketGroup
	unique string
}

// table holds the entries and estimates the bytes that they use.
type table struct {
	groups  map[string]*ticketGroup
	entries map[entryID]*entry
	expiry  timerQueue[*ticketGroup]
	bytes   int
	answers []*entry // Entries with stored answers, oldest first; some answers have been dropped since.
}

func newTable() table {
	return table{
		groups:  make(map[string]*ticketGroup),
		entries: make(map[entryID]*entry),
	}
}

func (t *table) find(key Key) *entry {
	g, ok := t.groups[key.Ticket]
	if !ok {
		return nil
	}
	return t.entries[entryID{group: g, unique: key.Unique}]
}

// cost returns the estimated bytes that a new entry for the key would add.
func (t *table) cost(key Key) int {
	cost := entryOverheadBytes + len(key.Unique)
	if _, ok := t.groups[key.Ticket]; !ok {
		cost += groupOverheadBytes + len(key.Ticket)
	}
	return cost
}

// add adds an entry for a key that has none.
func (t *table) add(key Key, ticket Ticket) *entry {
	t.bytes += t.cost(key)
	g, ok := t.groups[key.Ticket]
	if !ok {
		g = &ticketGroup{text: key.Ticket, ticket: ticket, expires: ticket.Expires.UnixNano(), index: notQueued}
		t.groups[key.Ticket] = g
		t.expiry.set(g)
	}
	e := &entry{group: g, next: g.first, unique: key.Unique, index: notQueued}
	g.first = e
	g.keys++
	t.entries[entryID{group: g, unique: key.Unique}] = e
	return e
}

// storeOutcome stores the outcome of an entry, without its answer if that does not fit.
func (t *table) storeOutcome(e *entry, o Outcome, limits Limits) {
	t.dropAnswer(e)
	if len(o.Answer) <= limits.MaxAnswerBytes {
		t.evictAnswers(len(o.Answer), limits.MaxBytes)
	}
	e.outcome = o
	t.bytes += len(o.Answer)
	if len(o.Answer) > limits.MaxAnswerBytes || t.bytes > limits.MaxBytes {
		t.dropAnswer(e)
		return
	}
	if len(o.Answer) > 0 {
		t.answers = append(t.answers, e)
	}
}

// dropAnswer removes the answer of an entry, but not the record that it ran.
func (t *table) dropAnswer(e *entry) {
	if e.outcome.Answer == nil {
		return
	}
	t.bytes -= len(e.outcome.Answer)
	e.outcome.Answer = nil
	if e.outcome.Result == ResultAnswered {
		e.outcome.Reason = ReasonAnswerDropped
	}
}

// evictAnswers drops the oldest answers until the needed bytes fit under the bound. It keeps
// answers that the other instance may not have yet. The record that a key ran stays until its
// ticket expires; only the answer may go earlier, since a full table would refuse new keys.
func (t *table) evictAnswers(needed, bound int) {
	for range min(len(t.answers), maxAnswersScanned) {
		if t.bytes+needed <= bound {
			return
		}
		e := t.answers[0]
		t.answers[0] = nil
		t.answers = t.answers[1:]
		if e.settled() && !e.peerHasOutcome {
			t.answers = append(t.answers, e)
			continue
		}
		t.dropAnswer(e)
	}
}

// removeGroup removes a ticket's group with all its entries.
func (t *table) removeGroup(g *ticketGroup) {
	for e := g.first; e != nil; e = e.next {
		t.bytes -= entryOverheadBytes + len(e.unique) + len(e.outcome.Answer)
		e.outcome.Answer = nil
		delete(t.entries, entryID{group: g, unique: e.unique})
	}
	t.trimAnswers()
	t.bytes -= groupOverheadBytes + len(g.text)
	delete(t.groups, g.text)
	t.expiry.remove(g)
}

// trimAnswers removes the entries at the front of the list that have no answer any more.
func (t *table) trimAnswers() {
	for len(t.answers) > 0 && t.answers[0].outcome.Answer == nil {
		t.answers[0] = nil
		t.answers = t.answers[1:]
	}
}
