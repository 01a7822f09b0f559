package rollout

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// ShardCount is the number of shards of a snapshot that this release writes.
const ShardCount = 64

// MaxValueBytes bounds an encoded head or shard: it is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Shard is one encoded part of a snapshot.
type Shard struct {
	Digest Digest `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint,omitempty"` // Empty in a message when the sender does not have the shard.
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// DigestOf returns the digest of an encoded shard.
func DigestOf(data []byte) Digest {
	return sha256.Sum256(data)
}

// shardContent is the content of an encoded shard, sorted by name. Revision makes every digest
// unique, so that a digest that was removed from the head is never used again.
type shardContent struct {
	Revision fleet.Revision    `cbor:"3,keyasint"`
	Services []ServiceTemplate `cbor:"1,keyasint,omitempty"`
	Accounts []AccountTemplate `cbor:"2,keyasint,omitempty"`
}

// encoding is deterministic CBOR: equal values have equal bytes and digests.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("deterministic CBOR options: %v", err))
	}
	return mode
}

func bucketOf(name string, buckets int) int {
	return int(xxhash.Sum64String(name) % uint64(buckets))
}

// encodeShards returns the shards of a configuration, indexed by bucket. Buckets for which
// wanted is false are left empty.
func encodeShards(c *Config, buckets int, wanted func(bucket int) bool) ([]Shard, error) {
	contents := make([]shardContent, buckets)
	for b := range contents {
		contents[b].Revision = c.Revision
	}
	for name, t := range c.Services {
		b := bucketOf(string(name), buckets)
		if wanted(b) {
			contents[b].Services = append(contents[b].Services, t)
		}
	}
	for name, t := range c.Accounts {
		b := bucketOf(string(name), buckets)
		if wanted(b) {
			contents[b].Accounts = append(contents[b].Accounts, t)
		}
	}
	shards := make([]Shard, buckets)
	for b := range contents {
		if !wanted(b) {
			continue
		}
		shard, err := encodeShard(contents[b])
		if err != nil {
			return nil, fmt.Errorf("shard %d of %d: %w", b, buckets, err)
		}
		shards[b] = shard
	}
	return shards, nil
}

func encodeShard(content shardContent) (Shard, error) {
	slices.SortFunc(content.Services, func(a, b ServiceTemplate) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(content.Accounts, func(a, b AccountTemplate) int { return cmp.Compare(a.Name, b.Name) })
	data, err := encoding.Marshal(content)
	if err != nil {
		return Shard{}, fmt.Errorf("encode shard: %w", err)
	}
	if len(data) > MaxValueBytes {
		return Shard{}, fmt.Errorf("%w: %d bytes, bound %d", ErrTooLarge, len(data), MaxValueBytes)
	}
	return Shard{Digest: DigestOf(data), Data: data}, nil
}

// Assemble returns the configuration of a head from its shards, which shardOf returns.
// It returns ErrDigestMismatch or ErrMalformed.
func Assemble(h Head, shardOf func(Digest) []byte) (*Config, error) {
	if err := h.validate(); err != nil {
		return nil, err
	}
	if !h.hasChangesSinceSnapshot() {
		return nil, fmt.Errorf("%w: changes after snapshot %d are missing", ErrMalformed, h.SnapshotRevision)
	}
	c := &Config{
		Revision: h.SnapshotRevision,
		Services: make(map[fleet.Service]ServiceTemplate),
		Accounts: make(map[fleet.Account]AccountTemplate),
	}
	names := newInterner()
	for _, d := range h.Shards {
		if err := c.addShard(d, shardOf(d), names); err != nil {
			return nil, err
		}
	}
	for _, change := range h.Changes {
		if change.Revision > c.Revision {
			c = c.With(change, change.Revision)
		}
	}
	return c, nil
}

func (c *Config) addShard(d Digest, data []byte, names *interner) error {
	if DigestOf(data) != d {
		return fmt.Errorf("%w: shard %v, %d bytes", ErrDigestMismatch, d, len(data))
	}
	var content shardContent
	if err := cbor.Unmarshal(data, &content); err != nil {
		return fmt.Errorf("%w: shard %v: %w", ErrMalformed, d, err)
	}
	for _, t := range content.Services {
		c.Services[t.Name] = t
	}
	for _, t := range content.Accounts {
		names.internServices(&t)
		c.Accounts[t.Name] = t
	}
	return nil
}

// interner deduplicates the service names and lists that many client accounts share, to save memory.
type interner struct {
	services map[fleet.Service]fleet.Service
	lists    map[string][]fleet.Service
	key      []byte
}

func newInterner() *interner {
	return &interner{services: make(map[fleet.Service]fleet.Service), lists: make(map[string][]fleet.Service)}
}

func (n *interner) internServices(t *AccountTemplate) {
	n.key = n.key[:0]
	for _, s := range t.Services {
		n.key = append(n.key, s...)
		n.key = append(n.key, 0)
	}
	if list, ok := n.lists[string(n.key)]; ok {
		t.Services = list
		return
	}
	for i, s := range t.Services {
		if shared, ok := n.services[s]; ok {
			t.Services[i] = shared
			continue
		}
		n.services[s] = s
	}
	n.lists[string(n.key)] = t.Services
}
