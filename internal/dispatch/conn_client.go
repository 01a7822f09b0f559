package dispatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/httpconn"
)

// readBufferBytes bounds the head of an answer.
const readBufferBytes = 16 << 10

// connClient has at most one connection to one endpoint. This makes the connection of an attempt known, so
// that its bytes can be counted and it can be closed to cancel the attempt. One attempt uses a connClient at
// a time.
type connClient struct {
	endpoint fleet.Endpoint
	settings Settings

	mu        sync.Mutex
	tracked   *trackedConn   // Nil if there is no connection.
	conn      *httpconn.Conn // The same connection.
	running   bool           // An attempt uses the connection.
	aborted   bool
	idleSince time.Time
	expiry    *time.Timer // Closes the connection when it has been idle for too long; nil before the first attempt.
}

func newConnClient(endpoint fleet.Endpoint, s Settings) *connClient {
	return &connClient{endpoint: endpoint, settings: s}
}

// localAddr returns the address to connect from, or nil to let the system choose.
func localAddr(ip string) net.Addr {
	addr := net.ParseIP(ip)
	if addr == nil {
		return nil
	}
	return &net.TCPAddr{IP: addr}
}

// dial opens the connection for the running attempt.
func (c *connClient) dial(ctx context.Context) (*httpconn.Conn, error) {
	counters.Add(countDials, 1)
	dialer := net.Dialer{Timeout: c.settings.DialTimeout, LocalAddr: localAddr(c.settings.SourceIP)}
	raw, err := dialer.DialContext(ctx, "tcp", string(c.endpoint))
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		_ = raw.Close()
		return nil, context.Canceled
	}
	c.tracked = &trackedConn{Conn: raw}
	c.conn = httpconn.New(c.tracked, readBufferBytes)
	c.conn.ReturnInterim()
	return c.conn, nil
}

// do sends one request and reads its answer. It returns soon after ctx ends.
func (c *connClient) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	conn := c.begin()
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx); err != nil {
			return err
		}
	}
	resp.Header.DisableNormalizing()
	resp.SkipBody = req.Header.IsHead()
	_, sendErr := conn.Send(req, time.Time{})
	if tracked, _ := c.attemptConn(); sendErr != nil && tracked.written == 0 {
		return sendErr // What is there to read answers no request.
	}
	// An endpoint may answer a long request before it has read all of it, which makes the write fail.
	if err := conn.Receive(resp, c.settings.MaxAnswerBytes); err != nil {
		return errors.Join(sendErr, err)
	}
	return nil
}

// begin starts an attempt and returns the idle connection, or nil if there is none. It closes one that has expired, that
// the endpoint has closed or that has bytes to read.
func (c *connClient) begin() *httpconn.Conn {
	c.mu.Lock()
	c.running = true
	c.aborted = false
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return nil
	}
	if time.Since(c.idleSince) < c.settings.IdleTimeout && conn.CheckIdle() == nil {
		c.tracked.reset()
		return conn
	}
	counters.Add(countStale, 1)
	c.closeConn()
	return nil
}

// end ends an attempt if one was begun. From then on the connection is idle.
func (c *connClient) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running {
		return
	}
	c.running = false
	c.idleSince = time.Now()
	if c.expiry == nil {
		c.expiry = time.AfterFunc(c.settings.IdleTimeout, c.closeExpired)
	} else {
		c.expiry.Reset(c.settings.IdleTimeout)
	}
}

// closeExpired closes a connection that has been idle for the idle timeout.
func (c *connClient) closeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running && c.conn != nil && time.Since(c.idleSince) >= c.settings.IdleTimeout {
		_ = c.conn.Close()
		c.conn, c.tracked = nil, nil
	}
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
func (c *connClient) attemptConn() (*trackedConn, *httpconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracked, c.conn
}

func (c *connClient) wasAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// closeConn closes the connection, if any. No attempt may be using it.
func (c *connClient) closeConn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.tracked = nil, nil
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
	c.end()
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
