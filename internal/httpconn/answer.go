package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

const (
	// framingBytes bounds what may come besides an answer's body: heads, interim answers,
	// sizes and extensions of chunks, trailers.
	framingBytes = 64 << 10
	// framingPerByte is what each byte of a body adds to it: a chunk of one byte takes six.
	framingPerByte = 8
	// maxStreamBytes bounds a body that is passed on while it comes.
	maxStreamBytes = 1 << 30
)

// Errors of answers without end.
var (
	// ErrUnbounded is returned when far more comes than an answer's body.
	ErrUnbounded = errors.New("the bytes that come are no answer, or do not end")
	// ErrTooLarge is returned for a body over its bound.
	ErrTooLarge = errors.New("the answer's body is over its bound")
)

// meter bounds what is read from a connection, so that whatever the other side sends ends.
type meter struct {
	net.Conn
	left  int  // Bytes that may still be read.
	ended bool // The other side has ended the connection.
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, ErrUnbounded
	}
	n, err := m.Conn.Read(p[:min(len(p), m.left)])
	m.left -= n
	m.ended = m.ended || errors.Is(err, io.EOF)
	return n, err
}

// earn allows for the framing of a body's bytes.
func (m *meter) earn(n int) {
	m.left = min(m.left+n*(1+framingPerByte), framingBytes+n*(1+framingPerByte))
}

// Body is the body of an answer that was not read whole: what was gathered of it, and the
// rest as it comes. Its errors are the other side's. It is not safe for concurrent use.
type Body struct {
	meter    *meter
	gathered []byte
	stream   io.Reader
	size     int // Of the whole body; -1 where its end tells.
	chunked  bool
	read     int // Bytes taken from stream.
	err      error
}

// Size returns the whole body's size, or -1 where it is not known.
func (b *Body) Size() int {
	return b.size
}

// Err returns what ended the body before it was whole, if anything did.
func (b *Body) Err() error {
	return b.err
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (b *Body) Read(p []byte) (int, error) {
	if len(b.gathered) > 0 {
		n := copy(p, b.gathered)
		b.gathered = b.gathered[n:]
		return n, nil
	}
	return b.readOn(p)
}

// readOn reads from the connection.
func (b *Body) readOn(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.stream.Read(p)
	b.read += n
	b.meter.earn(n)
	switch {
	case b.read > maxStreamBytes:
		err = ErrTooLarge
	case errors.Is(err, io.EOF) && b.cutShort():
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// cutShort tells whether a body that is at its end ended too early: the library takes the end
// of the connection between two chunks for the end of the body.
func (b *Body) cutShort() bool {
	return b.size >= 0 && b.read < b.size || b.chunked && b.meter.ended
}

// gather reads the body up to a bound, and tells whether that is all of it.
func (b *Body) gather(most int) (whole bool, err error) {
	into := make([]byte, 0, min(most, gatherStep))
	for len(into) < most {
		if len(into) == cap(into) {
			into = append(into, make([]byte, min(len(into), most-len(into)))...)[:len(into)]
		}
		n, err := b.readOn(into[len(into):cap(into)])
		into = into[:len(into)+n]
		if errors.Is(err, io.EOF) {
			b.gathered = into
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	b.gathered = into
	return false, nil
}

// gatherStep is the first buffer of a body whose size is not known.
const gatherStep = 8 << 10

// Receive reads one answer whole. An answer whose end is not marked is whole only when the
// other side closed the connection in order.
func (c *Conn) Receive(resp *fasthttp.Response, maxBody int) error {
	rest, err := c.ReceiveBuffered(resp, maxBody)
	if err == nil && rest != nil {
		err = ErrTooLarge
	}
	return err
}

// ReceiveBuffered reads one answer: its head, and its body up to gather bytes. rest is nil where
// that is the whole answer; else the body is to be read from it.
func (c *Conn) ReceiveBuffered(resp *fasthttp.Response, gather int) (rest *Body, err error) {
	rest, err = c.receiveHead(resp, gather)
	if err != nil {
		return nil, describe(err)
	}
	return rest, nil
}

func (c *Conn) receiveHead(resp *fasthttp.Response, gather int) (*Body, error) {
	c.meter.left = framingBytes
	resp.ResetBody()
	resp.StreamBody = false
	for {
		if err := resp.Header.Read(c.br); err != nil {
			return nil, err
		}
		if !interim(resp.StatusCode()) {
			break
		}
	}
	if resp.SkipBody || bodiless(resp.StatusCode()) {
		return nil, nil
	}
	const chunked = -1 // The library's word for it; less is an end with the connection.
	size := max(resp.Header.ContentLength(), -1)
	if size >= 0 && size <= gather {
		c.meter.earn(size)
		return nil, resp.ReadBody(c.br, 0)
	}
	resp.StreamBody = true
	if err := resp.ReadBody(c.br, gather); err != nil {
		return nil, err
	}
	body := &Body{meter: c.meter, stream: resp.BodyStream(), size: size, chunked: resp.Header.ContentLength() == chunked}
	whole, err := body.gather(gather)
	if err != nil {
		return nil, err
	}
	if whole {
		resp.SetBodyRaw(body.gathered)
		resp.Header.SetContentLength(len(body.gathered))
		return nil, nil
	}
	return body, nil
}

// interim tells whether another answer follows. Switching protocols was not asked for.
func interim(status int) bool {
	return status >= fasthttp.StatusContinue && status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
}

func bodiless(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func describe(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, fasthttp.ErrTimeout) {
		return fmt.Errorf("%w: %w", ErrTimedOut, err)
	}
	return fmt.Errorf("read an answer: %w", err)
}
