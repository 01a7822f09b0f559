package httpconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
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

// A read after a FIN returns a plain io.EOF even if a reset has followed.
func TestAnswerWithoutLengthBeforeFINAndResetIsIncomplete(t *testing.T) {
	const closed = 7 // TCP_CLOSE.
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for _, withReset := range []bool{false, true} {
		c, err := Dial(l.Addr().String(), time.Second, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		peer, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = peer.(*net.TCPConn).CloseWrite()
		if withReset {
			_ = peer.(*net.TCPConn).SetLinger(0)
			_ = peer.Close()
			raw, err := c.conn.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			for state := 0; state != closed; time.Sleep(time.Millisecond) {
				_ = raw.Control(func(fd uintptr) { state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) })
				if state &= 0xff; err != nil {
					t.Fatal(err)
				}
			}
		}
		var resp fasthttp.Response
		if err := c.Receive(&resp, 1<<10); errors.Is(err, ErrNoEnd) != withReset || err != nil && !withReset {
			t.Errorf("reset %v: %v, body %q", withReset, err, resp.Body())
		}
		_, _ = c.Close(), peer.Close()
	}
}
