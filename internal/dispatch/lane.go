package dispatch

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Sizes of a lane's buffers. An answer's header must fit the read buffer.
const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// lane is a fasthttp client bound to at most one connection to one endpoint, so that the
// connection which an attempt uses is known: its bytes are counted, and it can be closed
// to cancel the attempt. One attempt uses a lane at a time.
type lane struct {
	client *fasthttp.HostClient
	dialer net.Dialer

	mu      sync.Mutex
	ctx     context.Context // Of the attempt under way.
	conn    *trackedConn
	aborted bool
}

func newLane(endpoint fleet.Endpoint, s Settings) *lane {
	l := &lane{dialer: net.Dialer{Timeout: s.DialTimeout, LocalAddr: localAddr(s.SourceIP)}}
	l.client = &fasthttp.HostClient{
		Addr:                          string(endpoint),
		Dial:                          l.dial,
		MaxConns:                      1,
		MaxIdleConnDuration:           s.IdleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		ReadBufferSize:                readBufferBytes,
		WriteBufferSize:               writeBufferBytes,
		MaxResponseBodySize:           s.MaxAnswerBytes,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
	}
	return l
}

// localAddr returns the address to connect from, or nil for the system's choice.
func localAddr(ip string) net.Addr {
	addr := net.ParseIP(ip)
	if addr == nil {
		return nil
	}
	return &net.TCPAddr{IP: addr}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dial opens the lane's connection for the attempt under way.
func (l *lane) dial(addr string) (net.Conn, error) {
	counters.Add(countDials, 1)
	l.mu.Lock()
	ctx := l.ctx
	l.mu.Unlock()
	raw, err := l.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: raw}
	conn.begin()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted {
		_ = raw.Close()
		return nil, context.Canceled
	}
	l.conn = conn
	return conn, nil
}

// do sends one request and reads its answer. It ends soon after ctx does.
func (l *lane) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	l.begin(ctx)
	stop := context.AfterFunc(ctx, l.abort)
	err := l.client.Do(req, resp)
	stop()
	return err
}

// begin drops an idle connection that is closed or has bytes to read.
func (l *lane) begin(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.aborted = false
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return
	}
	if conn.quiet() {
		conn.begin()
		return
	}
	counters.Add(countStale, 1)
	l.drop()
}

// abort closes the connection of the attempt under way.
func (l *lane) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.aborted = true
	if l.conn != nil {
		_ = l.conn.Close()
	}
}

// attemptConn returns the connection that the attempt used, or nil when it had none.
func (l *lane) attemptConn() *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// wasAborted reports whether the attempt was aborted.
func (l *lane) wasAborted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.aborted
}

// drop closes the connection, if any. No attempt may be under way.
func (l *lane) drop() {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
	l.client.CloseIdleConnections()
}

// lanePool holds the lanes of one endpoint and bounds how many are in use.
type lanePool struct {
	endpoint fleet.Endpoint
	settings Settings

	mu    sync.Mutex
	idle  []*lane
	inUse int
	limit int
	gone  bool
}

// setLimit sets how many lanes may be in use at once and drops idle ones beyond it.
func (p *lanePool) setLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	excess := p.takeExcess()
	p.mu.Unlock()
	dropAll(excess)
}

// close drops the idle lanes, and each other lane as its attempt ends.
func (p *lanePool) close() {
	p.mu.Lock()
	p.gone = true
	p.limit = 0
	excess := p.takeExcess()
	p.mu.Unlock()
	dropAll(excess)
}

// takeExcess returns the idle lanes beyond the limit, the longest idle first.
func (p *lanePool) takeExcess() []*lane {
	count := min(max(len(p.idle)+p.inUse-p.limit, 0), len(p.idle))
	excess := append([]*lane(nil), p.idle[:count]...)
	p.idle = append(p.idle[:0], p.idle[count:]...)
	return excess
}

// acquire returns a lane, the last one used first; nil when the limit is reached.
func (p *lanePool) acquire() *lane {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse >= p.limit {
		return nil
	}
	p.inUse++
	last := len(p.idle) - 1
	if last < 0 {
		return newLane(p.endpoint, p.settings)
	}
	l := p.idle[last]
	p.idle = p.idle[:last]
	return l
}

// release returns a lane. One whose connection must not be reused is dropped.
func (p *lanePool) release(l *lane, reusable bool) {
	if !reusable {
		l.drop()
	}
	p.mu.Lock()
	p.inUse--
	p.idle = append(p.idle, l)
	excess := p.takeExcess()
	p.mu.Unlock()
	dropAll(excess)
}

func dropAll(lanes []*lane) {
	for _, l := range lanes {
		l.drop()
	}
}

// remainingMillis returns the whole milliseconds until deadline.
func remainingMillis(now, deadline time.Time) int64 {
	return deadline.Sub(now).Milliseconds()
}
