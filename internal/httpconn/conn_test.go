package httpconn

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// A network partition that heals within unacked must not end a running request; an idle connection
// whose peer is unreachable must be closed by keep-alive.
func TestUnreachablePeerClosesOnlyIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	const unacked = 30 * time.Second
	c, err := Dial(l.Addr().String(), time.Second, unacked)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	option := func(level, name int) int {
		raw, err := c.conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		value := -1
		if err := raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }); err != nil {
			t.Fatal(err)
		}
		return value
	}
	if got := option(syscall.IPPROTO_TCP, tcpUserTimeout); got != int(unacked.Milliseconds()) {
		t.Errorf("TCP_USER_TIMEOUT is %d ms", got)
	}
	for _, on := range []bool{false, true} {
		if err := c.SetKeepAlive(on); err != nil {
			t.Fatal(err)
		}
		if got := option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE); (got != 0) != on {
			t.Errorf("keep-alive %v: SO_KEEPALIVE %d", on, got)
		}
	}
}
