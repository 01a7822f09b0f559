package gateway

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

// Guards against the use of an upstream that drains: a registration that was written before, and takes its
// effect late, must not make it ready again.
func TestLateRegistrationDoesNotEndADrain(t *testing.T) {
	const born = 1_700_000_000_000
	now := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		state          string
		sequence, born int64
		draining       bool
	}{
		"from before":            {"ready", 8, born, true},
		"newer":                  {"ready", 10, born, false},
		"of another start":       {"ready", 1, born + 1, false},
		"draining, from before":  {"draining", 8, born, true},
		"draining, of one start": {"draining", 1, born + 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(slog.New(slog.DiscardHandler))
			put := func(state string, sequence, born int64) {
				r.put(now, registration{key: "servers/i-1", value: fmt.Appendf(nil, `{"service":"s","address":"192.0.2.1:80","zone":"a","version":"v","capacity":4,"state":%q,"warmup_left":"0ms","sequence":%d,"born":%d}`, state, sequence, born)})
			}
			put("ready", 7, born)
			put("draining", 9, born)
			put(tc.state, tc.sequence, tc.born)
			list := r.endpoints(&platform.Config{Services: map[string]platform.Service{"s": {}}})
			if len(list) != 1 || list[0].Draining != tc.draining {
				t.Errorf("got %+v", list)
			}
		})
	}
}

// A copy of the store lists upstreams as they were. What is known of them since holds, until the store goes on listing
// them for longer than it lists silent ones.
func TestRegistrationsOfACopyDoNotReplaceWhatIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	value := func(state string, sequence int, born int64) []byte {
		return fmt.Appendf(nil, `{"service":"s","address":"192.0.2.1:80","zone":"a","version":"v","capacity":4,"state":%q,"warmup_left":"0ms","sequence":%d,"born":%d}`, state, sequence, born)
	}
	for name, tc := range map[string]struct {
		removed  bool
		state    string
		sequence int
		born     int64
		taken    bool
	}{
		"the same":                         {false, "ready", 7, 5000, true},
		"later":                            {false, "draining", 8, 5000, true},
		"earlier":                          {false, "draining", 6, 5000, false},
		"of an earlier start":              {false, "draining", 9, 4000, false},
		"of a later start":                 {false, "draining", 1, 6000, true},
		"of one that has left":             {true, "ready", 7, 5000, false},
		"of one that has left, later":      {true, "ready", 8, 5000, true},
		"of one that has left, an earlier": {true, "ready", 6, 5000, false},
		"of one that has started again":    {true, "ready", 1, 6000, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(slog.New(slog.DiscardHandler))
			const key = "servers/i-1"
			r.put(now, registration{key: key, value: value("ready", 7, 5000), revision: platform.NewRevision(1, 9)})
			if tc.removed {
				r.remove(now, key)
			}
			of := registration{key: key, value: value(tc.state, tc.sequence, tc.born), revision: platform.NewRevision(2, 4)}
			listed := func() bool {
				e := r.entries[key]
				return e != nil && e.Sequence == int64(tc.sequence) && e.Started.UnixMilli() == tc.born
			}
			restored := of
			restored.restored = true
			r.put(now, restored)
			r.put(now, of) // Another read of the same entry.
			if listed() != tc.taken {
				t.Errorf("taken: %t", listed())
			}
			r.expire(now.Add(staleTimeout + time.Millisecond))
			if !listed() {
				t.Error("not used though the store goes on listing it")
			}
		})
	}
}

// A copy of the store may hold an earlier start of an instance that runs, or an instance that has left.
func TestMembersOfACopyDoNotReplaceThoseThatSendMessages(t *testing.T) {
	now := time.Unix(1000, 0)
	record := func(peer dispatch.PeerID) []byte {
		data, err := cbor.Marshal(memberRecord{Peer: peer, Zone: "a", CallerAddr: "192.0.2.1:80", PeerAddr: netip.MustParseAddrPort("192.0.2.1:81")})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	m := newMembers("self", "a", slog.New(slog.DiscardHandler))
	m.put(now, memberPrefix+"runs", record(2))
	m.put(now, memberPrefix+"silent", record(3))
	now = now.Add(time.Minute)
	m.recordMessage(now, &message{From: 2})
	for id, peer := range map[string]dispatch.PeerID{"runs": 1, "silent": 4, "left": 5} {
		m.putRestored(now, memberPrefix+id, record(peer))
	}
	for id, want := range map[string]struct {
		peer  dispatch.PeerID
		alive bool
	}{"runs": {2, true}, "silent": {4, false}, "left": {5, false}} {
		if e := m.byKey[memberPrefix+id]; e.Peer != want.peer || e.isAlive(now) != want.alive {
			t.Errorf("%s: incarnation %d, alive: %t", id, e.Peer, e.isAlive(now))
		}
	}
}

func TestRemovalsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRegistry(slog.New(slog.DiscardHandler))
	for i := range maxRemovals + 10 {
		r.removed[fmt.Sprint("servers/i-", i)] = removal{at: now.Add(time.Duration(i) * time.Millisecond)}
	}
	r.expire(now)
	if _, kept := r.removed["servers/i-9"]; kept || len(r.removed) != maxRemovals {
		t.Errorf("%d removals, the oldest among them: %t", len(r.removed), kept)
	}
	if r.expire(now.Add(removalRetention + time.Hour)); len(r.removed) != 0 {
		t.Errorf("%d removals after their time", len(r.removed))
	}
}

// A registration of a copy that the store has removed since must not be used, also if the removal shows only by its absence.
func TestStaleRegistrationThatIsRemovedIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	const key = "servers/i-1"
	value := []byte(`{"service":"s","address":"192.0.2.1:80","zone":"a","version":"v","capacity":4,"state":"ready","warmup_left":"0ms","sequence":7,"born":5000}`)
	for name, disappear := range map[string]func(r *registry){
		"deleted":                 func(r *registry) { r.remove(now, key) },
		"missing":                 func(r *registry) { r.remove(now, r.keys()[0]) },
		"missing after a failure": func(r *registry) { r.markMissing(now, r.keys()[0]) },
	} {
		r := newRegistry(slog.New(slog.DiscardHandler))
		r.put(now, registration{key: key, value: value, revision: 1})
		r.remove(now, key)
		r.put(now, registration{key: key, value: value, revision: 2, restored: true})
		disappear(r)
		if r.expire(now.Add(2 * staleTimeout)); len(r.entries) > 0 {
			t.Errorf("%s: used", name)
		}
	}
}
