package local

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// listener remembers the connections that it accepted, so that all can be closed at once.
type listener struct {
	net.Listener

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, open: make(map[net.Conn]struct{})}
}

// Accept accepts a connection and remembers it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.open[c] = struct{}{}
	return &conn{Conn: c, listener: l}, nil
}

// sever closes the listener and every connection.
func (l *listener) sever() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.open {
		_ = c.Close()
	}
}

func (l *listener) forget(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	listener *listener
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.listener.forget(c.Conn)
	return c.Conn.Close()
}

// SyscallConn returns the connection's socket, which the entry looks at.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("connection from %s has no socket", c.RemoteAddr())
	}
	return socket.SyscallConn()
}
