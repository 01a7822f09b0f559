package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

const (
	dialTimeout           = 2 * time.Second
	writeTimeout          = 2 * time.Second
	initialReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay     = 2 * time.Second
	// pingInterval is the time between pings that confirm a link on which messages were sent.
	pingInterval = 2 * time.Second
	pingTimeout  = time.Second
	// IdleTimeout is the time without a message after which a link is closed.
	IdleTimeout = 60 * time.Second
)

// link is the outgoing link to one incarnation of an instance.
type link struct {
	links    *Links
	to       fleet.Ref
	queue    *queue
	up       atomic.Bool
	dialed   atomic.Bool // Set after the first dial has ended.
	failures int
}

// run dials, writes the queued messages and redials with jitter, until ctx ends, the link is
// idle or the instance is no longer known.
func (l *link) run(ctx context.Context) {
	defer l.links.removeLink(l)
	for ctx.Err() == nil {
		conn, err := l.dial(ctx)
		l.dialed.Store(true)
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
		if idle && l.links.removeIfIdle(l) {
			return
		}
	}
}

// backOff drops the queued messages, which would be stale after the delay, and waits. It
// returns false if ctx ends or the instance is no longer known.
func (l *link) backOff(ctx context.Context) bool {
	l.failures++
	l.links.count.dropped.Add(int64(l.queue.clear()))
	if _, known := l.links.resolve(l.to); !known {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(reconnectDelay(l.failures)):
		return true
	}
}

// reconnectDelay returns the delay after a number of consecutive failures: an exponential
// backoff with jitter, between half of its bound and the bound.
func reconnectDelay(failures int) time.Duration {
	bound := initialReconnectDelay << min(failures, 10)
	bound = min(bound, maxReconnectDelay)
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

// write sends queued messages. It returns false when the connection fails or ctx ends, and
// true when the link is idle.
func (l *link) write(ctx context.Context, conn *websocket.Conn) (idle bool) {
	closed := conn.CloseRead(ctx)
	timer := time.NewTimer(IdleTimeout)
	defer timer.Stop()
	pingTicker := time.NewTicker(pingInterval)
	defer pingTicker.Stop()
	unconfirmed := false
	for {
		select {
		case <-closed.Done():
			return false
		case <-timer.C:
			return true
		case <-pingTicker.C:
			if unconfirmed && !l.ping(ctx, conn) {
				return false
			}
			unconfirmed = false
		case <-l.queue.ready:
			if !l.flush(ctx, conn) {
				return false
			}
			unconfirmed = true
			timer.Reset(IdleTimeout)
		}
	}
}

// ping reports whether the peer answers a WebSocket ping. It fails if one direction of the
// connection drops everything.
func (l *link) ping(ctx context.Context, conn *websocket.Conn) bool {
	if l.links.blocked(l.to) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return conn.Ping(ctx) == nil
}

// flush writes all queued messages. A blocked link drops them, as a network partition would.
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
