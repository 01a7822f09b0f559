package endpoints

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// Bounds of the buffered attempts.
const (
	attemptShards       = 16
	maxAttemptsPerShard = 4096
)

// attempt is one attempt on an endpoint of a service.
type attempt struct {
	service fleet.Service
	health.Attempt
}

// attemptShard is one independently locked part of the buffer.
type attemptShard struct {
	mu       sync.Mutex
	attempts []attempt
	_        [64]byte // Keeps shards on cache lines of their own.
}

// attemptBuffer holds the attempts reported by traffic goroutines until the control goroutine
// drains them. An attempt for a full shard is dropped and counted.
type attemptBuffer struct {
	shards  [attemptShards]attemptShard
	dropped atomic.Uint64
}

func (b *attemptBuffer) add(service fleet.Service, observed health.Attempt) {
	shard := &b.shards[rand.Uint32()%attemptShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if len(shard.attempts) >= maxAttemptsPerShard {
		b.dropped.Add(1)
		return
	}
	shard.attempts = append(shard.attempts, attempt{service: service, Attempt: observed})
}

// drain removes every buffered attempt and calls f with it.
func (b *attemptBuffer) drain(f func(attempt)) {
	for i := range b.shards {
		for _, observed := range b.shards[i].drain() {
			f(observed)
		}
	}
}

func (s *attemptShard) drain() []attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	drained := s.attempts
	s.attempts = nil
	return drained
}
