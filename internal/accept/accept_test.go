package accept

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// scriptedListener returns the errors of a list, and then a connection.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func TestTransientAcceptErrorsAreRetried(t *testing.T) {
	transient := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN}
	var seen []error
	l := Retry(&scriptedListener{errs: transient}, func(_ net.Addr, err error) { seen = append(seen, err) })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	if len(seen) != len(transient) || !OutOfDescriptors(seen[0]) || !OutOfDescriptors(seen[1]) || OutOfDescriptors(seen[2]) {
		t.Errorf("observed %v", seen)
	}
}

func TestPermanentAcceptErrorsAreReturned(t *testing.T) {
	for _, want := range []error{net.ErrClosed, os.ErrDeadlineExceeded, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if _, err := Retry(&scriptedListener{errs: []error{want}}, nil).Accept(); !errors.Is(err, want) {
			t.Errorf("%v: got %v", want, err)
		}
	}
}

func TestBackoffIsBounded(t *testing.T) {
	var b Backoff
	if first := b.Next(); first != firstPause || b.Next() <= first {
		t.Errorf("first pause %s, second no longer", first)
	}
	var total time.Duration
	for range 100 {
		total += b.Next()
	}
	if total > 100*maxPause {
		t.Errorf("100 pauses take %s", total)
	}
	b.Reset()
	if got := b.Next(); got != firstPause {
		t.Errorf("%s after a success", got)
	}
}

func TestFailuresAreCountedAndLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	f := NewFailures(slog.New(slog.NewTextHandler(&out, nil)))
	began := time.Now()
	for range 50 {
		f.Observe(&net.TCPAddr{}, syscall.EMFILE)
	}
	if f.Count() != 50 {
		t.Errorf("%d failures", f.Count())
	}
	if lines := strings.Count(out.String(), "\n"); lines < 1 || lines > 1+int(time.Since(began)/logInterval) || !strings.Contains(out.String(), "out_of_descriptors=true") {
		t.Errorf("%d lines: %s", lines, out.String())
	}
}
