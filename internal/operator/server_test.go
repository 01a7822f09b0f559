package operator

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/operator/api"
)

type source struct{}

func (source) Status() api.Status                                        { return api.Status{} }
func (source) Phase() api.Phase                                          { return api.PhaseServing }
func (source) Explain(string, string, fleet.Account) (e api.Explanation) { return e }

// failingListener fails once, as a machine without memory for another socket does.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

// A failed accept of the operators' listener ended the instance.
func TestFailedAcceptDoesNotEndTheServer(t *testing.T) {
	s, err := New("127.0.0.1:0", "token", source{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.listener = &failingListener{Listener: s.listener}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	resp, err := http.Get("http://" + s.Addr() + api.PathHealth)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	cancel()
	if err := <-done; err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, %v", resp.StatusCode, err)
	}
}
