package dispatch

import (
	"net"

	"github.com/damaskcove/damaskcove/internal/sockpeek"
)

// tailBytes is how many of the last bytes read a connection keeps.
const tailBytes = 32

// trackedConn records what is written and read during an attempt. One attempt uses it at a time.
type trackedConn struct {
	net.Conn
	written int    // Bytes written.
	readErr error  // First error of Read.
	tail    []byte // The last bytes read.
	tailBuf [2 * tailBytes]byte
	hasRead bool
}

// reset clears the records before the next attempt.
func (c *trackedConn) reset() {
	c.written = 0
	c.readErr = nil
	c.hasRead = false
	c.tail = c.tailBuf[:0]
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.hasRead = true
		c.recordTail(p[:n])
	}
	if err != nil && c.readErr == nil {
		c.readErr = err
	}
	return n, err
}

// recordTail keeps the last tailBytes of what was read.
func (c *trackedConn) recordTail(p []byte) {
	if len(p) >= tailBytes {
		c.tail = append(c.tailBuf[:0], p[len(p)-tailBytes:]...)
		return
	}
	if excess := len(c.tail) + len(p) - tailBytes; excess > 0 {
		c.tail = c.tailBuf[:copy(c.tailBuf[:], c.tail[excess:])]
	}
	c.tail = append(c.tail, p...)
}

// isIdle reports whether an unused connection is open and has nothing to read. Bytes that
// arrive between requests belong to no request, so such a connection must not be reused.
func (c *trackedConn) isIdle() bool {
	state := sockpeek.Peek(c.Conn)
	return state == sockpeek.Idle || state == sockpeek.Unknown
}
