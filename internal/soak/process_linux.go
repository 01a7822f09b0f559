package soak

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

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

// memoryInterval is how often the peak of a process that runs is read: an end by itself counts in any case.
const memoryInterval = 100 * time.Millisecond

// memoryMeter measures the memory that a process uses at its peak. The system's own figure for a process that has ended
// begins with that of the process that started it, so it counts only if it is larger.
type memoryMeter struct {
	inherited int64 // Bytes.
	peak      atomic.Int64
}

// meterMemory measures a process that has just been started, until it ends.
func meterMemory(pid int, ended <-chan struct{}) *memoryMeter {
	m := &memoryMeter{inherited: peakResident(os.Getpid())}
	m.peak.Store(peakResident(pid))
	go func() {
		tick := time.NewTicker(memoryInterval)
		defer tick.Stop()
		for {
			select {
			case <-ended:
				return
			case <-tick.C:
				m.peak.Store(max(m.peak.Load(), peakResident(pid)))
			}
		}
	}()
	return m
}

// bytes returns the peak of a process that has ended.
func (m *memoryMeter) bytes(state *os.ProcessState) int64 {
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok && usage.Maxrss<<10 > m.inherited {
		return usage.Maxrss << 10 // It is in kilobytes.
	}
	return m.peak.Load()
}

// peakResident returns the peak of the memory of a process that runs, in bytes; 0 if it has ended.
func peakResident(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}
