// Package storecall wraps calls to the platform's store: it counts the calls of each component, keeps
// each instance within a token bucket whose rate falls as the fleet grows, and records whether the
// store is reachable.
package storecall

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// Calls counts the calls to the store by component, such as "membership", and under "refused" those
// that were over the budget. It also has the reads of the platform's list by the listing component,
// which have no budget, under "listing." and the operation. It is published as "store_calls".
var Calls = expvar.NewMap("store_calls")

// Parameters of a Budget.
const (
	// FleetCallsPerSecond is the rate that is divided among the instances of a fleet.
	FleetCallsPerSecond = 200.0
	// MinCallsPerSecond is the lowest rate of an instance, whatever the size of the fleet.
	MinCallsPerSecond = 0.2
	// BurstSeconds is the burst of an instance, in seconds of its rate.
	BurstSeconds = 30.0
	// MinBurst is the smallest burst of an instance, in calls: enough to read a complete
	// configuration once.
	MinBurst = 100.0
)

// ErrOverBudget is returned when a call was not made because the instance's budget is exhausted.
var ErrOverBudget = errors.New("over the budget of store calls")

// Budget is the token bucket for the store calls of one instance. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	rate   float64 // Calls per second.
	tokens float64
	last   time.Time
	now    func() time.Time
}

// NewBudget returns a full budget for a fleet of one instance. now is the clock.
func NewBudget(now func() time.Time) *Budget {
	b := &Budget{now: now, last: now()}
	b.SetFleetSize(1)
	b.tokens = b.burst()
	return b
}

// SetFleetSize sets the number of instances that share the rate.
func (b *Budget) SetFleetSize(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = max(FleetCallsPerSecond/float64(max(instances, 1)), MinCallsPerSecond)
}

// Rate returns the instance's rate in calls per second.
func (b *Budget) Rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate
}

func (b *Budget) burst() float64 {
	return max(b.rate*BurstSeconds, MinBurst)
}

// allow reports whether a call may be made now, and takes a token if so.
func (b *Budget) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.tokens = min(b.tokens+b.rate*max(now.Sub(b.last).Seconds(), 0), b.burst())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Store counts the calls of one component and rejects those over the budget.
type Store struct {
	store     metastore.Store
	component string
	budget    *Budget
}

// New returns the store of one component. A nil budget means no limit.
func New(store metastore.Store, component string, budget *Budget) *Store {
	return &Store{store: store, component: component, budget: budget}
}

func (s *Store) admit() error {
	if s.budget != nil && !s.budget.allow() {
		Calls.Add("refused", 1)
		return ErrOverBudget
	}
	Calls.Add(s.component, 1)
	return nil
}

// Get implements metastore.Store.
func (s *Store) Get(ctx context.Context, key string) (metastore.Value, error) {
	if err := s.admit(); err != nil {
		return metastore.Value{}, err
	}
	return s.store.Get(ctx, key)
}

// CompareAndSwap implements metastore.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected metastore.Version, data []byte, lease metastore.LeaseID) (metastore.Version, error) {
	if err := s.admit(); err != nil {
		return 0, err
	}
	return s.store.CompareAndSwap(ctx, key, expected, data, lease)
}

// Watch implements metastore.Store.
func (s *Store) Watch(ctx context.Context, key string, after metastore.Version) (metastore.Value, error) {
	if err := s.admit(); err != nil {
		return metastore.Value{}, err
	}
	return s.store.Watch(ctx, key, after)
}

// GrantLease implements metastore.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (metastore.LeaseID, error) {
	if err := s.admit(); err != nil {
		return 0, err
	}
	return s.store.GrantLease(ctx, ttl)
}

// KeepAlive implements metastore.Store.
func (s *Store) KeepAlive(ctx context.Context, lease metastore.LeaseID) error {
	if err := s.admit(); err != nil {
		return err
	}
	return s.store.KeepAlive(ctx, lease)
}
