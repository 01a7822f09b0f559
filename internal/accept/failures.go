package accept

import (
	"log/slog"
	"net"
	"sync/atomic"
	"time"
)

// logInterval is how often failures are logged at most: they come in bursts, and logging takes
// processor time that a machine short of resources lacks.
const logInterval = time.Second

// Failures counts and logs the accepts that failed and are tried again, of any number of listeners. It
// is safe for concurrent use.
type Failures struct {
	log      *slog.Logger
	count    atomic.Int64
	loggedAt atomic.Int64 // Unix time in ns.
}

// NewFailures returns a Failures that logs to log.
func NewFailures(log *slog.Logger) *Failures {
	return &Failures{log: log}
}

// Count returns the number of failures.
func (f *Failures) Count() int64 {
	return f.count.Load()
}

// Observe is an Observer.
func (f *Failures) Observe(address net.Addr, err error) {
	n, now, last := f.count.Add(1), time.Now().UnixNano(), f.loggedAt.Load()
	if now-last < int64(logInterval) || !f.loggedAt.CompareAndSwap(last, now) {
		return
	}
	f.log.Warn("cannot accept connections; trying again", "address", address.String(), "error", err.Error(),
		"out_of_descriptors", OutOfDescriptors(err), "failures", n)
}
