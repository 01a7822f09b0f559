package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskcove/damaskcove/internal/sockpeek"
)

const (
	// readBufferBytes bounds the head of an answer.
	readBufferBytes = 8 << 10
	// writeBufferBytes holds a usual request, so that it leaves in one write.
	writeBufferBytes = 4 << 10
	// keepAliveIdle and keepAliveInterval end a connection whose other side is silent: after
	// keepAliveIdle + keepAliveCount*keepAliveInterval, within the 2 s in which changes must be in force.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second / 2
	keepAliveCount    = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package does not name.
	tcpUserTimeout = 0x12
)

// Errors of an exchange.
var (
	// ErrUnsolicitedData is returned when bytes that belong to no request wait on a connection.
	ErrUnsolicitedData = errors.New("the connection holds bytes that belong to no request")
	// ErrTimedOut is returned when the deadline passed before an answer was whole.
	ErrTimedOut = errors.New("no whole answer before the deadline")
	// ErrClosed is returned when the other side has closed an idle connection.
	ErrClosed = errors.New("the connection was closed while idle")
)

// Conn is a connection on which one request is exchanged at a time. It is not safe for
// concurrent use, but for Close.
type Conn struct {
	conn  net.Conn
	meter *meter
	br    *bufio.Reader
	bw    *bufio.Writer
}

// Dial connects to an IP number and port. unacked bounds the time that sent bytes may stay
// without an acknowledgement before the connection ends.
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
	m := &meter{Conn: conn}
	return &Conn{
		conn:  conn,
		meter: m,
		br:    bufio.NewReaderSize(m, readBufferBytes),
		bw:    bufio.NewWriterSize(conn, writeBufferBytes),
	}, nil
}

// CheckIdle returns an error when the connection can take no request: it was closed, or
// bytes wait on it that answer nothing.
func (c *Conn) CheckIdle() error {
	if c.br.Buffered() > 0 {
		return ErrUnsolicitedData
	}
	switch sockpeek.Look(c.conn) {
	case sockpeek.Data:
		return ErrUnsolicitedData
	case sockpeek.Closed:
		return ErrClosed
	default:
		return nil
	}
}

// SetKeepAlive sets whether the connection ends when its other side is silent, as is right while
// it is idle or watched. A request under way may outlast a cut of the network.
func (c *Conn) SetKeepAlive(on bool) error {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAlive(on); err != nil {
		return fmt.Errorf("set keep-alive: %w", err)
	}
	return nil
}

// Send writes a request. sent tells whether any byte of it may have left.
func (c *Conn) Send(req *fasthttp.Request, deadline time.Time) (sent bool, err error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return false, fmt.Errorf("set the deadline of a connection: %w", err)
	}
	if err := req.Write(c.bw); err != nil {
		return true, fmt.Errorf("write a request: %w", err)
	}
	if err := c.bw.Flush(); err != nil {
		return true, fmt.Errorf("write a request: %w", err)
	}
	return true, nil
}

// FullyRead tells whether nothing is left to read after an answer.
func (c *Conn) FullyRead() bool {
	return c.br.Buffered() == 0
}

// Close closes the connection and ends a Send or Receive under way.
func (c *Conn) Close() error {
	return c.conn.Close()
}
