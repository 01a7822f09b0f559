package gateway

import (
	"net/netip"
	"sync"
	"time"
)

// relayInterval is the minimum time between two datagrams of a relay to its zone: messages that
// arrive faster are batched. It is short compared with the duration of a request.
const relayInterval = 10 * time.Millisecond

// relay forwards messages to the instances of its zone: at once while there are few, and in batches
// while there are many, so that the number of datagrams that an instance receives doesn't grow with
// the fleet. It is safe for concurrent use.
type relay struct {
	send      func(data []byte, to []netip.AddrPort)
	targets   func() []netip.AddrPort             // The other instances of the zone.
	afterFunc func(after time.Duration, f func()) // Calls f later, on another goroutine.

	mu             sync.Mutex
	pending        []byte // The datagram that is being filled; empty if no message is pending.
	lastSent       time.Time
	flushScheduled bool // flushDue will be called within relayInterval.
}

func newRelay(send func(data []byte, to []netip.AddrPort), to func() []netip.AddrPort) *relay {
	return &relay{send: send, targets: to, afterFunc: func(after time.Duration, f func()) { time.AfterFunc(after, f) }}
}

// forward queues a message, which is given without the first byte of its datagram. An urgent one is
// sent at once, with those that are pending.
func (r *relay) forward(message []byte, urgent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) > 0 && len(r.pending)+len(message) > maxDatagramBytes {
		r.flush()
	}
	if len(r.pending) == 0 {
		r.pending = append(r.pending, datagramMessages)
	}
	r.pending = append(r.pending, message...)
	wait := relayInterval - time.Since(r.lastSent)
	switch {
	case wait <= 0 || urgent:
		r.flush()
	case !r.flushScheduled:
		r.flushScheduled = true
		r.afterFunc(wait, r.flushDue)
	}
}

func (r *relay) flushDue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushScheduled = false
	r.flush()
}

// flush sends the pending messages. The caller holds mu.
func (r *relay) flush() {
	if len(r.pending) == 0 {
		return
	}
	r.send(r.pending, r.targets())
	r.pending, r.lastSent = r.pending[:0], time.Now()
}
