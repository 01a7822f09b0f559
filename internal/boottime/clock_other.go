//go:build !linux

package boottime

import "time"

var start = time.Now()

// Now returns the time since the process was started, by its monotonic clock. It may lack the time that the machine
// spent suspended.
func Now() time.Duration {
	return time.Since(start)
}
