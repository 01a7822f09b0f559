package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/sockpeek"
)

const (
	// readBufferBytes bounds the head of an answer.
	readBufferBytes = 8 << 10
	// writeBufferBytes holds a typical request, so that it is sent in one write.
	writeBufferBytes = 4 << 10
	// A connection whose peer is unreachable is closed after keepAliveIdle +
	// keepAliveCount*keepAliveInterval, within the 2 s in which changes must be active.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second / 2
	keepAliveCount    = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package does not define.
	tcpUserTimeout = 0x12
)

// Errors of an exchange.
var (
	// ErrUnsolicitedData is returned when an idle connection has data that answers no request.
	ErrUnsolicitedData = errors.New("the idle connection has data that answers no request")
	// ErrTimedOut is returned when the deadline passed before an answer was complete.
	ErrTimedOut = errors.New("no complete answer before the deadline")
	// ErrClosed is returned when the peer has closed an idle connection.
	ErrClosed = errors.New("the connection was closed while idle")
	// ErrNoEnd is returned for an answer that ends with its connection, if the connection was broken.
	ErrNoEnd = errors.New("the answer ends with its connection, and the connection was broken")
)

// Conn is a client connection that carries one request at a time. Only Close is safe for concurrent
// use.
type Conn struct {
	conn    net.Conn
	limiter *readLimiter
	br      *bufio.Reader
	bw      *bufio.Writer
	watched chan struct{} // Closed when WatchIdle's goroutine has ended; nil if there is none.
	closed  atomic.Bool
	broken  atomic.Bool // A call other than a read has failed or found the connection closed.
	interim bool        // Informational answers are returned.
}

// open counts the open connections of the process.
var open atomic.Int64

// Open returns the number of open connections that the process has made.
func Open() int {
	return int(open.Load())
}

// received counts the bytes that were read from connections of the process.
var received atomic.Int64

// Received returns the number of bytes that were read from all connections that the process has made. What the
// kernel has received and nobody has read does not count.
func Received() int64 { return received.Load() }

// Dial connects to an IP number and port. The connection is closed when sent bytes stay
// unacknowledged for longer than unacked.
func Dial(addr string, timeout, unacked time.Duration) (*Conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacked/time.Millisecond))
			})
			return errors.Join(controlErr, err)
		},
	}
	conn, err := dialer.Dial("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	return New(conn, readBufferBytes), nil
}

// New returns a Conn that takes over a connection. headBytes is the size of the read buffer in bytes, which bounds the
// head of an answer.
func New(conn net.Conn, headBytes int) *Conn {
	open.Add(1)
	limiter := &readLimiter{Conn: conn}
	return &Conn{
		conn:    conn,
		limiter: limiter,
		br:      bufio.NewReaderSize(limiter, headBytes),
		bw:      bufio.NewWriterSize(conn, writeBufferBytes),
	}
}

// CheckIdle returns an error if the connection cannot be reused: ErrClosed or ErrUnsolicitedData.
func (c *Conn) CheckIdle() error {
	if c.br.Buffered() > 0 {
		return ErrUnsolicitedData
	}
	if c.broken.Load() {
		return ErrClosed
	}
	switch sockpeek.Peek(c.conn) {
	case sockpeek.Readable:
		return ErrUnsolicitedData
	case sockpeek.Closed:
		c.broken.Store(true)
		return ErrClosed
	default:
		return nil
	}
}

// WatchIdle calls unusable once CheckIdle would return an error, so that an idle connection on which
// unsolicited data arrives is closed at once. unusable runs in a goroutine of its own. The watch ends
// with StopWatch or Close; no other method may be called before.
func (c *Conn) WatchIdle(unusable func()) error {
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clear the deadline of an idle connection: %w", err)
	}
	watched := make(chan struct{})
	c.watched = watched
	go func() {
		state := sockpeek.Wait(c.conn)
		if state == sockpeek.Closed {
			c.broken.Store(true)
		}
		close(watched)
		if state == sockpeek.Readable || state == sockpeek.Closed {
			unusable()
		}
	}()
	return nil
}

// StopWatch ends WatchIdle. unusable may still be called if it was about to be.
func (c *Conn) StopWatch() {
	if c.watched == nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // It fails on a closed connection, whose watch has ended.
	<-c.watched
	c.watched = nil
}

// SetKeepAlive sets whether TCP keep-alive closes the connection when its peer is unreachable. It is on
// while the connection is idle or carries a watch, and off for other requests, which may outlast a
// network partition.
func (c *Conn) SetKeepAlive(on bool) error {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAlive(on); err != nil {
		c.broken.Store(true)
		return fmt.Errorf("set keep-alive: %w", err)
	}
	return nil
}

// Send writes a request. sent reports whether any byte of it may have been sent. deadline also applies
// to reading the answer, which may be complete even if the request could not be written.
func (c *Conn) Send(req *fasthttp.Request, deadline time.Time) (sent bool, err error) {
	return c.send(deadline, func() error { return req.Write(c.bw) })
}

// SendBody is Send for a request whose body is in segments, which are not modified. It sets the length in
// the header.
func (c *Conn) SendBody(header *fasthttp.RequestHeader, body [][]byte, deadline time.Time) (sent bool, err error) {
	size := 0
	for _, segment := range body {
		size += len(segment)
	}
	if size > 0 || !header.IsGet() && !header.IsHead() {
		header.SetContentLength(size)
	}
	return c.send(deadline, func() error {
		if err := header.Write(c.bw); err != nil {
			return err
		}
		for _, segment := range body {
			if _, err := c.bw.Write(segment); err != nil {
				return err
			}
		}
		return nil
	})
}

// send runs write and flushes what it wrote.
func (c *Conn) send(deadline time.Time, write func() error) (sent bool, err error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		c.broken.Store(true)
		return false, fmt.Errorf("set the deadline of a connection: %w", err)
	}
	if err = write(); err == nil {
		err = c.bw.Flush()
	}
	if err != nil {
		c.broken.Store(true) // A failed write takes the socket's error, so that no read returns it.
		return true, fmt.Errorf("write a request: %w", err)
	}
	return true, nil
}

// ReturnInterim makes Receive and ReceiveBuffered return informational answers other than 100 Continue as if they were
// final, instead of skipping them.
func (c *Conn) ReturnInterim() {
	c.interim = true
}

// FullyRead reports whether no received data is left in the buffer after an answer.
func (c *Conn) FullyRead() bool {
	return c.br.Buffered() == 0
}

// Reusable reports whether another request may be sent after an answer: the former one was written completely, and
// nothing follows its answer in the buffer.
func (c *Conn) Reusable() bool {
	return !c.broken.Load() && c.FullyRead()
}

// endedCleanly reports whether the peer has closed the connection without a reset, after a read returned io.EOF.
func (c *Conn) endedCleanly() bool {
	return !c.broken.Load() && sockpeek.PendingError(c.conn) == nil
}

// Close closes the connection and aborts a running Send or Receive.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		open.Add(-1)
	}
	return c.conn.Close()
}
