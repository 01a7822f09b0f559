package callers

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/coord/admission"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/body"
	"github.com/damaskcove/damaskcove/internal/sockpeek"
)

const (
	// readBufferBytes holds a typical request; the buffer grows for a larger head.
	readBufferBytes = 4 << 10
	// bodyTimeout bounds the time to receive a request's body. It equals the longest deadline of
	// callers.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the time to write an answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// firstRequestTimeout is how long after accepting a connection its first request is expected: a few
	// round trips. The server waits so long during a shutdown, and before it takes the connection for idle.
	firstRequestTimeout = 300 * time.Millisecond
	// lingerTimeout bounds the time that data from the caller is discarded before a close. Closing
	// with unread data would reset the connection before the caller has read its answer.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes bounds the data discarded.
	lingerBytes = 256 << 10
)

// conn is a caller's connection.
type conn struct {
	server *Server
	entry  *admission.Connection[*conn]
	nc     net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer

	acceptedAt     time.Time
	idleTimeout    time.Duration // Longest idle timeout that applied since the connection was accepted.
	served         bool          // At least one request was answered.
	expecting      bool          // The first request is expected within firstRequestTimeout.
	lastAnswerSent bool          // The server has answered and closes the connection first.

	inService atomic.Pointer[InService] // The request that is being served; nil if there is none.

	mu        sync.Mutex
	receiving bool // At least one byte of a request has arrived.
	reading   bool // A request has begun to arrive and is not complete.
	retired   bool // To be closed as soon as it has no request, to make room.
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{server: s, nc: nc, acceptedAt: time.Now(), expecting: true, br: bufio.NewReaderSize(nc, readBufferBytes), bw: bufio.NewWriterSize(nc, readBufferBytes)}
}

func (c *conn) run() {
	defer func() { _ = c.nc.Close() }()
	for c.serveNext() {
		c.served = true
		c.server.setIdle(c)
	}
	if c.lastAnswerSent {
		c.linger()
	}
}

// serveNext serves one request and reports whether the connection stays open.
func (c *conn) serveNext() bool {
	if !c.awaitRequest() {
		return false
	}
	limits := c.server.handler.Limits()
	c.beginReading(limits.HeadTimeout)
	head, err := peekHead(c.br, limits.HeadBytes)
	if errors.Is(err, bufio.ErrBufferFull) && c.growBuffer(limits.HeadBytes) {
		head, err = peekHead(c.br, limits.HeadBytes)
	}
	if err != nil {
		c.rejectHead(err)
		return false
	}
	if err := checkHead(head); err != nil {
		c.reject(result.CodeMalformedRequest, err.Error())
		return false
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	payload, ok := c.readRequest(req, head, limits)
	c.endReading()
	if !ok {
		return false
	}
	if c.leftBeforeAccept() {
		payload.Release()
		return false
	}
	return c.serveRequest(Request{HTTP: req, Body: payload, Arrived: time.Now(), conn: c}, resp)
}

// leftBeforeAccept reports whether the caller of a connection's first request has closed it: the connection may have
// waited for seconds to be accepted. While a later request waits, that before it is watched.
func (c *conn) leftBeforeAccept() bool {
	return !c.served && sockpeek.Peek(c.nc) == sockpeek.Closed
}

// awaitRequest waits for the first byte of a request and reports whether it arrived.
func (c *conn) awaitRequest() bool {
	since := time.Now()
	for c.setWaitDeadline(since) {
		_, err := c.br.Peek(1)
		c.mu.Lock()
		c.receiving = err == nil
		c.mu.Unlock()
		if err == nil {
			c.expecting = false
			c.server.setBusy(c)
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if c.expecting && time.Since(c.acceptedAt) >= firstRequestTimeout {
			c.expecting = false
			c.server.setIdle(c)
		}
	}
	// The connection is closed without reading on. A request that arrives during the close gets a
	// reset, which shows its caller that it was not read; discarding it would lose the request.
	return false
}

// setWaitDeadline sets the deadline for the first byte of a request and reports whether the deadline
// is still ahead. A request whose first bytes have arrived already gets HeadTimeout in any case.
func (c *conn) setWaitDeadline(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	limits := c.server.handler.Limits()
	c.idleTimeout = max(c.idleTimeout, limits.IdleTimeout) // A change of settings must not shorten the timeout that was announced.
	now := time.Now()
	until := since.Add(c.idleTimeout)
	switch {
	case c.retired:
		until = now
	case !c.server.closing.Load():
	case c.served:
		until = now
	default:
		until = c.acceptedAt.Add(firstRequestTimeout)
	}
	if !now.Before(until) {
		if c.br.Buffered() == 0 && sockpeek.Peek(c.nc) != sockpeek.Readable {
			return false
		}
		until = now.Add(limits.HeadTimeout)
	}
	if first := c.acceptedAt.Add(firstRequestTimeout); c.expecting && now.Before(first) && first.Before(until) {
		until = first
	}
	_ = c.nc.SetReadDeadline(until)
	return true
}

// interruptIdle makes awaitRequest recompute the deadline of an idle connection.
func (c *conn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receiving {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginReading allows a request that has begun to arrive a time for its head.
func (c *conn) beginReading(headTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.setReadTimeout(headTimeout)
}

// awaitBody allows the body of a request a time.
func (c *conn) awaitBody(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadTimeout(timeout)
}

// setReadTimeout bounds the time to read on; mu is held. At the end of a planned stop there is none.
func (c *conn) setReadTimeout(timeout time.Duration) {
	if c.server.ending.Load() {
		timeout = 0
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(timeout))
}

func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// interruptArriving ends the reading of a request that is incomplete.
func (c *conn) interruptArriving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.setReadTimeout(0)
	}
}

func (c *conn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// growBuffer replaces the read buffer by one of headBytes and reports whether it was smaller.
func (c *conn) growBuffer(headBytes int) bool {
	if c.br.Size() >= headBytes {
		return false
	}
	buffered, _ := c.br.Peek(c.br.Buffered())
	received := bytes.Clone(buffered)
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(received), c.nc), headBytes)
	return true
}

// rejectHead answers a request whose head could not be read completely, unless the caller has
// disconnected.
func (c *conn) rejectHead(err error) {
	switch {
	case errors.Is(err, errHeadTooLarge), errors.Is(err, bufio.ErrBufferFull):
		c.reject(result.CodeHeadTooLarge, errHeadTooLarge.Error())
	case errors.Is(err, errBareLineFeed):
		c.reject(result.CodeMalformedRequest, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded) && c.server.ending.Load():
		c.reject(result.CodeStopping, "")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(result.CodeRequestTimedOut, "the head did not arrive in time")
	}
}

// readRequest reads a request whose head is buffered and reports whether it is complete.
func (c *conn) readRequest(req *fasthttp.Request, head []byte, limits Limits) (*body.Body, bool) {
	if err := c.readHead(&req.Header, head); err != nil {
		c.reject(result.CodeMalformedRequest, errRequestLine.Error()) // The error quotes the head.
		return nil, false
	}
	if req.Header.ContentLength() > limits.BodyBytes {
		c.reject(result.CodeBodyTooLarge, body.ErrTooLarge.Error())
		return nil, false
	}
	if req.Header.ContentLength() != 0 && !c.server.handler.Expects(&req.Header) {
		c.reject(result.CodeStopping, "")
		return nil, false
	}
	c.awaitBody(bodyTimeout)
	payload, err := c.readBody(req, limits)
	switch {
	case err == nil:
		return payload, true
	case errors.Is(err, body.ErrNoRoom):
		c.reject(result.CodeBodiesFull, err.Error())
	case errors.Is(err, body.ErrTooLarge):
		c.reject(result.CodeBodyTooLarge, err.Error())
	case errors.Is(err, errTrailerSize):
		c.reject(result.CodeHeadTooLarge, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded) && c.server.ending.Load():
		c.reject(result.CodeStopping, "")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(result.CodeRequestTimedOut, "the body did not arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		// The caller disconnected before its request was complete.
	default:
		c.reject(result.CodeMalformedRequest, err.Error())
	}
	return nil, false
}

// readBody reads the body of a request, and its trailer, as its head announces them.
func (c *conn) readBody(req *fasthttp.Request, limits Limits) (*body.Body, error) {
	size := req.Header.ContentLength() // Negative: chunked, or no body.
	chunked := size == chunkedLength
	if size <= 0 && !chunked {
		return nil, nil
	}
	reader := &bodyReader{conn: c, r: c.br, expect: req.MayContinue()}
	if chunked {
		reader.r = httputil.NewChunkedReader(c.br)
	}
	payload, err := c.server.options.Bodies.Read(reader, size, max(limits.BodyBytes, 1), c.interruptBody)
	if err != nil || !chunked {
		return payload, err
	}
	if err := c.readTrailer(&req.Header, limits.HeadBytes); err != nil {
		payload.Release()
		return nil, err
	}
	req.Header.SetContentLength(payload.Size())
	return payload, nil
}

// chunkedLength is the length that fasthttp gives for a chunked body.
const chunkedLength = -1

// bodyReader asks for the body before its first read if the caller waits for that.
type bodyReader struct {
	conn   *conn
	r      io.Reader
	expect bool
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if r.expect {
		r.expect = false
		if _, err := r.conn.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, net.ErrClosed
		}
	}
	return r.r.Read(p)
}

// interruptBody ends the receiving of a body.
func (c *conn) interruptBody() {
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
}

// serveRequest passes a request to the handler, writes the answer, and reports whether the connection
// stays open.
func (c *conn) serveRequest(r Request, resp *fasthttp.Response) bool {
	c.server.inFlight.Add(1)
	defer c.server.inFlight.Add(-1)
	c.inService.Store(&InService{Arrived: r.Arrived})
	defer c.inService.Store(nil)
	isHead := r.HTTP.Header.IsHead()
	closeAfter := r.HTTP.Header.ConnectionClose()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher := c.watchDisconnect(cancel)
	c.server.handler.Serve(ctx, r, resp)
	r.Body.Release() // Not later, as the caller may be slow to read the answer.
	watcher.stop()
	if ctx.Err() != nil {
		return false
	}
	resp.SkipBody = isHead
	ok := c.write(resp, closeAfter)
	c.lastAnswerSent = !ok
	return ok
}

// write writes an answer and reports whether the connection stays open.
func (c *conn) write(resp *fasthttp.Response, closeAfter bool) bool {
	closeAfter = closeAfter || c.server.draining.Load() || c.server.crowded.Load() || c.isRetired()
	if closeAfter {
		resp.SetConnectionClose()
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := resp.Write(c.bw); err != nil {
		return false
	}
	if err := c.bw.Flush(); err != nil {
		return false
	}
	return !closeAfter
}

// reject answers a request that cannot be read and ends the connection.
func (c *conn) reject(code result.Code, detail string) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.server.handler.Reject(code, detail, resp)
	c.write(resp, true)
	c.lastAnswerSent = true
}

// linger closes the sending side and discards data until the caller closes the other one.
func (c *conn) linger() {
	if halfCloser, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.nc, lingerBytes)
}
