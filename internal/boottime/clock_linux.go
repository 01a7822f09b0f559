package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, which includes the time that it spent suspended.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // Every supported kernel has it.
	}
	return time.Duration(at.Nano())
}
