package soak

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxCores bounds the cores that are looked at: those of a set of the kernel's usual size.
const maxCores = 1024

// attributes returns the attributes of a process that ends with this one, in a session of its own or not.
func attributes(session bool) *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setsid: session}
}

// startOn starts a process on the first cores of the machine; zero stands for all.
func startOn(cores int, cmd *exec.Cmd) error {
	if cores == 0 {
		return cmd.Start()
	}
	runtime.LockOSThread() // A process inherits the cores of the thread that starts it.
	defer runtime.UnlockOSThread()
	var before, during unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return fmt.Errorf("get the cores of this thread: %w", err)
	}
	for core, left := 0, cores; left > 0 && core < maxCores; core++ {
		if before.IsSet(core) {
			during.Set(core)
			left--
		}
	}
	if err := unix.SchedSetaffinity(0, &during); err != nil {
		return fmt.Errorf("set the cores of a process: %w", err)
	}
	defer func() { _ = unix.SchedSetaffinity(0, &before) }()
	return cmd.Start()
}

// limitDescriptors sets how many descriptors a process that runs may open.
func limitDescriptors(pid, limit int) error {
	n := uint64(limit)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
		return fmt.Errorf("limit the descriptors of process %d to %d: %w", pid, limit, err)
	}
	return nil
}

// peakMemory returns the memory that a process that has ended used at its peak, in bytes; 0 if it is not known.
func peakMemory(state *os.ProcessState) int64 {
	usage, ok := state.SysUsage().(*syscall.Rusage)
	if !ok {
		return 0
	}
	return usage.Maxrss << 10 // It is in kilobytes.
}
