package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

const (
	// callTimeout bounds one read from the store.
	callTimeout = 10 * time.Second
	// watchTimeout bounds one watch call, after which the watch is started again. A connection on which a
	// response was lost stays silent, so this is how late a change is noticed after an outage.
	watchTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the delay before a failed watch is retried.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 15 * time.Second
)

func (m *Manager) readHead() {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	value, err := m.store.Get(ctx, m.options.Keys.Head())
	m.postHead(value, err)
}

// postHead passes the result of reading the head to the machine. A missing key gives a zero head.
func (m *Manager) postHead(value metastore.Value, err error) {
	head, err := decodeHead(value, err)
	if errors.Is(err, rollout.ErrMalformed) {
		m.options.Log.Error("configuration head in the store is malformed; the last valid configuration stays active", "error", err.Error())
	}
	m.options.Loop.Post(func(now time.Time) { m.run(now, m.machine.HeadRead(now, head, err)) })
}

func decodeHead(value metastore.Value, err error) (rollout.Head, error) {
	if errors.Is(err, metastore.ErrNotFound) {
		return rollout.Head{}, nil
	}
	if err != nil {
		return rollout.Head{}, fmt.Errorf("read head: %w", err)
	}
	return rollout.DecodeHead(value.Data)
}

func (m *Manager) readShard(digest rollout.Digest) {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	value, err := m.store.Get(ctx, m.options.Keys.Shard(digest))
	m.options.Loop.Post(func(now time.Time) { m.run(now, m.machine.ShardRead(now, digest, value.Data, err)) })
}

// restoreHead brings the store's head up to a configuration that was in force, after the store was restored. Other
// instances may do the same: the first compare-and-swap succeeds.
func (m *Manager) restoreHead(e rollout.RestoreHead) {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	restored, err := m.writeRestored(ctx, e)
	for _, skipped := range restored.Skipped {
		m.options.Log.Error("a change that was accepted after the store was restored is not valid after the changes that the store had lost; it is not in force", "error", skipped.Error())
	}
	switch {
	case errors.Is(err, metastore.ErrConflict):
	case err != nil:
		m.options.Log.Warn("cannot write the configuration that the restored store has lost", "revision", uint64(e.Head.Revision), "error", err.Error())
		return
	case restored.Config != nil:
		m.options.Log.Warn("the store was restored; the configuration that it had lost is written again", "revision", uint64(restored.Head.Revision))
	}
	m.readHead()
}

// writeRestored writes the reconciled head, after its shards. The result is zero if the store lacks nothing.
func (m *Manager) writeRestored(ctx context.Context, e rollout.RestoreHead) (rollout.Restored, error) {
	value, err := m.store.Get(ctx, m.options.Keys.Head())
	stored, err := decodeHead(value, err)
	if err != nil {
		return rollout.Restored{}, err
	}
	restored, ok, err := rollout.Reconcile(stored, e.Head, e.Config, e.Shards)
	if err != nil || !ok {
		return rollout.Restored{}, err
	}
	data, err := rollout.EncodeHead(restored.Head)
	if err != nil {
		return rollout.Restored{}, err
	}
	for _, shard := range restored.Shards {
		_, err := m.store.CompareAndSwap(ctx, m.options.Keys.Shard(shard.Digest), 0, shard.Data, 0)
		if err != nil && !errors.Is(err, metastore.ErrConflict) { // A conflict means that the store has the shard.
			return rollout.Restored{}, fmt.Errorf("write shard %v: %w", shard.Digest, err)
		}
	}
	if _, err := m.store.CompareAndSwap(ctx, m.options.Keys.Head(), value.Version, data, 0); err != nil {
		return rollout.Restored{}, fmt.Errorf("write head of revision %d: %w", restored.Head.Revision, err)
	}
	return restored, nil
}

// watchHead passes the head to the machine each time that it changes, until ctx ends.
func (m *Manager) watchHead(ctx context.Context) {
	watchKey(ctx, m.store, m.options.Keys.Head(), func(value metastore.Value) { m.postHead(value, nil) })
}

// watchKey calls changed each time that a key's value has changed, until ctx ends.
func watchKey(ctx context.Context, store metastore.Store, key string, changed func(metastore.Value)) {
	var after metastore.Version
	backoff := minBackoff
	for ctx.Err() == nil {
		value, err := watchOnce(ctx, store, key, after)
		switch {
		case err == nil && value.Version != after:
			after = value.Version
			backoff = minBackoff
			changed(value)
		case err == nil || errors.Is(err, context.DeadlineExceeded):
			backoff = minBackoff
			pause(ctx, jitter(minBackoff))
		default:
			after = 0 // A store that was restored meanwhile may have given the version to another value.
			pause(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func watchOnce(ctx context.Context, store metastore.Store, key string, after metastore.Version) (metastore.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return store.Watch(ctx, key, after)
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
