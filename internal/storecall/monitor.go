package storecall

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// Monitor is a store that records whether its last call was answered. It is safe for concurrent use.
type Monitor struct {
	store      metastore.Store
	now        func() time.Time
	reachable  atomic.Bool
	lastAnswer atomic.Pointer[time.Time]
}

var _ metastore.Store = (*Monitor)(nil)

// NewMonitor returns a Monitor of store. now is the clock.
func NewMonitor(store metastore.Store, now func() time.Time) *Monitor {
	return &Monitor{store: store, now: now}
}

// LastCall reports whether the last call was answered, and when a call was last answered; the zero
// time if none was.
func (m *Monitor) LastCall() (reachable bool, at time.Time) {
	if last := m.lastAnswer.Load(); last != nil {
		at = *last
	}
	return m.reachable.Load(), at
}

// record records the result of a call. An error that the store returned counts as an answer; a call
// that the caller cancelled is ignored.
func (m *Monitor) record(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	reachable := err == nil || errors.Is(err, metastore.ErrNotFound) || errors.Is(err, metastore.ErrConflict) ||
		errors.Is(err, metastore.ErrTooLarge) || errors.Is(err, metastore.ErrLeaseLost)
	m.reachable.Store(reachable)
	if reachable {
		now := m.now()
		m.lastAnswer.Store(&now)
	}
}

// Get implements metastore.Store.
func (m *Monitor) Get(ctx context.Context, key string) (metastore.Value, error) {
	v, err := m.store.Get(ctx, key)
	m.record(err)
	return v, err
}

// CompareAndSwap implements metastore.Store.
func (m *Monitor) CompareAndSwap(ctx context.Context, key string, expected metastore.Version, data []byte, lease metastore.LeaseID) (metastore.Version, error) {
	v, err := m.store.CompareAndSwap(ctx, key, expected, data, lease)
	m.record(err)
	return v, err
}

// Watch implements metastore.Store. One that ends at its deadline saw no change; it is not recorded,
// since that shows neither an answer nor an outage.
func (m *Monitor) Watch(ctx context.Context, key string, after metastore.Version) (metastore.Value, error) {
	v, err := m.store.Watch(ctx, key, after)
	if !errors.Is(err, context.DeadlineExceeded) {
		m.record(err)
	}
	return v, err
}

// GrantLease implements metastore.Store.
func (m *Monitor) GrantLease(ctx context.Context, ttl time.Duration) (metastore.LeaseID, error) {
	id, err := m.store.GrantLease(ctx, ttl)
	m.record(err)
	return id, err
}

// KeepAlive implements metastore.Store.
func (m *Monitor) KeepAlive(ctx context.Context, lease metastore.LeaseID) error {
	err := m.store.KeepAlive(ctx, lease)
	m.record(err)
	return err
}
