package endpoints

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// Bounds of the attempts that wait for the control goroutine.
const (
	attemptShards   = 16
	attemptsInShard = 4096
)

// attempt is one attempt on an endpoint of a service.
type attempt struct {
	service fleet.Service
	health.Attempt
}

// attemptShard is one part of the waiting attempts.
type attemptShard struct {
	mu       sync.Mutex
	attempts []attempt
	_        [64]byte // Keeps shards on cache lines of their own.
}

// attempts gathers what traffic goroutines saw. A full shard drops and counts.
type attempts struct {
	shards  [attemptShards]attemptShard
	dropped atomic.Uint64
}

func (a *attempts) add(service fleet.Service, seen health.Attempt) {
	shard := &a.shards[rand.Uint32()%attemptShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if len(shard.attempts) >= attemptsInShard {
		a.dropped.Add(1)
		return
	}
	shard.attempts = append(shard.attempts, attempt{service: service, Attempt: seen})
}

// take hands every waiting attempt to f.
func (a *attempts) take(f func(attempt)) {
	for i := range a.shards {
		for _, seen := range a.shards[i].take() {
			f(seen)
		}
	}
}

func (s *attemptShard) take() []attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.attempts
	s.attempts = nil
	return taken
}
