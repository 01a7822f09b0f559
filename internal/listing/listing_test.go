package listing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/wire"
)

func endpoint(port, slots int, state fleet.UpstreamState) fleet.Upstream {
	return fleet.Upstream{Endpoint: fleet.Endpoint(fmt.Sprint("127.0.0.1:", port)), Zone: "z", Slots: slots, State: state}
}

func drawChange(rt *rapid.T) func(l *metastore.Listing) {
	service := fleet.Service(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "service"))
	port := rapid.IntRange(1, 4).Draw(rt, "port")
	instance := fleet.Instance{Ref: ref(port), PeerAddr: fmt.Sprint("127.0.0.1:", port)}
	switch rapid.IntRange(0, 3).Draw(rt, "change") {
	case 0:
		return func(l *metastore.Listing) { delete(l.Upstreams, service) }
	case 1:
		return func(l *metastore.Listing) {
			l.Instances = slices.DeleteFunc(l.Instances, func(i fleet.Instance) bool { return i.Ref == instance.Ref })
		}
	case 2:
		return func(l *metastore.Listing) {
			l.Instances = slices.DeleteFunc(l.Instances, func(i fleet.Instance) bool { return i.Ref == instance.Ref })
			l.Instances = append(l.Instances, instance)
		}
	default:
		return func(l *metastore.Listing) {
			l.Upstreams[service] = append(l.Upstreams[service], endpoint(port, 4, fleet.UpstreamReady))
		}
	}
}

// TestVersionsNeverDecreaseAndConverge drops, duplicates and delays messages, makes the list stale
// or unavailable, and changes the watchers.
func TestVersionsNeverDecreaseAndConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(5, 2)
		var delayed []packet
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "network"), 0))
		s.lost = func(p packet) bool {
			switch random.IntN(4) {
			case 0:
				return true
			case 1:
				delayed = append(delayed, p)
				return true
			default:
				return false
			}
		}
		check := func() {
			for i, m := range s.managers {
				l := m.Snapshot()
				if l == nil {
					continue
				}
				if l.Version < s.versions[i] {
					rt.Fatalf("instance %d went from version %d to %d", i, s.versions[i], l.Version)
				}
				s.versions[i] = l.Version
				checkSame(rt, i, l, &s.history[l.Version])
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"publish": func(rt *rapid.T) { s.publish(drawChange(rt)) },
			"pass": func(rt *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "ticks")) * 50 * time.Millisecond)
			},
			"lag":    func(rt *rapid.T) { s.lag = rapid.IntRange(0, 3).Draw(rt, "lag") },
			"outage": func(rt *rapid.T) { s.down = rapid.Bool().Draw(rt, "down") },
			"watcher": func(rt *rapid.T) {
				s.watchers[rapid.IntRange(0, 4).Draw(rt, "instance")] = rapid.Bool().Draw(rt, "watches")
			},
			"late": func(*rapid.T) {
				late := delayed
				delayed = nil
				for _, p := range late {
					s.deliver(p)
					s.deliver(p)
				}
				s.deliverAll()
			},
			"": func(*rapid.T) { check() },
		})
		s.lost = func(packet) bool { return false }
		s.down, s.lag = false, 0
		s.advance(2 * WatcherTimeout)
		check()
		for i, m := range s.managers {
			if got := m.Snapshot(); got == nil || got.Version != s.latest.Version {
				rt.Fatalf("instance %d holds %+v, the latest is version %d", i, got, s.latest.Version)
			}
		}
	})
}

func checkSame(rt *rapid.T, i int, got, want *metastore.Listing) {
	if len(got.Upstreams) != len(want.Upstreams) || len(got.Instances) != len(want.Instances) {
		rt.Fatalf("instance %d holds %+v, version %d is %+v", i, got, want.Version, want)
	}
	for service, upstreams := range want.Upstreams {
		if !slices.Equal(got.Upstreams[service], upstreams) {
			rt.Fatalf("instance %d holds %+v, version %d is %+v", i, got, want.Version, want)
		}
	}
	for _, instance := range want.Instances {
		if !slices.ContainsFunc(got.Instances, func(g fleet.Instance) bool { return reflect.DeepEqual(g, instance) }) {
			rt.Fatalf("instance %d lacks %+v of version %d", i, instance, want.Version)
		}
	}
}

// TestReadsDoNotGrowWithTheFleet counts the reads in one minute for two fleet sizes with two watchers.
func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{12, 44} {
		s := newSimulation(size, 2)
		s.publish(func(l *metastore.Listing) { l.Upstreams["a"] = []fleet.Upstream{endpoint(1, 4, fleet.UpstreamReady)} })
		s.advance(10 * time.Second)
		s.reads = 0
		s.advance(time.Minute)
		if least, most := 2*40, 2*80; s.reads < least || s.reads > most {
			t.Errorf("%d instances: %d reads in a minute, want %d to %d", size, s.reads, least, most)
		}
	}
}

func TestMembersReadWithoutWatcher(t *testing.T) {
	s := newSimulation(3, 1)
	s.advance(time.Second)
	s.watchers[0] = false
	s.publish(func(l *metastore.Listing) { l.Upstreams["a"] = []fleet.Upstream{endpoint(1, 4, fleet.UpstreamReady)} })
	s.advance(2 * WatcherTimeout)
	for i, m := range s.managers {
		if m.Snapshot().Version != 1 {
			t.Errorf("instance %d is at version %d", i, m.Snapshot().Version)
		}
	}
}

func TestReadsDuringOutageFromStart(t *testing.T) {
	s := newSimulation(3, 0)
	s.down = true
	s.advance(10 * time.Second)
	if s.reads > 3*13 {
		t.Fatalf("3 instances without a list read it %d times in 10 s", s.reads)
	}
}

func TestUnusableEntriesAreDropped(t *testing.T) {
	good := endpoint(1, 4, fleet.UpstreamCold)
	l := &metastore.Listing{Version: 1, Upstreams: map[fleet.Service][]fleet.Upstream{"a": {
		good, endpoint(0, 4, fleet.UpstreamReady), endpoint(2, 0, fleet.UpstreamReady), endpoint(3, MaxSlots+1, fleet.UpstreamReady),
		endpoint(4, 4, 9), {Endpoint: "localhost:80", Slots: 1, State: fleet.UpstreamReady},
	}}, Instances: []fleet.Instance{{Ref: ref(1), PeerAddr: "here"}, {Ref: ref(2), PeerAddr: "127.0.0.1:5"}}}
	got, dropped := clean(l)
	m := Message{Kind: MessageChange, Version: 2, Base: 1, Upstreams: l.Upstreams, Instances: append([]fleet.Instance{{Ref: ref(2), PeerAddr: "gone"}}, l.Instances[0])}
	if n := m.clean(); n != 7 {
		t.Errorf("dropped %d of the message", n)
	}
	if after := m.apply(got); len(after.Instances) != 0 || !slices.Equal(after.Upstreams["a"], []fleet.Upstream{good}) {
		t.Errorf("after the message: %+v", after)
	}
	if dropped != 6 || !slices.Equal(got.Upstreams["a"], []fleet.Upstream{good}) || len(got.Instances) != 1 {
		t.Fatalf("dropped %d: %+v", dropped, got)
	}
}

func TestMalformedMessages(t *testing.T) {
	s := newSimulation(1, 0)
	for _, body := range []any{Message{Kind: 99}, "text", 7} {
		data, err := wire.Encode(wire.KindListing, body)
		if err != nil {
			t.Fatal(err)
		}
		e, err := wire.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.managers[0].Deliver(s.now, ref(5), e); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%v: %v", body, err)
		}
	}
}
