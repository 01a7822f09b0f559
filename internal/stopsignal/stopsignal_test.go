package stopsignal

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// testWatch runs a Watch whose probes arrive when the test lets them.
type testWatch struct {
	*Watch
	tick    chan time.Time
	sent    int
	sendErr error
	stopped bool
}

func startWatch(t *testing.T) *testWatch {
	t.Helper()
	w := &testWatch{tick: make(chan time.Time)}
	w.Watch = newWatch(func() error { w.sent++; return w.sendErr })
	w.request = func() { w.stopped = true }
	go w.run(w.tick)
	t.Cleanup(func() { close(w.done) })
	return w
}

func (w *testWatch) beat() {
	w.tick <- time.Now()
	synctest.Wait()
}

func (w *testWatch) probeArrives() {
	w.probes <- probeSignal
	synctest.Wait()
}

// A signal that took effect late counted from then, and not from its sending.
func TestStopCountsFromTheLastProbeBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		w.beat()
		w.probeArrives()
		time.Sleep(probeInterval)
		w.beat()
		sent := time.Now()
		time.Sleep(10 * time.Millisecond)
		w.probeArrives()
		if got := w.NotBefore(); got != sent {
			t.Fatalf("not before %s after the probe was sent, want the sending", got.Sub(sent))
		}
		time.Sleep(3 * time.Second)
		w.beat() // On its way when the stop was requested.
		w.stops <- syscall.SIGTERM
		synctest.Wait()
		if got := w.NotBefore(); got != sent || !w.stopped {
			t.Errorf("not before %s after the probe was sent, stopped: %v", got.Sub(sent), w.stopped)
		}
	})
}

func TestProbeThatArrivesWithAStopProvesNothing(t *testing.T) {
	const tries = 100 // Either may be received first.
	for range tries {
		var w *Watch
		w = newWatch(func() error {
			w.stops <- syscall.SIGTERM
			w.probes <- probeSignal
			return nil
		})
		w.request = func() {}
		clear := time.Now()
		w.clear.Store(&clear)
		tick := make(chan time.Time, 1)
		tick <- time.Now()
		w.run(tick)
		if got := w.NotBefore(); got != clear {
			t.Fatalf("not before %s later than the last probe that proves something", got.Sub(clear))
		}
	}
}

func TestOneProbeIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		for range 3 {
			w.beat()
		}
		if w.sent != 1 {
			t.Errorf("%d probes are under way", w.sent)
		}
		if got := w.NotBefore(); got != time.Now() {
			t.Error("a probe that never arrived bounds the stop")
		}
	})
}

func TestProbeThatCannotBeSentBoundsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatch(t)
		w.sendErr = errors.New("not permitted")
		w.beat()
		w.probeArrives()
		time.Sleep(time.Minute)
		if got := w.NotBefore(); got != time.Now() {
			t.Errorf("not before %s ago", time.Since(got))
		}
	})
}

func TestProcessSignals(t *testing.T) {
	ctx, w := Start(context.Background())
	defer w.Close()
	started := time.Now()
	for w.clear.Load() == nil {
		if time.Since(started) > time.Minute {
			t.Fatal("no probe has arrived")
		}
		time.Sleep(probeInterval / 10)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-ctx.Done()
	if at := w.NotBefore(); at.Before(started) || at.After(time.Now()) {
		t.Errorf("the stop was requested after %s", at)
	}
}
