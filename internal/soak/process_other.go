//go:build !linux

package soak

import (
	"errors"
	"os"
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

// errDescriptors is returned where the descriptors of another process cannot be limited.
var errDescriptors = errors.New("only Linux can limit the descriptors of processes; leave --descriptors out")

// limitDescriptors sets how many descriptors a process that runs may open.
func limitDescriptors(_, _ int) error { return errDescriptors }

// memoryMeter measures the memory that a process uses at its peak; here it is not known.
type memoryMeter struct{}

func meterMemory(int, <-chan struct{}) *memoryMeter { return &memoryMeter{} }

func (*memoryMeter) bytes(*os.ProcessState) int64 { return 0 }
