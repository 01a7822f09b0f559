package storecall

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// Monitor is a store that remembers whether its last call was answered. It is safe for concurrent use.
type Monitor struct {
	store metastore.Store
	now   func() time.Time
	ok    atomic.Bool
	at    atomic.Pointer[time.Time]
}

var _ metastore.Store = (*Monitor)(nil)

// NewMonitor returns store with a memory. now tells the time.
func NewMonitor(store metastore.Store, now func() time.Time) *Monitor {
	return &Monitor{store: store, now: now}
}

// LastCall reports whether the last call was answered, and when a call last was; zero for never.
func (r *Monitor) LastCall() (answered bool, at time.Time) {
	if last := r.at.Load(); last != nil {
		at = *last
	}
	return r.ok.Load(), at
}

// note takes the error of a call. A refusal is an answer; a call that this side gave up says nothing.
func (r *Monitor) note(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	answered := err == nil || errors.Is(err, metastore.ErrNotFound) || errors.Is(err, metastore.ErrConflict) ||
		errors.Is(err, metastore.ErrTooLarge) || errors.Is(err, metastore.ErrLeaseLost)
	r.ok.Store(answered)
	if answered {
		now := r.now()
		r.at.Store(&now)
	}
}

// Get is metastore.Store.Get.
func (r *Monitor) Get(ctx context.Context, key string) (metastore.Value, error) {
	v, err := r.store.Get(ctx, key)
	r.note(err)
	return v, err
}

// CompareAndSwap is metastore.Store.CompareAndSwap.
func (r *Monitor) CompareAndSwap(ctx context.Context, key string, expected metastore.Version, data []byte, lease metastore.LeaseID) (metastore.Version, error) {
	v, err := r.store.CompareAndSwap(ctx, key, expected, data, lease)
	r.note(err)
	return v, err
}

// Watch is metastore.Store.Watch. One that ends with its time has waited in vain, and says nothing.
func (r *Monitor) Watch(ctx context.Context, key string, after metastore.Version) (metastore.Value, error) {
	v, err := r.store.Watch(ctx, key, after)
	if !errors.Is(err, context.DeadlineExceeded) {
		r.note(err)
	}
	return v, err
}

// GrantLease is metastore.Store.GrantLease.
func (r *Monitor) GrantLease(ctx context.Context, ttl time.Duration) (metastore.LeaseID, error) {
	id, err := r.store.GrantLease(ctx, ttl)
	r.note(err)
	return id, err
}

// KeepAlive is metastore.Store.KeepAlive.
func (r *Monitor) KeepAlive(ctx context.Context, lease metastore.LeaseID) error {
	err := r.store.KeepAlive(ctx, lease)
	r.note(err)
	return err
}
