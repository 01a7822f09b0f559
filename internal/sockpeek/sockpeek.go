// Package sockpeek tells what waits on a connection without reading it.
package sockpeek

import (
	"net"
	"syscall"
)

// State is what a look at a connection found.
type State uint8

// States of a connection.
const (
	Unknown  State = iota // It cannot be looked at: no socket, or the look failed.
	Idle                  // Open, with nothing to read.
	Readable              // Bytes wait.
	Closed                // The other side has closed it, or it is broken.
)

// Peek returns the state of a connection. It must not run beside a Read of it.
func Peek(c net.Conn) State {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Unknown
	err = access.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		state = result(n, e)
		return true
	})
	if err != nil {
		return Closed
	}
	return state
}

// result returns the state that a peek of one byte tells.
func result(n int, err error) State {
	switch {
	case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK || err == syscall.EINTR:
		return Idle
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
