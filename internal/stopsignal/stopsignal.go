// Package stopsignal receives the signals that request a planned stop, and bounds the time at which
// they were sent.
//
// In a process that waits for processor time a signal takes effect seconds after it was sent: the
// kernel hands it to one thread, whose handler wakes another, and each waits for its turn while
// the rest of the process goes on. The time of a stop counts from the sending all the same.
//
// A Watch therefore sends the process a signal of its own at intervals. Signals that stop are
// delivered before it, so once it arrives, none of them had been sent when it was. External signals
// of the same number are harmless unless they arrive along with a stop.
package stopsignal

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// probeInterval is how often a probe is sent at least while none is under way.
	probeInterval = 250 * time.Millisecond
	// minProbeInterval bounds the processor time that probes take.
	minProbeInterval = 5 * time.Millisecond
	// probeSignal has a higher number than the signals that stop, so that those are delivered first.
	// A process that does not ask for it ignores it.
	probeSignal = syscall.SIGWINCH
)

// Watch receives the signals that request a planned stop.
type Watch struct {
	stops   chan os.Signal
	probes  chan os.Signal
	send    func() error // Sends a probe.
	now     func() time.Time
	ticker  *time.Ticker
	request context.CancelFunc
	clear   atomic.Pointer[time.Time] // Nil before the first probe arrived.
	done    chan struct{}
	ended   chan struct{}
}

// Start returns a context that ends when SIGTERM or SIGINT arrives, and the watch, which Close ends.
func Start(parent context.Context) (context.Context, *Watch) {
	w := newWatch(func() error { return syscall.Kill(os.Getpid(), probeSignal) })
	signal.Notify(w.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(w.probes, probeSignal)
	ctx, cancel := context.WithCancel(parent)
	w.request = cancel
	w.ticker = time.NewTicker(probeInterval)
	go func() {
		defer close(w.ended)
		defer w.ticker.Stop()
		w.run(w.ticker.C)
	}()
	return ctx, w
}

func newWatch(send func() error) *Watch {
	return &Watch{
		stops: make(chan os.Signal, 1), probes: make(chan os.Signal, 1), send: send, now: time.Now,
		done: make(chan struct{}), ended: make(chan struct{}),
	}
}

// run probes until a stop is requested or the watch is closed.
func (w *Watch) run(tick <-chan time.Time) {
	var sentAt time.Time // Of the probe under way; zero for none.
	for {
		select {
		case <-w.done:
			return
		case <-w.stops:
			w.request()
			return
		case <-w.probes:
			if len(w.stops) == 0 && !sentAt.IsZero() {
				at := sentAt
				w.clear.Store(&at)
				sentAt = time.Time{}
			}
		case <-tick:
			if !sentAt.IsZero() {
				continue
			}
			now := w.now()
			if w.send() == nil {
				sentAt = now
			}
		}
	}
}

// ProbeEvery makes the probes at least as frequent as an interval.
func (w *Watch) ProbeEvery(interval time.Duration) {
	w.ticker.Reset(max(min(interval, probeInterval), minProbeInterval))
}

// NotBefore returns a time until which no stop had been requested, or the current time if that is not known
// since no probe has ever arrived.
func (w *Watch) NotBefore() time.Time {
	if at := w.clear.Load(); at != nil {
		return *at
	}
	return w.now()
}

// Close ends the watch. Later signals have their default effect.
func (w *Watch) Close() {
	signal.Stop(w.stops)
	signal.Stop(w.probes)
	close(w.done)
	<-w.ended
}
