package upstream

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// reachCheck is the time between two looks at the reach while a connection is held.
const reachCheck = 20 * time.Millisecond

// gate decides on the connections of one endpoint.
type gate struct {
	mu     sync.Mutex
	reach  ConnectivityFunc
	byAddr map[netip.Addr]Connectivity // Before reach.
	conns  map[*gatedConn]struct{}
}

func newGate() *gate {
	return &gate{byAddr: make(map[netip.Addr]Connectivity), conns: make(map[*gatedConn]struct{})}
}

// change changes the reach and closes the connections that it does not allow any more.
func (g *gate) change(change func()) {
	g.mu.Lock()
	change()
	conns := make([]*gatedConn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	for _, c := range conns {
		if c.reach() == ConnectivityClosed {
			_ = c.Close()
		}
	}
}

func (g *gate) from(caller netip.Addr) Connectivity {
	g.mu.Lock()
	one, ok := g.byAddr[caller]
	reach := g.reach
	g.mu.Unlock()
	if ok {
		return one
	}
	if reach == nil {
		return ConnectivityNormal
	}
	return reach(caller)
}

func (g *gate) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// gatedListener wraps the connections that it takes.
type gatedListener struct {
	net.Listener
	gate        *gate
	connectTime time.Duration
}

func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		gated := &gatedConn{Conn: conn, gate: l.gate, caller: callerAddr(conn), closed: make(chan struct{}), connectTime: l.connectTime}
		if gated.reach() == ConnectivityClosed {
			_ = conn.Close()
			continue
		}
		l.gate.mu.Lock()
		l.gate.conns[gated] = struct{}{}
		l.gate.mu.Unlock()
		return gated, nil
	}
}

func callerAddr(conn net.Conn) netip.Addr {
	addr, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return addr.Addr().Unmap()
}

// gatedConn is a connection that a ReachFrom may hold up.
type gatedConn struct {
	net.Conn
	gate        *gate
	caller      netip.Addr
	connectTime time.Duration // Still to wait before the first read.
	closeOnce   sync.Once
	closed      chan struct{}
}

func (c *gatedConn) reach() Connectivity {
	return c.gate.from(c.caller)
}

// Read returns what arrives, and holds it back while nothing can arrive.
func (c *gatedConn) Read(p []byte) (int, error) {
	if c.connectTime > 0 {
		c.pause(c.connectTime)
		c.connectTime = 0
	}
	n, err := c.Conn.Read(p)
	for err == nil && c.reach() == ConnectivityBlackhole {
		if !c.pause(reachCheck) {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Write sends p, or drops it while no answer can come back.
func (c *gatedConn) Write(p []byte) (int, error) {
	switch c.reach() {
	case ConnectivityNoReplies, ConnectivityBlackhole:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// pause waits for d and returns false when the connection is closed meanwhile.
func (c *gatedConn) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.closed:
		return false
	case <-timer.C:
		return true
	}
}

// Close closes the connection.
func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.gate.mu.Lock()
		delete(c.gate.conns, c)
		c.gate.mu.Unlock()
	})
	return c.Conn.Close()
}
