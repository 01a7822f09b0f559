// Package accept keeps listeners going when the process or the machine is short of resources.
package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// firstPause follows a failed accept; it doubles with each further failure in a row.
	firstPause = 5 * time.Millisecond
	// maxPause is short beside the time-outs of readiness checks.
	maxPause = 100 * time.Millisecond
)

// Observer is told of an accept that failed and is tried again. It must not block.
type Observer func(address net.Addr, err error)

// Retry returns a listener whose Accept tries again, after a pause, when the process has run out of
// file descriptors or memory, or a connection ended before it was accepted. Accept still returns the
// errors of a closed listener, of a passed deadline, and of a socket that cannot accept. observe may be
// nil.
func Retry(l net.Listener, observe Observer) net.Listener {
	return &listener{Listener: l, observe: observe}
}

type listener struct {
	net.Listener
	observe Observer
}

func (l *listener) Accept() (net.Conn, error) {
	var backoff Backoff
	for {
		c, err := l.Listener.Accept()
		if err == nil || !Transient(err) {
			return c, err
		}
		if l.observe != nil {
			l.observe(l.Addr(), err)
		}
		time.Sleep(backoff.Next())
	}
}

// Backoff determines the pauses between failures in a row. The zero value is ready for use.
type Backoff struct {
	pause time.Duration
}

// Next returns the pause after another failure.
func (b *Backoff) Next() time.Duration {
	b.pause = min(max(2*b.pause, firstPause), maxPause)
	return b.pause
}

// Reset records a success.
func (b *Backoff) Reset() {
	b.pause = 0
}

// Transient reports whether a socket may work again after an error.
func Transient(err error) bool {
	for _, permanent := range []error{net.ErrClosed, os.ErrDeadlineExceeded, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP} {
		if errors.Is(err, permanent) {
			return false
		}
	}
	return true
}

// OutOfDescriptors reports whether an error is due to a limit of open files, of the process or of the
// machine.
func OutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
