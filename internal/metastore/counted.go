package metastore

import (
	"context"
	"time"
)

// Names of the operations that Counted and CountedList report.
const (
	OpGet            = "get"
	OpCompareAndSwap = "compare-and-swap"
	OpWatch          = "watch"
	OpGrantLease     = "grant-lease"
	OpKeepAlive      = "keep-alive"
	OpList           = "list"
)

// Counted returns a Store that calls count with the operation before each call of s.
// count must be safe for concurrent use.
func Counted(s Store, count func(op string)) Store {
	return &countedStore{store: s, count: count}
}

// CountedList returns a List that calls count with OpList before each call of l.
// count must be safe for concurrent use.
func CountedList(l List, count func(op string)) List {
	return &countedList{list: l, count: count}
}

type countedStore struct {
	store Store
	count func(op string)
}

func (c *countedStore) Get(ctx context.Context, key string) (Value, error) {
	c.count(OpGet)
	return c.store.Get(ctx, key)
}

func (c *countedStore) CompareAndSwap(ctx context.Context, key string, expected Version, data []byte, lease LeaseID) (Version, error) {
	c.count(OpCompareAndSwap)
	return c.store.CompareAndSwap(ctx, key, expected, data, lease)
}

func (c *countedStore) Watch(ctx context.Context, key string, after Version) (Value, error) {
	c.count(OpWatch)
	return c.store.Watch(ctx, key, after)
}

func (c *countedStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c.count(OpGrantLease)
	return c.store.GrantLease(ctx, ttl)
}

func (c *countedStore) KeepAlive(ctx context.Context, lease LeaseID) error {
	c.count(OpKeepAlive)
	return c.store.KeepAlive(ctx, lease)
}

type countedList struct {
	list  List
	count func(op string)
}

func (c *countedList) Read(ctx context.Context) (Listing, error) {
	c.count(OpList)
	return c.list.Read(ctx)
}
