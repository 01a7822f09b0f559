package gateway

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"
)

// fullListener fails its first accepts like the listener of a process without free descriptors.
type fullListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// An instance ended itself when the accept of a readiness check failed for want of a descriptor.
func TestFailedAcceptDoesNotEndTheProcess(t *testing.T) {
	s, err := listenAux("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNoContent) })
	if err != nil {
		t.Fatal(err)
	}
	l := &fullListener{Listener: s.listener}
	l.failures.Store(3)
	s.listener = l
	ended := make(chan error, 1)
	go func() { ended <- s.run() }()
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String() + "/")
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	select {
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	case got := <-status:
		if got != http.StatusNoContent {
			t.Errorf("status %d", got)
		}
	}
	_ = s.close()
	if err := <-ended; err != nil {
		t.Errorf("after a close: %v", err)
	}
}
