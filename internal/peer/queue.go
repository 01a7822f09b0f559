package peer

import (
	"sync"

	"github.com/damaskcove/damaskcove/internal/wire"
)

// Bounds of the queue of one link.
const (
	maxQueuedMessages = 4096
	maxQueuedBytes    = 16 << 20
	maxQueuedState    = 16 // Messages of one kind of state.
)

// item is one encoded message that waits for its link.
type item struct {
	kind wire.Kind
	data []byte
}

// queue holds the messages of one link, oldest first. It is safe for concurrent use.
type queue struct {
	mu    sync.Mutex
	items []item
	bytes int
	ready chan struct{} // Holds one token while items may be non-empty.
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// supersedes reports whether only the newest messages of the kind matter.
func supersedes(kind wire.Kind) bool {
	switch kind {
	case wire.KindMembership, wire.KindListing, wire.KindEvidence, wire.KindDecision:
		return true
	default:
		return false
	}
}

// push adds a message and returns how many older ones it displaced, and whether it was taken.
func (q *queue) push(it item) (dropped int, taken bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if supersedes(it.kind) {
		dropped = q.trim(it.kind)
	}
	if len(q.items) >= maxQueuedMessages || q.bytes+len(it.data) > maxQueuedBytes {
		return dropped, false
	}
	q.items = append(q.items, it)
	q.bytes += len(it.data)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return dropped, true
}

// trim removes the oldest message of a kind of state when the kind is at its bound.
func (q *queue) trim(kind wire.Kind) int {
	count := 0
	oldest := -1
	for i, it := range q.items {
		if it.kind != kind {
			continue
		}
		if oldest < 0 {
			oldest = i
		}
		count++
	}
	if count < maxQueuedState {
		return 0
	}
	q.bytes -= len(q.items[oldest].data)
	q.items = append(q.items[:oldest], q.items[oldest+1:]...)
	return 1
}

// pop returns the oldest message.
func (q *queue) pop() (item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return item{}, false
	}
	it := q.items[0]
	q.items[0] = item{}
	q.items = q.items[1:]
	q.bytes -= len(it.data)
	return it, true
}

// clear drops everything and returns how many messages there were.
func (q *queue) clear() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := len(q.items)
	q.items = nil
	q.bytes = 0
	return count
}

// length returns how many messages wait.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}
