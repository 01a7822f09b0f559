// Package metastore defines what the fleet needs from the platform that it runs on: a
// small key-value store with compare-and-swap, leases and watches, and a list of live
// and leaving instances that may be seconds out of date.
//
// Store and List are the interfaces. Package metastore/client implements them over
// HTTP; package metastore/standin emulates the platform, with fault injection.
package metastore

import (
	"context"
	"errors"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Errors of a Store. Any other error comes from the transport and means that the call failed.
var (
	// ErrNotFound means that the key is absent.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the key's version was not the expected one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnknownResult means that a write may or may not have taken effect.
	ErrUnknownResult = errors.New("write result unknown")
	// ErrUnavailable means that the store did not execute the call; nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge means that a value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrLeaseLost means that the lease has expired.
	ErrLeaseLost = errors.New("lease lost")
)

// Version numbers the writes of one key, starting at 1. Zero means that the key is absent.
type Version uint64

// LeaseID identifies a lease of the store.
type LeaseID uint64

// Value is the data and version of a key.
type Value struct {
	Data    []byte
	Version Version
}

// Store is the platform's key-value store. The platform counts every call; a waiting Watch counts as one call.
type Store interface {
	// Get reads a key. It returns ErrNotFound when the key is absent.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes a key whose version is expected, and returns the new version.
	// The key is removed when a non-zero lease expires.
	CompareAndSwap(ctx context.Context, key string, expected Version, data []byte, lease LeaseID) (Version, error)
	// Watch waits until the key's version differs from after, or ctx ends, and returns the key's value.
	Watch(ctx context.Context, key string, after Version) (Value, error)
	// GrantLease returns a lease that expires ttl after its last KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns ErrLeaseLost when the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// Listing is the platform's list of live and leaving instances, which may be out of date.
type Listing struct {
	Version   uint64                             `json:"version"`
	Upstreams map[fleet.Service][]fleet.Upstream `json:"upstreams"`
	Instances []fleet.Instance                   `json:"instances"` // The fleet's own instances, as the platform started them.
}

// List reads the platform's list.
type List interface {
	// Read returns the platform's current list, which may be seconds out of date.
	Read(ctx context.Context) (Listing, error)
}
