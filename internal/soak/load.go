package soak

import (
	"fmt"
	"os/exec"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

// startLoad starts busy processes on the cores of the instances. Each has a session of its own, so that a
// scheduler that shares the processor among sessions gives each of them as much as the instances together.
func (r *run) startLoad() (end func(), err error) {
	var list []*exec.Cmd
	end = func() {
		for _, cmd := range list {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	for range r.options.Load {
		cmd := exec.Command(r.options.Busy[0], r.options.Busy[1:]...)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setsid: true}
		if err := startOn(r.options.Cores, cmd); err != nil {
			end()
			return nil, fmt.Errorf("start a busy process: %w", err)
		}
		list = append(list, cmd)
	}
	return end, nil
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
	for core, left := 0, cores; left > 0 && core < len(before)*64; core++ {
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

// Burn keeps one core busy until the process is killed.
func Burn() {
	for n := uint64(0); ; n++ {
		runtime.KeepAlive(n)
	}
}
