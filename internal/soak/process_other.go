//go:build !linux

package soak

import (
	"errors"
	"os/exec"
	"syscall"
)

// errCores is returned where processes cannot be kept on some cores.
var errCores = errors.New("only Linux can keep processes on some cores; leave --cores out")

// attributes returns the attributes of a process, in a session of its own or not.
func attributes(session bool) *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setsid: session}
}

// startOn starts a process on all cores of the machine.
func startOn(cores int, cmd *exec.Cmd) error {
	if cores != 0 {
		return errCores
	}
	return cmd.Start()
}
