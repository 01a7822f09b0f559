package gateway

import (
	"net/netip"
	"sync"
	"time"
)

// relayInterval is the least time between two datagrams of a relay to its zone: messages that
// come faster are gathered. It is short against the time of a request.
const relayInterval = 10 * time.Millisecond

// relay passes messages on to the instances of its zone: each at once while they are few, and
// together while they are many, so that what an instance receives does not grow with the fleet.
type relay struct {
	send      func(data []byte, to []netip.AddrPort)
	targets   func() []netip.AddrPort
	afterFunc func(after time.Duration, f func()) // Calls f later, on another goroutine.

	mu             sync.Mutex
	pending        []byte // A datagram that is being filled; empty while nothing waits.
	lastSent       time.Time
	flushScheduled bool // due is called within relayInterval.
}

func newRelay(send func(data []byte, to []netip.AddrPort), to func() []netip.AddrPort) *relay {
	return &relay{send: send, targets: to, afterFunc: func(after time.Duration, f func()) { time.AfterFunc(after, f) }}
}

// pass takes a message, without the first byte of its datagram. An urgent one does not wait.
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

// flush sends what waits. The lock is held.
func (r *relay) flush() {
	if len(r.pending) == 0 {
		return
	}
	r.send(r.pending, r.targets())
	r.pending, r.lastSent = r.pending[:0], time.Now()
}
