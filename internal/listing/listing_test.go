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

// TestVersionsNeverGoDownAndAllConverge loses, doubles and holds back messages, lets the list lag and
// go away, and changes who watches.
func TestVersionsNeverGoDownAndAllConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(5, 2)
		var held []packet
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "network"), 0))
		w.lost = func(p packet) bool {
			switch random.IntN(4) {
			case 0:
				return true
			case 1:
				held = append(held, p)
				return true
			default:
				return false
			}
		}
		check := func() {
			for i, d := range w.duties {
				l := d.Snapshot()
				if l == nil {
					continue
				}
				if l.Version < w.versions[i] {
					rt.Fatalf("instance %d went from version %d to %d", i, w.versions[i], l.Version)
				}
				w.versions[i] = l.Version
				checkSame(rt, i, l, &w.history[l.Version])
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"publish": func(rt *rapid.T) { w.publish(drawChange(rt)) },
			"pass": func(rt *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 40).Draw(rt, "ticks")) * 50 * time.Millisecond)
			},
			"lag":    func(rt *rapid.T) { w.lag = rapid.IntRange(0, 3).Draw(rt, "lag") },
			"outage": func(rt *rapid.T) { w.down = rapid.Bool().Draw(rt, "down") },
			"watcher": func(rt *rapid.T) {
				w.watchers[rapid.IntRange(0, 4).Draw(rt, "instance")] = rapid.Bool().Draw(rt, "watches")
			},
			"late": func(*rapid.T) {
				late := held
				held = nil
				for _, p := range late {
					w.deliver(p)
					w.deliver(p)
				}
				w.settle()
			},
			"": func(*rapid.T) { check() },
		})
		w.lost = func(packet) bool { return false }
		w.down, w.lag = false, 0
		w.pass(2 * WatcherTimeout)
		check()
		for i, d := range w.duties {
			if got := d.Snapshot(); got == nil || got.Version != w.latest.Version {
				rt.Fatalf("instance %d holds %+v, the latest is version %d", i, got, w.latest.Version)
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

// TestReadsDoNotGrowWithTheFleet counts the reads of a minute at two sizes of fleet with two watchers.
func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{12, 44} {
		w := newWorld(size, 2)
		w.publish(func(l *metastore.Listing) { l.Upstreams["a"] = []fleet.Upstream{endpoint(1, 4, fleet.UpstreamReady)} })
		w.pass(10 * time.Second)
		w.reads = 0
		w.pass(time.Minute)
		if least, most := 2*40, 2*80; w.reads < least || w.reads > most {
			t.Errorf("%d instances: %d reads in a minute, want %d to %d", size, w.reads, least, most)
		}
	}
}

func TestMembersReadWhenNoWatcherIsHeard(t *testing.T) {
	w := newWorld(3, 1)
	w.pass(time.Second)
	w.watchers[0] = false
	w.publish(func(l *metastore.Listing) { l.Upstreams["a"] = []fleet.Upstream{endpoint(1, 4, fleet.UpstreamReady)} })
	w.pass(2 * WatcherTimeout)
	for i, d := range w.duties {
		if d.Snapshot().Version != 1 {
			t.Errorf("instance %d is at version %d", i, d.Snapshot().Version)
		}
	}
}

func TestReadsInAnOutageFromTheStart(t *testing.T) {
	w := newWorld(3, 0)
	w.down = true
	w.pass(10 * time.Second)
	if w.reads > 3*13 {
		t.Fatalf("3 instances without a list read it %d times in 10 s", w.reads)
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
	w := newWorld(1, 0)
	for _, body := range []any{Message{Kind: 99}, "text", 7} {
		data, err := wire.Encode(wire.KindListing, body)
		if err != nil {
			t.Fatal(err)
		}
		e, err := wire.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if err := w.duties[0].Deliver(w.now, ref(5), e); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%v: %v", body, err)
		}
	}
}
