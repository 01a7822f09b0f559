package dispatch

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// An answer's header must fit the read buffer.
const (
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// connClient is a fasthttp client with at most one connection to one endpoint. This makes
// the connection of an attempt known, so that its bytes can be counted and it can be closed
// to cancel the attempt. One attempt uses a connClient at a time.
type connClient struct {
	client *fasthttp.HostClient
	dialer net.Dialer

	mu      sync.Mutex
	ctx     context.Context // Of the running attempt.
	conn    *trackedConn
	aborted bool
}

func newConnClient(endpoint fleet.Endpoint, s Settings) *connClient {
	c := &connClient{dialer: net.Dialer{Timeout: s.DialTimeout, LocalAddr: localAddr(s.SourceIP)}}
	c.client = &fasthttp.HostClient{
		Addr:                          string(endpoint),
		Dial:                          c.dial,
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
	return c
}

// localAddr returns the address to connect from, or nil to let the system choose.
func localAddr(ip string) net.Addr {
	addr := net.ParseIP(ip)
	if addr == nil {
		return nil
	}
	return &net.TCPAddr{IP: addr}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dial opens the connection for the running attempt.
func (c *connClient) dial(addr string) (net.Conn, error) {
	counters.Add(countDials, 1)
	c.mu.Lock()
	ctx := c.ctx
	c.mu.Unlock()
	raw, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: raw}
	conn.reset()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		_ = raw.Close()
		return nil, context.Canceled
	}
	c.conn = conn
	return conn, nil
}

// do sends one request and reads its answer. It returns soon after ctx ends.
func (c *connClient) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	c.prepare(ctx)
	stop := context.AfterFunc(ctx, c.abort)
	err := c.client.Do(req, resp)
	stop()
	return err
}

// prepare starts an attempt and closes an idle connection that the endpoint has closed or
// that has bytes to read.
func (c *connClient) prepare(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.aborted = false
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return
	}
	if conn.isIdle() {
		conn.reset()
		return
	}
	counters.Add(countStale, 1)
	c.closeConn()
}

// abort closes the connection of the running attempt.
func (c *connClient) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// attemptConn returns the connection that the attempt used, or nil when it had none.
func (c *connClient) attemptConn() *trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

func (c *connClient) wasAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// closeConn closes the connection, if any. No attempt may be running.
func (c *connClient) closeConn() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
	c.client.CloseIdleConnections()
}

// connPool holds the clients of one endpoint and limits how many are in use.
type connPool struct {
	endpoint fleet.Endpoint
	settings Settings

	mu     sync.Mutex
	idle   []*connClient
	inUse  int
	limit  int
	closed bool
}

// setLimit sets how many clients may be in use at once and closes idle ones above it.
func (p *connPool) setLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	excess := p.removeExcess()
	p.mu.Unlock()
	closeConns(excess)
}

// close closes the idle connections, and each other connection when its attempt ends.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.limit = 0
	excess := p.removeExcess()
	p.mu.Unlock()
	closeConns(excess)
}

// removeExcess removes and returns the idle clients above the limit, the longest idle first.
func (p *connPool) removeExcess() []*connClient {
	count := min(max(len(p.idle)+p.inUse-p.limit, 0), len(p.idle))
	excess := append([]*connClient(nil), p.idle[:count]...)
	p.idle = append(p.idle[:0], p.idle[count:]...)
	return excess
}

// acquire returns the most recently used idle client or a new one, or nil if the limit is reached.
func (p *connPool) acquire() *connClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse >= p.limit {
		return nil
	}
	p.inUse++
	last := len(p.idle) - 1
	if last < 0 {
		return newConnClient(p.endpoint, p.settings)
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// release returns a client to the pool. A connection that must not be reused is closed.
func (p *connPool) release(c *connClient, reusable bool) {
	if !reusable {
		c.closeConn()
	}
	p.mu.Lock()
	p.inUse--
	p.idle = append(p.idle, c)
	excess := p.removeExcess()
	p.mu.Unlock()
	closeConns(excess)
}

func closeConns(clients []*connClient) {
	for _, c := range clients {
		c.closeConn()
	}
}

// remainingMillis returns the milliseconds until deadline, rounded down.
func remainingMillis(now, deadline time.Time) int64 {
	return deadline.Sub(now).Milliseconds()
}
