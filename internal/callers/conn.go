package callers

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/sockpeek"
)

const (
	// readBufferBytes holds a usual request; a larger head gets a larger buffer.
	readBufferBytes = 4 << 10
	// bodyTimeout bounds the time for a request's body, as long as the longest deadline of callers.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the writing of an answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// firstRequestWait is how long a caller that connected before a stop may take to begin its
	// request: a few times the way there and back.
	firstRequestWait = 300 * time.Millisecond
	// lingerTimeout bounds the reading of what a caller still sends, so that closing does not
	// reset the connection before the caller has read its answer.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes bounds it in bytes.
	lingerBytes = 256 << 10
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer

	accepted time.Time
	idle     time.Duration // Longest idle time that the caller may count on.
	served   bool          // A request was answered.
	ends     bool          // This side ends the connection with the answer that it has written.

	mu      sync.Mutex
	reading bool // A request has begun to arrive.
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{server: s, nc: nc, accepted: time.Now(), br: bufio.NewReaderSize(nc, readBufferBytes), bw: bufio.NewWriterSize(nc, readBufferBytes)}
}

func (c *conn) run() {
	defer func() { _ = c.nc.Close() }()
	for c.next() {
		c.served = true
	}
	if c.ends {
		c.linger()
	}
}

// next serves one request and tells whether the connection goes on.
func (c *conn) next() bool {
	if !c.awaitRequest() {
		return false
	}
	limits := c.server.handler.Limits()
	arrived := time.Now()
	_ = c.nc.SetReadDeadline(arrived.Add(limits.HeadTimeout))
	head, err := awaitHead(c.br, limits.HeadBytes)
	if errors.Is(err, bufio.ErrBufferFull) && c.grow(limits.HeadBytes) {
		head, err = awaitHead(c.br, limits.HeadBytes)
	}
	if err != nil {
		c.refuseHead(err)
		return false
	}
	if err := checkHead(head); err != nil {
		c.refuse(result.CodeMalformedRequest, err.Error())
		return false
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if !c.read(req, limits) {
		return false
	}
	return c.answer(Request{HTTP: req, Arrived: time.Now()}, resp)
}

// awaitRequest waits for the first byte of a request and tells whether it came.
func (c *conn) awaitRequest() bool {
	since := time.Now()
	for c.mayWait(since) {
		_, err := c.br.Peek(1)
		c.mu.Lock()
		c.reading = err == nil
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	// Closed at once: a request that crosses the close is reset, which tells its caller that it
	// was not read. Read and thrown away, it would be lost.
	return false
}

// mayWait sets how long a request may take to begin, and tells whether it may still begin.
// One whose first bytes are there already may, whatever the time.
func (c *conn) mayWait(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	limits := c.server.handler.Limits()
	c.idle = max(c.idle, limits.IdleTimeout) // It may have grown meanwhile; a caller may count on the newest.
	now := time.Now()
	until := since.Add(c.idle)
	switch {
	case !c.server.closing.Load():
	case c.served:
		until = now
	default:
		until = c.accepted.Add(firstRequestWait)
	}
	if !now.Before(until) {
		if c.br.Buffered() == 0 && sockpeek.Look(c.nc) != sockpeek.Data {
			return false
		}
		until = now.Add(limits.HeadTimeout)
	}
	_ = c.nc.SetReadDeadline(until)
	return true
}

// wake ends the wait of an idle connection.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// grow makes room for a head of the size allowed and tells whether there was too little.
func (c *conn) grow(headBytes int) bool {
	if c.br.Size() >= headBytes {
		return false
	}
	buffered, _ := c.br.Peek(c.br.Buffered())
	old := bytes.Clone(buffered)
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(old), c.nc), headBytes)
	return true
}

// refuseHead answers a request whose head did not come whole.
func (c *conn) refuseHead(err error) {
	switch {
	case errors.Is(err, errHeadTooLarge), errors.Is(err, bufio.ErrBufferFull):
		c.refuse(result.CodeHeadTooLarge, errHeadTooLarge.Error())
	case errors.Is(err, errBareLine):
		c.refuse(result.CodeMalformedRequest, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(result.CodeRequestTimedOut, "the head did not arrive in time")
	}
}

// read reads a request whose head is buffered and tells whether it is whole.
func (c *conn) read(req *fasthttp.Request, limits Limits) bool {
	if err := req.Header.Read(c.br); err != nil {
		c.refuse(result.CodeMalformedRequest, err.Error())
		return false
	}
	if req.Header.ContentLength() > limits.BodyBytes {
		c.refuse(result.CodeBodyTooLarge, "the body is over its bound")
		return false
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if req.MayContinue() {
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	err := req.ContinueReadBody(c.br, max(limits.BodyBytes, 1), false)
	switch {
	case err == nil:
		return true
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.refuse(result.CodeBodyTooLarge, "the body is over its bound")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(result.CodeRequestTimedOut, "the body did not arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		// The caller left before its request was whole.
	default:
		c.refuse(result.CodeMalformedRequest, err.Error())
	}
	return false
}

// answer has a request served and writes the answer.
func (c *conn) answer(r Request, resp *fasthttp.Response) bool {
	c.server.inFlight.Add(1)
	defer c.server.inFlight.Add(-1)
	head := r.HTTP.Header.IsHead()
	last := r.HTTP.Header.ConnectionClose()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := c.watch(cancel)
	c.server.handler.Serve(ctx, r, resp)
	watch.end()
	if ctx.Err() != nil {
		return false
	}
	resp.SkipBody = head
	ok := c.write(resp, last)
	c.ends = !ok
	return ok
}

// write writes an answer and tells whether the connection goes on.
func (c *conn) write(resp *fasthttp.Response, last bool) bool {
	last = last || c.server.draining.Load()
	if last {
		resp.SetConnectionClose()
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := resp.Write(c.bw); err != nil {
		return false
	}
	if err := c.bw.Flush(); err != nil {
		return false
	}
	return !last
}

// refuse answers a request that cannot be read, and closes the connection.
func (c *conn) refuse(code result.Code, detail string) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.server.handler.Reject(code, detail, resp)
	c.write(resp, true)
	c.ends = true
}

// linger ends this side and reads on until the caller has closed its own.
func (c *conn) linger() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.nc, lingerBytes)
}
