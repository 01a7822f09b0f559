package peer

import (
	"sync"

	"github.com/damaskcove/damaskcove/internal/wire"
)

// Limits of a link's queue.
const (
	maxQueuedMessages = 4096
	maxQueuedBytes    = 16 << 20
	maxQueuedState    = 16 // Messages of each kind for which keepsNewest is true.
)

// item is an encoded message in a queue.
type item struct {
	kind wire.Kind
	data []byte
}

// queue is the send queue of a link, oldest message first. It is safe for concurrent use.
type queue struct {
	mu    sync.Mutex
	items []item
	bytes int
	ready chan struct{} // Signals that items may be non-empty.
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// keepsNewest reports whether messages of the kind carry state, of which only the newest matter.
func keepsNewest(kind wire.Kind) bool {
	switch kind {
	case wire.KindMembership, wire.KindListing, wire.KindEvidence, wire.KindDecision:
		return true
	default:
		return false
	}
}

// push appends a message. It returns how many older ones were dropped for it, and whether the
// message was queued.
func (q *queue) push(it item) (dropped int, queued bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if keepsNewest(it.kind) {
		dropped = q.dropOldest(it.kind)
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

// dropOldest removes the oldest message of a kind if the queue holds maxQueuedState of them. It
// returns the number of removed messages.
func (q *queue) dropOldest(kind wire.Kind) int {
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

// pop removes and returns the oldest message.
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

// clear drops all messages and returns their number.
func (q *queue) clear() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := len(q.items)
	q.items = nil
	q.bytes = 0
	return count
}

// length returns the number of queued messages.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}
