package local

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// trackingListener tracks the connections that it has accepted, so that all can be closed at once.
type trackingListener struct {
	net.Listener

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

func newTrackingListener(l net.Listener) *trackingListener {
	return &trackingListener{Listener: l, open: make(map[net.Conn]struct{})}
}

// Accept accepts a connection and tracks it.
func (l *trackingListener) Accept() (net.Conn, error) {
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
	return &trackedConn{Conn: c, listener: l}, nil
}

// closeAll closes the listener and every tracked connection.
func (l *trackingListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.open {
		_ = c.Close()
	}
}

func (l *trackingListener) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// trackedConn is one tracked connection.
type trackedConn struct {
	net.Conn
	listener *trackingListener
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.listener.remove(c.Conn)
	return c.Conn.Close()
}

// SyscallConn returns the connection's socket. The entry peeks at it to detect that the caller has gone.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("connection from %s has no socket", c.RemoteAddr())
	}
	return socket.SyscallConn()
}
