package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

const (
	// framingBytes bounds what is read besides an answer's body: heads, informational answers, chunk
	// sizes and extensions, trailers.
	framingBytes = 64 << 10
	// framingPerBodyByte is the framing allowed for each byte of a body: a one-byte chunk has six
	// bytes of it.
	framingPerBodyByte = 8
	// maxStreamBytes bounds a streamed body.
	maxStreamBytes = 1 << 30
)

// Errors of answers that are too long.
var (
	// ErrFramingTooLarge is returned when the framing exceeds its bound.
	ErrFramingTooLarge = errors.New("the bytes that come are no answer, or do not end")
	// ErrTooLarge is returned when the body exceeds its bound.
	ErrTooLarge = errors.New("the answer's body is over its bound")
)

// readLimiter bounds the bytes read from a connection, so that a peer that never stops sending cannot
// keep a reader busy.
type readLimiter struct {
	net.Conn
	left int // Bytes that may still be read.
}

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrFramingTooLarge
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	received.Add(int64(n))
	return n, err
}

// allowBody raises the limit for n bytes of a body and their framing.
func (l *readLimiter) allowBody(n int) {
	l.left = min(l.left+n*(1+framingPerBodyByte), framingBytes+n*(1+framingPerBodyByte))
}

// Body is the body of an answer that was not buffered completely: first the buffered part, then the
// rest as it arrives. Its errors come from the connection. It is not safe for concurrent use.
type Body struct {
	limiter  *readLimiter
	buffered []byte
	stream   io.Reader
	size     int // Of the whole body; -1 for a chunked body or one that ends with the connection.
	read     int // Bytes read from stream.
	err      error
}

// newBody returns the body of an answer whose head has been read; size is -1 for a chunked body and smaller for one that
// ends with the connection.
func (c *Conn) newBody(size int) *Body {
	b := &Body{limiter: c.limiter, size: max(size, -1)}
	switch {
	case size >= 0:
		b.stream = &sizedReader{br: c.br, left: size}
	case size == -1:
		b.stream = &chunkedReader{br: c.br}
	default:
		b.stream = endReader{conn: c}
	}
	return b
}

// Size returns the size of the whole body, or -1 if it is not known in advance.
func (b *Body) Size() int {
	return b.size
}

// Err returns the error that ended the body early, or nil.
func (b *Body) Err() error {
	return b.err
}

// Read implements io.Reader. It returns io.EOF only after the complete body.
func (b *Body) Read(p []byte) (int, error) {
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		return n, nil
	}
	return b.readStream(p)
}

func (b *Body) readStream(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.stream.Read(p)
	b.read += n
	b.limiter.allowBody(n)
	if b.read > maxStreamBytes {
		err = ErrTooLarge
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// buffer reads up to limit bytes of the body and reports whether that is all of it.
func (b *Body) buffer(limit int) (complete bool, err error) {
	buf := make([]byte, 0, min(limit, initialBufferBytes))
	for len(buf) < limit {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, min(len(buf), limit-len(buf)))...)[:len(buf)]
		}
		n, err := b.readStream(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			b.buffered = buf
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	b.buffered = buf
	return false, nil
}

// initialBufferBytes is the first buffer size of a body; it grows up to the limit.
const initialBufferBytes = 8 << 10

// Receive reads one complete answer, with a body of at most maxBody bytes. An answer that ends with
// the connection is complete only if the request was written and the peer closed the connection without a reset.
func (c *Conn) Receive(resp *fasthttp.Response, maxBody int) error {
	if err := c.receiveWhole(resp, maxBody); err != nil {
		return wrapReadError(err)
	}
	return nil
}

func (c *Conn) receiveWhole(resp *fasthttp.Response, maxBody int) error {
	if err := c.receiveHead(resp); err != nil {
		return err
	}
	if !hasNoBody(resp) && resp.Header.ContentLength() > maxBody {
		return ErrTooLarge
	}
	rest, err := c.receiveBody(resp, maxBody+1)
	if err == nil && (rest != nil || len(resp.Body()) > maxBody) {
		err = ErrTooLarge
	}
	return err
}

// ReceiveBuffered reads one answer: its head, and at most bufferBytes of its body. rest is nil if that
// is the complete answer; otherwise the whole body must be read from it.
func (c *Conn) ReceiveBuffered(resp *fasthttp.Response, bufferBytes int) (rest *Body, err error) {
	if err = c.receiveHead(resp); err == nil {
		rest, err = c.receiveBody(resp, bufferBytes)
	}
	if err != nil {
		return nil, wrapReadError(err)
	}
	return rest, nil
}

// receiveHead reads the head of a final answer.
func (c *Conn) receiveHead(resp *fasthttp.Response) error {
	c.limiter.left = framingBytes
	resp.ResetBody()
	resp.StreamBody = false
	for {
		if err := readHead(c.br, &resp.Header); err != nil {
			return err
		}
		if !c.isInformational(resp.StatusCode()) {
			return nil
		}
	}
}

// receiveBody reads the body of an answer as ReceiveBuffered does.
func (c *Conn) receiveBody(resp *fasthttp.Response, bufferBytes int) (*Body, error) {
	if hasNoBody(resp) {
		return nil, nil
	}
	size := resp.Header.ContentLength()
	limit := bufferBytes
	if size >= 0 && size <= bufferBytes {
		c.limiter.allowBody(size)
		if size <= initialBufferBytes {
			return nil, resp.ReadBody(c.br, 0)
		}
		limit = size + 1 // The buffer is larger than the body, so that its end is read.
	}
	body := c.newBody(size)
	complete, err := body.buffer(limit)
	if err != nil {
		return nil, err
	}
	if complete {
		resp.SetBodyRaw(body.buffered)
		resp.Header.SetContentLength(len(body.buffered))
		return nil, nil
	}
	return body, nil
}

// isInformational reports whether the final answer is still to follow. 101 Switching Protocols counts as
// final, since no request asks for an upgrade.
func (c *Conn) isInformational(status int) bool {
	if c.interim {
		return status == fasthttp.StatusContinue
	}
	return status >= fasthttp.StatusContinue && status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
}

func hasNoBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return resp.SkipBody || status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func wrapReadError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, fasthttp.ErrTimeout) {
		return fmt.Errorf("%w: %w", ErrTimedOut, err)
	}
	return fmt.Errorf("read an answer: %w", err)
}
