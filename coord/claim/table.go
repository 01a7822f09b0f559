package claim

// maxAnswersScanned bounds the answers that are looked at to make room once.
const maxAnswersScanned = 64

// state is how far a key has come at this instance.
type state uint8

const (
	stateClaiming state = iota + 1 // Home: waits for the witness's grant.
	stateSealing                   // Home: will never run it; waits for the witness to confirm.
	stateDeferred                  // Home: the witness runs it.
	stateGranted                   // Witness: the home may run it, this instance never will.
	stateRunning                   // Either: dispatched by this instance.
	stateSealed                    // Nobody ran it or will.
	stateDone                      // It ran, or may have.
)

// Estimated bytes that the table needs besides the texts and answers.
const (
	entryOverheadBytes = 224
	bookOverheadBytes  = 240
)

// book holds the keys of one ticket; they expire together.
type book struct {
	text    string
	ticket  Ticket
	expires int64 // Local time.
	first   *entry
	keys    int
	at      int32
}

func (b *book) dueAt() int64  { return b.expires }
func (b *book) place() *int32 { return &b.at }

// entry is one key.
type entry struct {
	book        *book
	next        *entry // Of the same book.
	unique      string
	outcome     Outcome
	deadline    int64 // Local time of the last deadline among the callers.
	giveUp      int64 // Local time at which a home without a grant gives up.
	resend      int64 // Local time of the next resend.
	due         int64 // Local time of the next timer.
	at          int32
	fingerprint Fingerprint
	state       state
	role        Role
	backoff     uint8
	waiting     bool // Callers wait here.
	known       bool // The other instance has the outcome, or needs none.
}

func (e *entry) dueAt() int64  { return e.due }
func (e *entry) place() *int32 { return &e.at }

func (e *entry) key() Key {
	return Key{Ticket: e.book.text, Unique: e.unique}
}

// final reports whether the outcome is settled.
func (e *entry) final() bool {
	return e.state == stateSealed || e.state == stateDone
}

// entryID finds an entry.
type entryID struct {
	book   *book
	unique string
}

// table holds the entries and counts their bytes.
type table struct {
	books   map[string]*book
	entries map[entryID]*entry
	expiry  queue[*book]
	bytes   int
	answers []*entry // Holders of answers, the oldest first; some have lost theirs meanwhile.
}

func newTable() table {
	return table{
		books:   make(map[string]*book),
		entries: make(map[entryID]*entry),
	}
}

func (t *table) find(key Key) *entry {
	b, ok := t.books[key.Ticket]
	if !ok {
		return nil
	}
	return t.entries[entryID{book: b, unique: key.Unique}]
}

// cost returns the bytes that a new entry for the key would add.
func (t *table) cost(key Key) int {
	cost := entryOverheadBytes + len(key.Unique)
	if _, ok := t.books[key.Ticket]; !ok {
		cost += bookOverheadBytes + len(key.Ticket)
	}
	return cost
}

// add makes an entry for a key that has none.
func (t *table) add(key Key, ticket Ticket) *entry {
	t.bytes += t.cost(key)
	b, ok := t.books[key.Ticket]
	if !ok {
		b = &book{text: key.Ticket, ticket: ticket, expires: ticket.Expires.UnixNano(), at: noPlace}
		t.books[key.Ticket] = b
		t.expiry.set(b)
	}
	e := &entry{book: b, next: b.first, unique: key.Unique, at: noPlace}
	b.first = e
	b.keys++
	t.entries[entryID{book: b, unique: key.Unique}] = e
	return e
}

// keep stores the outcome of an entry; an answer that does not fit is dropped.
func (t *table) keep(e *entry, o Outcome, limits Limits) {
	t.dropAnswer(e)
	if len(o.Answer) <= limits.MaxAnswerBytes {
		t.makeRoom(len(o.Answer), limits.MaxBytes)
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

// dropAnswer forgets the answer of an entry, but not that it ran.
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

// makeRoom drops the oldest answers until more bytes fit under the bound. It keeps those
// that the other instance may not have yet. That a key ran is never dropped before its
// ticket expires, the answer may be: a full table would refuse new keys.
func (t *table) makeRoom(more, bound int) {
	for range min(len(t.answers), maxAnswersScanned) {
		if t.bytes+more <= bound {
			return
		}
		e := t.answers[0]
		t.answers[0] = nil
		t.answers = t.answers[1:]
		if e.final() && !e.known {
			t.answers = append(t.answers, e)
			continue
		}
		t.dropAnswer(e)
	}
}

// drop removes a book with all its entries.
func (t *table) drop(b *book) {
	for e := b.first; e != nil; e = e.next {
		t.bytes -= entryOverheadBytes + len(e.unique) + len(e.outcome.Answer)
		e.outcome.Answer = nil
		delete(t.entries, entryID{book: b, unique: e.unique})
	}
	t.trimAnswers()
	t.bytes -= bookOverheadBytes + len(b.text)
	delete(t.books, b.text)
	t.expiry.remove(b)
}

// trimAnswers forgets the oldest holders that have no answer any more.
func (t *table) trimAnswers() {
	for len(t.answers) > 0 && t.answers[0].outcome.Answer == nil {
		t.answers[0] = nil
		t.answers = t.answers[1:]
	}
}
