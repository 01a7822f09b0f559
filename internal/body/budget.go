package body

import (
	"errors"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/coord/admission"
)

// SlowAfter is how long a body may arrive before it yields to others: senders on usual links are done
// within it.
const SlowAfter = 2 * time.Second

// ErrNoRoom is returned for a body that the budget has no room for.
var ErrNoRoom = errors.New("too many bytes of requests are in service")

// Budget bounds the bytes of the bodies that are received or in service. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	bodies  *admission.Bodies[*incoming]
	refused int64
	yielded int64
	peak    int64
}

// NewBudget returns a budget of a number of bytes; 0: no limit.
func NewBudget(bytes int64) *Budget {
	return &Budget{bodies: admission.NewBodies[*incoming](bytes, SlowAfter)}
}

// Counts are a budget's figures.
type Counts struct {
	Reserved int64 // Bytes of the bodies that are received or in service.
	Peak     int64 // Most bytes reserved at a time.
	Limit    int64 // 0: none.
	Refused  int64 // Bodies that did not fit.
	Yielded  int64 // Bodies that arrived slowly and yielded to others.
}

// Counts returns the budget's figures.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{Reserved: b.bodies.Reserved(), Peak: b.peak, Limit: b.bodies.Limit(), Refused: b.refused, Yielded: b.yielded}
}

// incoming is a body that is received or in service.
type incoming struct {
	budget    *Budget
	entry     *admission.Body[*incoming]
	interrupt func()
	yielded   bool
}

func (b *Budget) begin(interrupt func()) *incoming {
	in := &incoming{budget: b, interrupt: interrupt}
	b.mu.Lock()
	defer b.mu.Unlock()
	in.entry = b.bodies.Begin(time.Now(), in)
	return in
}

func (in *incoming) reserve(bytes int) bool {
	b := in.budget
	b.mu.Lock()
	ok, yielded := b.bodies.Reserve(time.Now(), in.entry, int64(bytes))
	if !ok && !in.yielded {
		b.refused++
	}
	for _, slow := range yielded {
		slow.Owner.yielded = true
		b.yielded++
	}
	b.peak = max(b.peak, b.bodies.Reserved())
	b.mu.Unlock()
	for _, slow := range yielded {
		slow.Owner.interrupt()
	}
	return ok
}

// received records the end of the receiving, and reports whether the body has not yielded.
func (in *incoming) received() bool {
	in.budget.mu.Lock()
	defer in.budget.mu.Unlock()
	return in.budget.bodies.Received(in.entry)
}

func (in *incoming) hasYielded() bool {
	in.budget.mu.Lock()
	defer in.budget.mu.Unlock()
	return in.yielded
}

func (in *incoming) release() {
	in.budget.mu.Lock()
	defer in.budget.mu.Unlock()
	in.budget.bodies.Release(in.entry)
}
