// Package metastore is what the fleet needs of the platform it runs on: a small
// key-value store with compare-and-swap, leases and watches, and a list of live
// and leaving instances that lags.
//
// Store and List are the interfaces. Package metastore/client reaches the platform
// over HTTP; package platform/standin is a stand-in of the platform with faults.
package metastore

import (
	"context"
	"errors"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Errors of a Store. Others wrap what the transport said and mean that the call failed.
var (
	// ErrNotFound says that the key holds nothing.
	ErrNotFound = errors.New("key not found")
	// ErrConflict says that the key's version was not the expected one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnknownResult says that a write may or may not have taken effect.
	ErrUnknownResult = errors.New("write result unknown")
	// ErrUnavailable says that the store did not take the call; nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge says that a value is over MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrLeaseLost says that the lease has lapsed.
	ErrLeaseLost = errors.New("lease lost")
)

// Version numbers the writes of one key, starting at 1. Zero means that the key is absent.
type Version uint64

// LeaseID names a lease of the store.
type LeaseID uint64

// Value is what a key holds.
type Value struct {
	Data    []byte
	Version Version
}

// Store is the platform's key-value store. Every call is counted by the platform, a waiting Watch as one.
type Store interface {
	// Get reads a key. It returns ErrNotFound when the key is absent.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes a key whose version is expected, and returns the new version.
	// A non-zero lease removes the key when the lease lapses.
	CompareAndSwap(ctx context.Context, key string, expected Version, data []byte, lease LeaseID) (Version, error)
	// Watch waits until the key's version is not after, or ctx ends, and returns the value then held.
	Watch(ctx context.Context, key string, after Version) (Value, error)
	// GrantLease returns a lease that lapses ttl after its last KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns ErrLeaseLost when the lease has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// Listing is the platform's list of live and leaving instances. It lags.
type Listing struct {
	Version   uint64                             `json:"version"`
	Upstreams map[fleet.Service][]fleet.Upstream `json:"upstreams"`
	Instances []fleet.Instance                   `json:"instances"` // The fleet's own, as the platform started them.
}

// List reads the platform's list.
type List interface {
	// Read returns the list as the platform sees it now, which may be seconds old.
	Read(ctx context.Context) (Listing, error)
}
