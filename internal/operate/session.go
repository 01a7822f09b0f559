package operate

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/storekeys"
)

// retiredShardTTL is how long a shard stays readable after the head stops referring to it.
const retiredShardTTL = time.Hour

// session reads and writes the configuration of one fleet in the store.
type session struct {
	store metastore.Store
	keys  storekeys.Keys
}

// state is the configuration in the store, with the version of its head.
type state struct {
	head    rollout.Head
	version metastore.Version
	config  *rollout.Config // Nil if there is none yet.
}

func (s session) load(ctx context.Context) (state, error) {
	value, err := s.store.Get(ctx, s.keys.Head())
	if errors.Is(err, metastore.ErrNotFound) {
		return state{head: rollout.Head{Fleet: s.keys.Fleet}}, nil
	}
	if err != nil {
		return state{}, fmt.Errorf("read head: %w", err)
	}
	head, err := rollout.DecodeHead(value.Data)
	if err != nil {
		return state{}, err
	}
	if head.Fleet != s.keys.Fleet {
		return state{}, fmt.Errorf("%w: head belongs to fleet %q, not %q", rollout.ErrMalformed, head.Fleet, s.keys.Fleet)
	}
	config, err := s.assemble(ctx, head)
	return state{head: head, version: value.Version, config: config}, err
}

func (s session) assemble(ctx context.Context, head rollout.Head) (*rollout.Config, error) {
	shards := make(map[rollout.Digest][]byte, len(head.Shards))
	for _, d := range head.Shards {
		value, err := s.store.Get(ctx, s.keys.Shard(d))
		if err != nil {
			return nil, fmt.Errorf("read shard %v of revision %d: %w", d, head.SnapshotRevision, err)
		}
		shards[d] = value.Data
	}
	return rollout.Assemble(head, func(d rollout.Digest) []byte { return shards[d] })
}

// commit writes the shards first, so that they are readable when it swaps the head.
func (s session) commit(ctx context.Context, current state, next rollout.Head, shards []rollout.Shard) error {
	data, err := rollout.EncodeHead(next)
	if err != nil {
		return err
	}
	for _, shard := range shards {
		if err := s.writeShard(ctx, shard); err != nil {
			return err
		}
	}
	if _, err := s.store.CompareAndSwap(ctx, s.keys.Head(), current.version, data, 0); err != nil {
		return fmt.Errorf("write head of revision %d: %w", next.Revision, err)
	}
	return nil
}

// writeShard writes a shard unless it exists. A conflict is no error, because the key is the digest of the content.
func (s session) writeShard(ctx context.Context, shard rollout.Shard) error {
	_, err := s.store.CompareAndSwap(ctx, s.keys.Shard(shard.Digest), 0, shard.Data, 0)
	if err != nil && !errors.Is(err, metastore.ErrConflict) {
		return fmt.Errorf("write shard %v: %w", shard.Digest, err)
	}
	return nil
}

// retire attaches a lease to shards that the head no longer refers to, so that they expire. The
// digest of a retired shard never returns to the head. Errors are ignored, because a shard
// that stays only takes up space.
func (s session) retire(ctx context.Context, digests []rollout.Digest) {
	if len(digests) == 0 {
		return
	}
	lease, err := s.store.GrantLease(ctx, retiredShardTTL)
	if err != nil {
		return
	}
	for _, d := range digests {
		value, err := s.store.Get(ctx, s.keys.Shard(d))
		if err != nil {
			continue
		}
		_, _ = s.store.CompareAndSwap(ctx, s.keys.Shard(d), value.Version, value.Data, lease)
	}
}
