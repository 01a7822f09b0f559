package gateway

import (
	"log/slog"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform"
	"github.com/damaskcove/damaskcove/platform/standin"
)

// startBehindDoor starts an instance that reaches the store by a door of its own.
func (fleet *testFleet) startBehindDoor(id, zone string) (*instance, *standin.Door) {
	fleet.t.Helper()
	door, err := fleet.store.Open("127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(door.Close)
	path := fleet.settingsFile(id, zone)
	text, err := os.ReadFile(path)
	if err != nil {
		fleet.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), fleet.store.Addr(), door.Addr(), 1)), 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	return fleet.startWith(path, id), door
}

// isConfirmed reports whether the age of an instance's configuration is within its bound.
func (in *instance) isConfirmed() bool {
	age, known := in.gateway.control.configurationAge()
	return known && age <= in.gateway.current().Promises.ageBound()
}

// A third of the instances have no store: a whole zone, or one of each. Then all have none, and then all have it.
func TestConfigurationIsConfirmedByOtherInstances(t *testing.T) {
	t.Parallel()
	const zones, perZone = 3, 3
	for name, cut := range map[string]func(zone, k int) bool{
		"a zone":           func(zone, _ int) bool { return zone == 0 },
		"one of each zone": func(_, k int) bool { return k == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t)
			fleet.revokeWithin = 5 * time.Second
			fleet.configure("h.example", "orders")
			doors := make(map[*standin.Door]bool) // Whether the door is cut off with the third.
			for zone := range zones {
				for k := range perZone {
					_, door := fleet.startBehindDoor(string(rune('a'+zone))+string(rune('0'+k)), string(rune('a'+zone)))
					doors[door] = cut(zone, k)
				}
			}
			for _, in := range fleet.instances {
				eventually(t, "all know each other", func() bool {
					return in.ready(t) && len(in.gateway.control.snapshot.Load().alive) == zones*perZone-1
				})
				in.gateway.control.accountsEnabled.Store(true)
			}
			for _, in := range fleet.instances {
				eventually(t, "confirmed", in.isConfirmed)
			}
			set := func(all bool, fault standin.Fault) {
				for door, third := range doors {
					if all || third {
						door.Set(standin.State{Fault: fault})
					}
				}
			}
			set(false, standin.Silent)
			for since := time.Now(); time.Since(since) < 9*time.Second; time.Sleep(20 * time.Millisecond) {
				for _, in := range fleet.instances {
					if age, known := in.gateway.control.configurationAge(); !in.isConfirmed() {
						t.Fatalf("instance %s, %v after a third lost the store: age %v, known: %t", in.gateway.current().Instance.ID, time.Since(since), age, known)
					}
				}
			}
			set(true, standin.Unavailable)
			for _, in := range fleet.instances {
				eventually(t, "not confirmed without the store", func() bool { return !in.isConfirmed() })
				eventually(t, "that is logged", func() bool { return strings.Contains(in.logs.String(), "configuration is not confirmed") })
			}
			set(true, standin.NoFault)
			for _, in := range fleet.instances {
				eventually(t, "confirmed again", in.isConfirmed)
				eventually(t, "that is logged", func() bool { return strings.Contains(in.logs.String(), "configuration is confirmed again") })
			}
		})
	}
}

// Guards against an instance that starts from the copy of a restored store and counts its older configuration as
// confirmed.
func TestConfigurationOfACopyIsNotConfirmed(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t)
	fleet.configure("old.example", "orders")
	first := fleet.startInstance("one", "a")
	eventually(t, "ready", func() bool { return first.ready(t) })
	saved := fleet.store.Save()
	fleet.configure("new.example", "orders")
	inForce := platform.ConfigVersion(fleet.version)
	eventually(t, "the new version is in force", func() bool { return first.gateway.control.snapshot.Load().Version == inForce })
	fleet.store.Restore(saved)
	last := fleet.startInstance("two", "a")
	eventually(t, "the new version is confirmed", func() bool {
		_, known := last.gateway.control.configurationAge()
		version := last.gateway.control.snapshot.Load().Version
		if known && version < inForce {
			t.Fatalf("version %d is confirmed; another instance has %d in force", version, inForce)
		}
		return known
	})
}

// Guards against changes that a watch has not returned and that count as applied.
func TestWatchWithoutEventsConfirmsNothing(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t)
	fleet.configure("h.example", "orders")
	in := fleet.startInstance("one", "a")
	eventually(t, "confirmed", in.isConfirmed)
	in.gateway.control.accountsEnabled.Store(true)
	watches := fleet.store.Calls("watch")
	fleet.store.SetFault(standin.NoWatchEvents) // Ends the watch; the next gets no events.
	eventually(t, "it watches again", func() bool { return fleet.store.Calls("watch") > watches })
	fleet.configure("other.example", "orders")
	changed := in.gateway.control.clock()
	for range 300 {
		age, known := in.gateway.control.configurationAge()
		now := in.gateway.control.clock()
		if version := in.gateway.control.snapshot.Load().Version; known && version < platform.ConfigVersion(fleet.version) && now-age > changed {
			t.Fatalf("version %d is confirmed with an age of %v, %v after a change", version, age, now-changed)
		}
		time.Sleep(10 * time.Millisecond)
	}
	fleet.store.SetFault(standin.NoFault)
	eventually(t, "the change is in force and confirmed", func() bool {
		return in.isConfirmed() && in.gateway.control.snapshot.Load().Version == platform.ConfigVersion(fleet.version)
	})
}

func TestConfirmationReplies(t *testing.T) {
	const sent, now = 10 * time.Second, 14 * time.Second
	for name, tc := range map[string]struct {
		replies []confirmationReply
		want    time.Duration // Age at now; 0 if it is not known.
	}{
		"late":                  {[]confirmationReply{{Nonce: 1, Version: 5, AgeMillis: 500}}, 4500 * time.Millisecond},
		"twice":                 {[]confirmationReply{{Nonce: 1, Version: 5, AgeMillis: 500}, {Nonce: 1, Version: 5}}, 4500 * time.Millisecond},
		"of two instances":      {[]confirmationReply{{Nonce: 2, Version: 5, AgeMillis: 300}, {Nonce: 1, Version: 4, AgeMillis: 500}}, 4300 * time.Millisecond},
		"to nothing asked":      {[]confirmationReply{{Nonce: 3, Version: 5}}, 0},
		"of a later version":    {[]confirmationReply{{Nonce: 1, Version: 6}}, 0},
		"of an impossible age":  {[]confirmationReply{{Nonce: 1, Version: 5, AgeMillis: math.MaxUint64}}, 0},
		"of an earlier version": {[]confirmationReply{{Nonce: 1, Version: 4, AgeMillis: 1}}, 4001 * time.Millisecond},
	} {
		s := DefaultSettings()
		c := newControl(&s, slog.New(slog.DiscardHandler), nil)
		c.clock = func() time.Duration { return now }
		c.confirmations.tracker.InForce(5)
		c.confirmations.asks = []confirmationAsk{{nonce: 1, at: sent}, {nonce: 2, at: sent}}
		for _, reply := range tc.replies {
			data, err := encodeKind(datagramConfirmationReply, reply)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := decodeKind[confirmationReply](data[1:])
			if err != nil {
				t.Fatal(err)
			}
			c.handleConfirmationReply(time.Now(), decoded)
		}
		if age, known := c.configurationAge(); known != (tc.want > 0) || age != tc.want {
			t.Errorf("%s: age %v, known: %t, want %v", name, age, known, tc.want)
		}
		const suspended = time.Minute
		c.clock = func() time.Duration { return now + suspended }
		if age, known := c.configurationAge(); known && age != tc.want+suspended {
			t.Errorf("%s: age %v after a suspension", name, age)
		}
	}
}

func TestConfirmersAreNearFollowersFirst(t *testing.T) {
	now := time.Now()
	m := newMembers("self", "a", slog.New(slog.DiscardHandler))
	add := func(name, zone string, following, leaving bool) {
		m.byKey[name] = &member{memberRecord: &memberRecord{CallerAddr: name, Zone: zone}, key: name, lastSeen: now, following: following, leaving: leaving}
	}
	add("far 1", "b", true, false)
	add("far 2", "c", true, false)
	add("idle", "a", false, false)
	add("leaving", "a", true, true)
	want := func(far bool, kinds string) {
		t.Helper()
		var got []string
		for _, e := range m.confirmers(now, far) {
			got = append(got, strings.Fields(e.CallerAddr)[0])
		}
		if strings.Join(got, " ") != kinds {
			t.Errorf("far %t: got %v, want %s", far, got, kinds)
		}
	}
	want(false, "far far")
	add("near 1", "a", true, false)
	want(false, "near")
	want(true, "near far")
	add("near 2", "a", true, false)
	want(false, "near near")
	want(true, "near far")
	m.drop("far 1")
	m.drop("far 2")
	want(true, "near idle")
	clear(m.byKey)
	want(true, "")
}

// Guards against a later change that hides one that a watch has passed over.
func TestChangesAfterAGapConfirmNothing(t *testing.T) {
	s := DefaultSettings()
	c := newControl(&s, slog.New(slog.DiscardHandler), nil)
	c.applyFullRead(time.Now(), nil, 4, 4)
	c.noticeGap(5)
	c.applyFullRead(time.Now(), nil, 6, 6)
	for i, step := range []struct {
		at   platform.Revision
		full bool
		want bool
	}{{6, false, false}, {5, true, false}, {6, true, true}, {7, false, true}} {
		c.confirmRead(time.Now(), c.clock(), step.at, step.full)
		if _, known := c.configurationAge(); known != step.want {
			t.Errorf("step %d: confirmed: %t", i, known)
		}
	}
}
