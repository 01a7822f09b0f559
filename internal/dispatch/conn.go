package dispatch

import (
	"net"

	"github.com/damaskcove/damaskcove/internal/sockpeek"
)

// tailBytes is how much of the end of what was read a connection remembers.
const tailBytes = 32

// trackedConn counts what passes during one attempt. One attempt uses it at a time.
type trackedConn struct {
	net.Conn
	written  int    // Bytes that the connection took.
	readErr  error  // First error of Read.
	tail     []byte // The last bytes read.
	tailBuf  [2 * tailBytes]byte
	readSome bool
}

// begin starts the counts anew.
func (c *trackedConn) begin() {
	c.written = 0
	c.readErr = nil
	c.readSome = false
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
		c.readSome = true
		c.remember(p[:n])
	}
	if err != nil && c.readErr == nil {
		c.readErr = err
	}
	return n, err
}

// remember keeps the last tailBytes of what was read.
func (c *trackedConn) remember(p []byte) {
	if len(p) >= tailBytes {
		c.tail = append(c.tailBuf[:0], p[len(p)-tailBytes:]...)
		return
	}
	if excess := len(c.tail) + len(p) - tailBytes; excess > 0 {
		c.tail = c.tailBuf[:copy(c.tailBuf[:], c.tail[excess:])]
	}
	c.tail = append(c.tail, p...)
}

// quiet reports whether an idle connection is open and has nothing to read. Bytes on an
// idle connection answer no request of ours.
func (c *trackedConn) quiet() bool {
	state := sockpeek.Look(c.Conn)
	return state == sockpeek.Quiet || state == sockpeek.Unknown
}
