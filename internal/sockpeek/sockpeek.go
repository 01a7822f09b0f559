// Package sockpeek checks whether a connection has unread data or is closed, without
// consuming any data.
package sockpeek

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// State is the result of a Peek.
type State uint8

// States of a connection.
const (
	Unknown  State = iota // The connection has no socket, or the peek has not run.
	Idle                  // Open, without unread data.
	Readable              // Open, with unread data.
	Closed                // Closed by the other side, or broken.
)

// Peek returns the state of a connection, whether or not its read deadline has passed. It must not
// run concurrently with a Read of it. Peek and Wait take the connection's pending error: a read after Closed
// may return a plain io.EOF where a reset has come.
func Peek(c net.Conn) State {
	access, state := socketOf(c)
	if access == nil {
		return state
	}
	if err := access.Control(func(fd uintptr) { state = peek(fd) }); err != nil {
		return Closed
	}
	return state
}

// PendingError takes the error that the kernel holds for a connection, of which no call has been informed yet. A read
// after a FIN does not return it.
func PendingError(c net.Conn) error {
	access, _ := socketOf(c)
	if access == nil {
		return nil
	}
	var code int
	var err error
	controlErr := access.Control(func(fd uintptr) {
		code, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if err == nil && code != 0 {
		err = syscall.Errno(code)
	}
	return errors.Join(controlErr, err)
}

// Wait blocks until a connection is no longer Idle or its read deadline has passed, and returns its
// state. It must not run concurrently with a Read of it.
func Wait(c net.Conn) State {
	access, state := socketOf(c)
	if access == nil {
		return state
	}
	state = Idle
	err := access.Read(func(fd uintptr) bool {
		state = peek(fd)
		return state != Idle
	})
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return Closed
	}
	return state
}

// socketOf returns access to a connection's socket, or nil and the state of a connection without one.
func socketOf(c net.Conn) (syscall.RawConn, State) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return nil, Unknown
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return nil, Closed
	}
	return access, Unknown
}

func peek(fd uintptr) State {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return stateOf(n, err)
}

// stateOf maps the result of a one-byte peek to a State.
func stateOf(n int, err error) State {
	switch {
	case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK || err == syscall.EINTR:
		return Idle
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
