package dispatch

import (
	"context"
	"net"
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

func TestConnectionsComeFromTheOutgoingAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for outgoing, want := range map[string]string{"": "127.0.0.1", "127.0.0.9": "127.0.0.9"} {
		l := newLane(fleet.Endpoint(listener.Addr().String()), Settings{SourceIP: outgoing}.withDefaults())
		l.ctx = context.Background()
		conn, err := l.dial(listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		taken, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if host, _, _ := net.SplitHostPort(taken.RemoteAddr().String()); host != want {
			t.Errorf("outgoing %q: connected from %s", outgoing, host)
		}
		_ = conn.Close()
		_ = taken.Close()
	}
}
