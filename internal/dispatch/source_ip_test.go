package dispatch

import (
	"context"
	"net"
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

func TestConnectionsUseTheSourceIP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for sourceIP, want := range map[string]string{"": "127.0.0.1", "127.0.0.9": "127.0.0.9"} {
		client := newConnClient(fleet.Endpoint(listener.Addr().String()), Settings{SourceIP: sourceIP}.withDefaults())
		conn, err := client.dial(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if host, _, _ := net.SplitHostPort(accepted.RemoteAddr().String()); host != want {
			t.Errorf("sourceIP %q: connected from %s", sourceIP, host)
		}
		_ = conn.Close()
		_ = accepted.Close()
	}
}
