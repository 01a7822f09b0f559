// Package storecall reaches the platform's store on behalf of a duty: each call is
// counted under the duty's name, and each instance keeps to a budget of calls that
// falls as the fleet grows.
package storecall

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// Calls counts the calls of the store by duty, and "refused" those over the budget.
// It is published as "store_calls".
var Calls = expvar.NewMap("store_calls")

// Bounds of a Budget.
const (
	// FleetCallsPerSecond is the rate that the instances of a fleet share.
	FleetCallsPerSecond = 200.0
	// MinCallsPerSecond is what an instance may use in a fleet of any size.
	MinCallsPerSecond = 0.2
	// BurstSeconds is the time of which an instance may use the rate at once.
	BurstSeconds = 30.0
	// MinBurst is the burst of an instance in a fleet of any size: enough to read a
	// whole configuration once.
	MinBurst = 100.0
)

// ErrOverBudget says that a call was over the instance's budget and was not made.
var ErrOverBudget = errors.New("over the budget of store calls")

// Budget bounds the store calls of one instance. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	rate   float64 // Calls a second.
	tokens float64
	last   time.Time
	now    func() time.Time
}

// NewBudget returns a budget for a fleet of one instance. now tells the time.
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

// Rate returns the calls a second that the instance may make.
func (b *Budget) Rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate
}

func (b *Budget) burst() float64 {
	return max(b.rate*BurstSeconds, MinBurst)
}

// take reports whether a call may be made now, and counts it against the budget.
func (b *Budget) take() bool {
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

// Store counts the calls of one duty and keeps them within a budget.
type Store struct {
	store  metastore.Store
	duty   string
	budget *Budget
}

// New returns a store for one duty. A nil budget does not bound it.
func New(store metastore.Store, duty string, budget *Budget) *Store {
	return &Store{store: store, duty: duty, budget: budget}
}

func (s *Store) admit() error {
	if s.budget != nil && !s.budget.take() {
		Calls.Add("refused", 1)
		return ErrOverBudget
	}
	Calls.Add(s.duty, 1)
	return nil
}

// Get is metastore.Store.Get.
func (s *Store) Get(ctx context.Context, key string) (metastore.Value, error) {
	if err := s.admit(); err != nil {
		return metastore.Value{}, err
	}
	return s.store.Get(ctx, key)
}

// CompareAndSwap is metastore.Store.CompareAndSwap.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected metastore.Version, data []byte, lease metastore.LeaseID) (metastore.Version, error) {
	if err := s.admit(); err != nil {
		return 0, err
	}
	return s.store.CompareAndSwap(ctx, key, expected, data, lease)
}

// Watch is metastore.Store.Watch.
func (s *Store) Watch(ctx context.Context, key string, after metastore.Version) (metastore.Value, error) {
	if err := s.admit(); err != nil {
		return metastore.Value{}, err
	}
	return s.store.Watch(ctx, key, after)
}

// GrantLease is metastore.Store.GrantLease.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (metastore.LeaseID, error) {
	if err := s.admit(); err != nil {
		return 0, err
	}
	return s.store.GrantLease(ctx, ttl)
}

// KeepAlive is metastore.Store.KeepAlive.
func (s *Store) KeepAlive(ctx context.Context, lease metastore.LeaseID) error {
	if err := s.admit(); err != nil {
		return err
	}
	return s.store.KeepAlive(ctx, lease)
}
