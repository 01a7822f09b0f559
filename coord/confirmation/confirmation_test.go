package confirmation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms      = time.Millisecond
	holdFor = 2 * time.Second
)

var testConfig = Config{AskAfter: 1250 * ms, AskEvery: 250 * ms, HoldFor: holdFor}

// unknown stands for a configuration that is not confirmed.
const unknown = -1 * time.Second

func TestAge(t *testing.T) {
	const now = 20 * time.Second
	for name, tc := range map[string]struct {
		steps func(t *Tracker)
		want  time.Duration
	}{
		"nothing":                 {func(*Tracker) {}, unknown},
		"version in force":        {func(t *Tracker) { t.InForce(7); t.Confirm(18*time.Second, 7) }, 2 * time.Second},
		"a later one is in force": {func(t *Tracker) { t.InForce(8); t.Confirm(18*time.Second, 7) }, 2 * time.Second},
		"late and duplicated": {func(t *Tracker) {
			t.InForce(7)
			t.Confirm(18*time.Second, 7)
			t.Confirm(18*time.Second, 7)
			t.Confirm(15*time.Second, 7)
		}, 2 * time.Second},
		"not in force yet":      {func(t *Tracker) { t.InForce(7); t.Confirm(10*time.Second, 7); t.Confirm(18*time.Second, 8) }, 10 * time.Second},
		"in force after it":     {func(t *Tracker) { t.InForce(7); t.Confirm(18*time.Second, 8); t.InForce(8) }, 2 * time.Second},
		"a later one after it":  {func(t *Tracker) { t.Confirm(18*time.Second, 8); t.Confirm(19*time.Second, 10); t.InForce(9) }, 2 * time.Second},
		"clock of another read": {func(t *Tracker) { t.InForce(7); t.Confirm(now+ms, 7) }, 0},
		"another has a later one": {func(t *Tracker) {
			t.InForce(7)
			t.Confirm(10*time.Second, 7)
			t.Heard(11*time.Second, 9)
			t.Heard(12*time.Second, 7)
			t.Confirm(18*time.Second, 7)
		}, 10 * time.Second},
		"until that is in force": {func(t *Tracker) {
			t.InForce(7)
			t.Heard(11*time.Second, 9)
			t.Confirm(18*time.Second, 7)
			t.InForce(8)
			t.InForce(9)
		}, 2 * time.Second},
		"a later one while waiting": {func(t *Tracker) { t.InForce(7); t.Confirm(18*time.Second, 8); t.Heard(19*time.Second, 9); t.InForce(8) }, unknown},
		"read before another has a later one": {func(t *Tracker) {
			t.InForce(7)
			t.ConfirmRead(11*time.Second, 10*time.Second, 7, 0)
			t.Heard(12*time.Second, 9)
			t.ConfirmRead(13*time.Second, 11*time.Second, 7, 0)
		}, 10 * time.Second},
		"read of an older copy after that": {func(t *Tracker) {
			t.InForce(7)
			t.ConfirmRead(11*time.Second, 10*time.Second, 7, 0)
			t.Heard(12*time.Second, 9)
			t.ConfirmRead(13*time.Second, 12*time.Second, 7, 1)
		}, unknown},
		"read of an older copy while the later one is in force": {func(t *Tracker) {
			t.InForce(9)
			t.Heard(12*time.Second, 9)
			t.ConfirmRead(13*time.Second, 12*time.Second, 7, 0)
		}, 8 * time.Second},
		"read of an earlier era": {func(t *Tracker) {
			t.InForce(7)
			t.ConfirmRead(11*time.Second, 10*time.Second, 7, 1)
			t.Settle(11*time.Second, true)
			t.ConfirmRead(14*time.Second, 13*time.Second, 7, 0)
		}, 10 * time.Second},
		"restored store": {func(t *Tracker) {
			t.InForce(7)
			t.ConfirmRead(11*time.Second, 10*time.Second, 7, 1)
			t.ConfirmRead(13*time.Second, 12*time.Second, 7, 1)
			t.Settle(11*time.Second+holdFor-ms, false)
		}, unknown},
		"restored store, the others have no later one": {func(t *Tracker) {
			t.InForce(7)
			t.ConfirmRead(13*time.Second, 12*time.Second, 7, 1)
			t.ConfirmRead(13*time.Second, 10*time.Second, 7, 1)
			t.Settle(13*time.Second, true)
		}, 8 * time.Second},
		"restored store, nobody answers": {func(t *Tracker) {
			t.InForce(7)
			t.ConfirmRead(11*time.Second, 10*time.Second, 7, 1)
			t.Settle(11*time.Second+holdFor, false)
		}, 10 * time.Second},
		"restored store, another has a later one": {func(t *Tracker) {
			t.InForce(7)
			t.ConfirmRead(11*time.Second, 10*time.Second, 7, 1)
			t.Heard(12*time.Second, 8)
			t.Settle(12*time.Second, true)
		}, unknown},
		"restored again while held": {func(t *Tracker) {
			t.InForce(7)
			t.ConfirmRead(11*time.Second, 10*time.Second, 7, 1)
			t.ConfirmRead(12*time.Second, 11*time.Second, 7, 2)
			t.Settle(11*time.Second+holdFor, false)
		}, unknown},
		"attested while held": {func(t *Tracker) {
			t.InForce(7)
			t.ConfirmRead(11*time.Second, 10*time.Second, 7, 1)
			t.Confirm(9*time.Second, 7)
		}, 11 * time.Second},
	} {
		tracker := New(testConfig)
		tc.steps(tracker)
		age, ok := tracker.Age(now)
		if !ok {
			age = unknown
		}
		if age != tc.want {
			t.Errorf("%s: age %v, want %v", name, age, tc.want)
		}
	}
}

func TestPendingConfirmationsAreBounded(t *testing.T) {
	tracker := New(testConfig)
	const versions = 100
	for v := uint32(1); v <= versions; v++ {
		tracker.Confirm(time.Duration(v)*time.Second, v)
	}
	if n := len(tracker.pending); n > maxPending {
		t.Errorf("%d confirmations are kept", n)
	}
	for _, v := range []uint32{1, versions} {
		tracker.InForce(v)
		if at, ok := tracker.ConfirmedAt(); !ok || at != time.Duration(v)*time.Second {
			t.Errorf("version %d in force: confirmed at %v, %t", v, at, ok)
		}
	}
}

func TestAsk(t *testing.T) {
	tracker := New(testConfig)
	tracker.InForce(1)
	for _, tc := range []struct {
		at, confirmed time.Duration // confirmed: zero for no confirmation before.
		want          bool
	}{
		{0, 0, true}, {249 * ms, 0, false}, {250 * ms, 0, true}, {2 * time.Second, time.Second, false}, {2250 * ms, 0, false}, {2251 * ms, 0, true}, {2500 * ms, 0, false},
	} {
		if tc.confirmed > 0 {
			tracker.Confirm(tc.confirmed, 1)
		}
		if got := tracker.Ask(tc.at); got != tc.want {
			t.Errorf("at %v: ask: %t", tc.at, got)
		}
	}
}

// fleet is a store and instances that exchange messages, which arrive in any order, twice or never. An instance whose
// messages wait is suspended or cut off.
type fleet struct {
	now       time.Duration
	store     uint32 // Version that the store holds.
	latest    uint32 // Last version given out.
	era       uint64
	history   []change
	inFlight  []func()
	instances []*instance
}

// change is a version that the store held from a time on.
type change struct {
	from    time.Duration
	version uint32
}

type instance struct {
	tracker *Tracker
	inForce uint32
	heard   []change // Versions of other instances.
}

func (f *fleet) set(version uint32) {
	f.store = version
	f.history = append(f.history, change{f.now, version})
}

// oldestSince returns the earliest version that the store held at a time or later.
func (f *fleet) oldestSince(at time.Duration) uint32 {
	oldest := f.store
	for i, c := range f.history {
		if i+1 == len(f.history) || f.history[i+1].from >= at {
			oldest = min(oldest, c.version)
		}
	}
	return oldest
}

func (f *fleet) send(arrive func()) { f.inFlight = append(f.inFlight, arrive) }

func (in *instance) apply(version uint32) {
	in.inForce = max(in.inForce, version)
	in.tracker.InForce(in.inForce)
}

func (f *fleet) read(in *instance) {
	sent := f.now
	f.send(func() {
		version, era := f.store, f.era
		f.send(func() {
			in.apply(version)
			in.tracker.ConfirmRead(f.now, sent, in.inForce, era)
		})
	})
}

func (f *fleet) ask(in, other *instance) {
	sent := f.now
	f.send(func() {
		age, ok := other.tracker.Age(f.now)
		if !ok {
			return
		}
		version := other.inForce
		f.send(func() { in.tracker.Confirm(sent-age, version) })
	})
}

func (f *fleet) step(t *rapid.T) {
	f.now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * ms
	pick := func(name string) (int, *instance) {
		i := rapid.IntRange(0, len(f.instances)-1).Draw(t, name)
		return i, f.instances[i]
	}
	i, in := pick("instance")
	_, other := pick("other")
	switch rapid.SampledFrom([]string{"read", "read", "read", "ask", "ask", "ask", "forward", "report", "report", "settle", "settle", "write", "write", "restore", "restart"}).Draw(t, "event") {
	case "read":
		f.read(in)
	case "ask":
		f.ask(in, other)
	case "forward":
		version := in.inForce
		f.send(func() { other.apply(version) })
	case "report":
		version := in.inForce
		f.send(func() {
			other.tracker.Heard(f.now, version)
			other.heard = append(other.heard, change{f.now, version})
		})
	case "settle":
		in.tracker.Settle(f.now, true)
	case "write":
		f.latest++
		f.set(f.latest)
	case "restore":
		f.era++
		f.set(rapid.SampledFrom(f.history).Draw(t, "copy").version)
	case "restart":
		f.instances[i] = &instance{tracker: New(testConfig)}
	}
	for range min(len(f.inFlight), rapid.IntRange(0, 3).Draw(t, "arrivals")) {
		k := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
		arrive := f.inFlight[k]
		fate := rapid.SampledFrom([]string{"arrives", "arrives", "arrives", "arrives and is sent again", "lost"}).Draw(t, "fate")
		if fate != "arrives and is sent again" {
			f.inFlight = append(f.inFlight[:k:k], f.inFlight[k+1:]...)
		}
		if fate != "lost" {
			arrive()
		}
	}
}

// The rule: with the age a at a time t, the configuration in force is one that the store held at some time not before
// t-a, or a later one. And nothing is confirmed after another instance was known to have a later one.
func TestConfirmedConfigurationIsAsOldAsItsAge(t *testing.T) {
	confirmed := 0
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{}
		f.latest = 1
		f.set(1)
		for range rapid.IntRange(1, 3).Draw(t, "instances") {
			f.instances = append(f.instances, &instance{tracker: New(testConfig)})
		}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			f.step(t)
			for i, in := range f.instances {
				age, ok := in.tracker.Age(f.now)
				if !ok {
					continue
				}
				confirmed++
				if oldest := f.oldestSince(f.now - age); in.inForce < oldest {
					t.Fatalf("instance %d has version %d in force with an age of %v at %v; the store held %d or later since", i, in.inForce, age, f.now, oldest)
				}
				for _, h := range in.heard {
					if h.version > in.inForce && h.from < f.now-age {
						t.Fatalf("instance %d has version %d in force with an age of %v at %v; it knew of %d at %v", i, in.inForce, age, f.now, h.version, h.from)
					}
				}
			}
		}
	})
	if confirmed == 0 {
		t.Error("no instance was confirmed at any time")
	}
}
