package dispatch

import (
	"net"
	"syscall"
)

// trackedConn records what is written and read during an attempt. One attempt uses it at a time.
type trackedConn struct {
	net.Conn
	written int   // Bytes written.
	readErr error // First error of Read.
	hasRead bool
}

// reset clears the records before the next attempt.
func (c *trackedConn) reset() {
	c.written = 0
	c.readErr = nil
	c.hasRead = false
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
	c.hasRead = c.hasRead || n > 0
	if err != nil && c.readErr == nil {
		c.readErr = err
	}
	return n, err
}

// SyscallConn implements syscall.Conn for the connections that have a socket.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return conn.SyscallConn()
}
