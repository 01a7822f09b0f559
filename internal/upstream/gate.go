package upstream

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// connectivityPollInterval is how often a blocked connection checks its connectivity.
const connectivityPollInterval = 20 * time.Millisecond

// connGate applies the connectivity settings to one endpoint's connections.
type connGate struct {
	mu           sync.Mutex
	connectivity ConnectivityFunc
	overrides    map[netip.Addr]Connectivity // By caller; take precedence over connectivity.
	conns        map[*gatedConn]struct{}
}

func newConnGate() *connGate {
	return &connGate{overrides: make(map[netip.Addr]Connectivity), conns: make(map[*gatedConn]struct{})}
}

// update applies change to the settings and closes the connections that they no longer allow.
func (g *connGate) update(change func()) {
	g.mu.Lock()
	change()
	conns := make([]*gatedConn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	for _, c := range conns {
		if c.connectivity() == ConnectivityClosed {
			_ = c.Close()
		}
	}
}

func (g *connGate) connectivityFrom(caller netip.Addr) Connectivity {
	g.mu.Lock()
	override, ok := g.overrides[caller]
	fromCaller := g.connectivity
	g.mu.Unlock()
	if ok {
		return override
	}
	if fromCaller == nil {
		return ConnectivityNormal
	}
	return fromCaller(caller)
}

func (g *connGate) connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// gatedListener wraps accepted connections in a gatedConn.
type gatedListener struct {
	net.Listener
	gate        *connGate
	connectTime time.Duration
}

func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		gated := &gatedConn{Conn: conn, gate: l.gate, caller: callerAddr(conn), closed: make(chan struct{}), connectTime: l.connectTime}
		if gated.connectivity() == ConnectivityClosed {
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

// gatedConn is a connection that the settings of its connGate can block or close.
type gatedConn struct {
	net.Conn
	gate        *connGate
	caller      netip.Addr
	connectTime time.Duration // Delay before the first read; 0 once it has passed.
	closeOnce   sync.Once
	closed      chan struct{}
}

func (c *gatedConn) connectivity() Connectivity {
	return c.gate.connectivityFrom(c.caller)
}

// Read returns received data, and withholds it while the connectivity is ConnectivityBlackhole.
func (c *gatedConn) Read(p []byte) (int, error) {
	if c.connectTime > 0 {
		c.wait(c.connectTime)
		c.connectTime = 0
	}
	n, err := c.Conn.Read(p)
	for err == nil && c.connectivity() == ConnectivityBlackhole {
		if !c.wait(connectivityPollInterval) {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Write sends p, or drops it while the connectivity allows no answers.
func (c *gatedConn) Write(p []byte) (int, error) {
	switch c.connectivity() {
	case ConnectivityNoReplies, ConnectivityBlackhole:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// wait waits for d and returns false if the connection is closed meanwhile.
func (c *gatedConn) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.closed:
		return false
	case <-timer.C:
		return true
	}
}

func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.gate.mu.Lock()
		delete(c.gate.conns, c)
		c.gate.mu.Unlock()
	})
	return c.Conn.Close()
}
