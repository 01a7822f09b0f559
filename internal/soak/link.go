package soak

import (
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// linkState is what happens to the bytes on connections to an upstream.
type linkState struct {
	cutIn, cutOut bool          // Bytes to the upstream, or from it, wait until the cut ends.
	delay         time.Duration // Of each write of the upstream.
}

// link is the network between the instances and one upstream. It wraps the upstream's listener.
type link struct {
	net.Listener
	mu      sync.Mutex
	changed *sync.Cond
	state   linkState
	conns   []*linkConn
	mark    keyMark
	leaked  func() // Called when bytes to the upstream hold a key; nil for never.
}

func newLink(l net.Listener) *link {
	n := &link{Listener: l}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Accept implements net.Listener.
func (n *link) Accept() (net.Conn, error) {
	c, err := n.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	wrapped := &linkConn{Conn: c, link: n, scan: keyScanner{mark: n.mark}}
	n.conns = append(n.conns, wrapped)
	return wrapped, nil
}

// set changes what happens to the bytes on all connections.
func (n *link) set(state linkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state = state
	n.changed.Broadcast()
}

// mute makes the open connections silent for good; new ones work.
func (n *link) mute() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.muted = true
	}
}

// reset resets the open connections.
func (n *link) reset() {
	n.mu.Lock()
	conns := slices.Clone(n.conns)
	n.mu.Unlock()
	for _, c := range conns {
		reset(c.Conn)
	}
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link   *link
	scan   keyScanner // Of what is read.
	muted  bool       // Guarded by the link's mutex, as closed is.
	closed bool
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if _, _ = c.scan.Write(p[:n]); c.scan.found {
		c.scan.found = false
		c.link.leaked()
	}
	if err == nil && !c.passes(func(s linkState) bool { return s.cutIn }) {
		return 0, os.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	c.link.mu.Lock()
	delay := c.link.state.delay
	c.link.mu.Unlock()
	time.Sleep(delay)
	if !c.passes(func(s linkState) bool { return s.cutOut }) {
		return 0, os.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	c.closed = true
	c.link.conns = slices.DeleteFunc(c.link.conns, func(x *linkConn) bool { return x == c })
	c.link.changed.Broadcast()
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// passes waits until the link lets bytes pass. It returns false if the connection was closed meanwhile.
func (c *linkConn) passes(cut func(linkState) bool) bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	for !c.closed && (c.muted || cut(c.link.state)) {
		c.link.changed.Wait()
	}
	return !c.closed
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	under := c
	if linked, ok := c.(*linkConn); ok {
		under = linked.Conn
	}
	if tcp, ok := under.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
