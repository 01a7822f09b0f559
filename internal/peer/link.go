package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Times of a link.
const (
	dialTimeout    = 2 * time.Second
	writeTimeout   = 2 * time.Second
	reconnectFirst = 50 * time.Millisecond
	reconnectMost  = 2 * time.Second
	// checkInterval is the time between two checks that what was sent has arrived.
	checkInterval = 2 * time.Second
	checkTimeout  = time.Second
	// IdleTimeout is how long a link stays open without a message.
	IdleTimeout = 60 * time.Second
)

// link is the sending side of one direction, to one life of an instance.
type link struct {
	links    *Links
	to       fleet.Ref
	queue    *queue
	up       atomic.Bool
	tried    atomic.Bool // Set once a dial has ended.
	failures int
}

// run dials, writes what is queued and dials again with jitter, until ctx ends or the link is idle.
func (l *link) run(ctx context.Context) {
	defer l.links.forget(l)
	for ctx.Err() == nil {
		conn, err := l.dial(ctx)
		l.tried.Store(true)
		if err != nil {
			l.links.count.dialFailed.Add(1)
			if !l.backOff(ctx) {
				return
			}
			continue
		}
		l.failures = 0
		l.up.Store(true)
		idle := l.write(ctx, conn)
		l.up.Store(false)
		_ = conn.CloseNow()
		if idle && l.links.retire(l) {
			return
		}
	}
}

// backOff drops what is queued, as it would be stale after the wait, and waits. It
// returns false when the instance is no longer known.
func (l *link) backOff(ctx context.Context) bool {
	l.failures++
	l.links.count.dropped.Add(int64(l.queue.clear()))
	if _, known := l.links.resolve(l.to); !known {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(reconnectWait(l.failures)):
		return true
	}
}

// reconnectWait returns the wait after a number of failures in a row, between half
// and all of an exponential bound.
func reconnectWait(failures int) time.Duration {
	bound := reconnectFirst << min(failures, 10)
	bound = min(bound, reconnectMost)
	return bound/2 + rand.N(bound/2)
}

func (l *link) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	target, known := l.links.resolve(l.to)
	if !known {
		return nil, errUnknownInstance
	}
	if l.links.blocked(l.to) {
		return nil, errLinkBlocked
	}
	conn, err := l.links.dial(ctx, target)
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, l.links.helloBytes); err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return conn, nil
}

// write sends what is queued until the connection fails or ctx ends (false), or the link is idle (true).
func (l *link) write(ctx context.Context, conn *websocket.Conn) (idle bool) {
	closed := conn.CloseRead(ctx)
	timer := time.NewTimer(IdleTimeout)
	defer timer.Stop()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	unchecked := false
	for {
		select {
		case <-closed.Done():
			return false
		case <-timer.C:
			return true
		case <-check.C:
			if unchecked && !l.check(ctx, conn) {
				return false
			}
			unchecked = false
		case <-l.queue.ready:
			if !l.flush(ctx, conn) {
				return false
			}
			unchecked = true
			timer.Reset(IdleTimeout)
		}
	}
}

// check asks the other side for a sign of life. A direction that loses everything does not answer.
func (l *link) check(ctx context.Context, conn *websocket.Conn) bool {
	if l.links.blocked(l.to) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return conn.Ping(ctx) == nil
}

// flush writes every queued message. A blocked link loses them, as a dead direction would.
func (l *link) flush(ctx context.Context, conn *websocket.Conn) bool {
	for {
		it, ok := l.queue.pop()
		if !ok {
			return true
		}
		if l.links.blocked(l.to) {
			l.links.count.dropped.Add(1)
			continue
		}
		if !l.writeOne(ctx, conn, it) {
			return false
		}
	}
}

func (l *link) writeOne(ctx context.Context, conn *websocket.Conn, it item) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, it.data); err != nil {
		l.links.count.dropped.Add(1)
		return false
	}
	l.links.count.sent.Add(1)
	l.links.count.sentBytes.Add(int64(len(it.data)))
	return true
}
