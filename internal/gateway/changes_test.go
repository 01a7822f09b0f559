package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/platform"
	"github.com/damaskcove/damaskcove/platform/standin"
)

// storeLink is the way of one instance to the store. It can be refused.
type storeLink struct {
	listener net.Listener
	store    string

	mu      sync.Mutex
	refused bool
	open    []net.Conn
}

func newStoreLink(t *testing.T, store string) *storeLink {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &storeLink{listener: l, store: store}
	t.Cleanup(func() { _ = l.Close(); s.refuse(true) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.proxy(c)
		}
	}()
	return s
}

func (s *storeLink) proxy(c net.Conn) {
	defer func() { _ = c.Close() }()
	up, err := net.Dial("tcp4", s.store)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	s.mu.Lock()
	if s.refused {
		s.mu.Unlock()
		return
	}
	s.open = append(s.open, c, up)
	s.mu.Unlock()
	go func() { _, _ = io.Copy(up, c); _ = up.Close() }()
	_, _ = io.Copy(c, up)
}

// refuse resets the instance's calls of the store from now on, or lets them through again.
func (s *storeLink) refuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = on
	if on {
		for _, c := range s.open {
			_ = c.Close()
		}
		s.open = nil
	}
}

// startLinked starts an instance of zone a with a way to the store of its own.
func (w *world) startLinked(id string) (*instance, *storeLink) {
	link := newStoreLink(w.t, w.store.Addr())
	path := w.settingsFile(id, "a")
	text, err := os.ReadFile(path)
	if err != nil {
		w.t.Fatal(err)
	}
	text = []byte(strings.Replace(string(text), w.store.Addr(), link.listener.Addr().String(), 1))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		w.t.Fatal(err)
	}
	return w.startWith(path, id), link
}

// follows reports which of some instances follow the store.
func followers(instances []*instance) []bool {
	var out []bool
	for _, in := range instances {
		reply := make(chan bool, 1)
		in.gateway.control.post(func() { reply <- in.gateway.control.following })
		out = append(out, <-reply)
	}
	return out
}

// knows reports whether an instance's endpoints include one.
func (in *instance) hasEndpoint(id string) bool {
	reply := make(chan bool, 1)
	in.gateway.control.post(func() {
		reply <- in.gateway.control.machine.Chance(time.Now(), endpointID(id)) > 0
	})
	return <-reply
}

func startZone(t *testing.T, n int) (*world, []*instance, []*storeLink) {
	t.Helper()
	return startZoneOf(t, n, DefaultSettings().Place.BrokersFrom)
}

// startZoneOf starts a zone in which brokers place requests from a number of instances on.
func startZoneOf(t *testing.T, n, brokersFrom int) (*world, []*instance, []*storeLink) {
	t.Helper()
	w := newWorld(t)
	w.brokersFrom = brokersFrom
	w.configure("h.example", "orders")
	var instances []*instance
	var links []*storeLink
	for i := range n {
		in, link := w.startLinked(fmt.Sprintf("edge-%d", i))
		instances, links = append(instances, in), append(links, link)
	}
	eventually(t, "two follow the store", func() bool {
		got := followers(instances)
		return got[0] && got[1] && !slices.Contains(got[2:], true)
	})
	eventually(t, "all know the store equally far", func() bool {
		for _, in := range instances {
			c := in.gateway.control
			if c.knownRevision.Load() != instances[0].gateway.control.knownRevision.Load() || len(c.snapshot.Load().alive) != n-1 {
				return false
			}
		}
		return true
	})
	return w, instances, links
}

// The load that it answers: upstreams register and leave all day, and each change wakes
// every instance's watch.
func TestChangesReachThoseThatDoNotFollowTheStoreWithoutACall(t *testing.T) {
	w, instances, links := startZone(t, 4)
	for _, link := range links[2:] {
		link.refuse(true)
	}
	calls := w.store.Calls("range")
	w.startUpstream("i-1", "orders")
	for _, in := range instances {
		eventually(t, "the upstream is known", func() bool { return in.hasEndpoint("i-1") })
	}
	w.store.Delete("servers/i-1")
	for _, in := range instances {
		eventually(t, "the upstream is gone", func() bool { return !in.hasEndpoint("i-1") })
	}
	if got := w.store.Calls("range"); got != calls {
		t.Errorf("%d reads of everything", got-calls)
	}
}

// The load that it answers: the store refuses some instances, those that follow it among them.
func TestTheNextInLineFollowsWhenTheStoreRefusesThoseBefore(t *testing.T) {
	w, instances, links := startZone(t, 4)
	links[0].refuse(true)
	links[1].refuse(true)
	eventually(t, "the others follow", func() bool { return slices.Equal(followers(instances), []bool{false, false, true, true}) })
	w.startUpstream("i-1", "orders")
	w.configure("other.example", "orders")
	for _, in := range instances {
		eventually(t, "the upstream is known", func() bool { return in.hasEndpoint("i-1") })
	}
	links[0].refuse(false)
	links[1].refuse(false)
	eventually(t, "the first follow again", func() bool { return slices.Equal(followers(instances), []bool{true, true, false, false}) })
}

// The load that it answers: the store refuses all keepers of a large zone. Two others follow it,
// not one after the other until all do.
func TestTwoFollowWhenTheStoreRefusesTheKeepers(t *testing.T) {
	w, instances, links := startZoneOf(t, 9, 9)
	for _, link := range links[:3] {
		link.refuse(true)
	}
	want := []bool{false, false, false, true, true, false, false, false, false}
	eventually(t, "two others follow", func() bool { return slices.Equal(followers(instances), want) })
	w.startUpstream("i-1", "orders")
	for _, in := range instances {
		eventually(t, "the upstream is known", func() bool { return in.hasEndpoint("i-1") })
	}
	time.Sleep(10 * failoverTime) // Whoever still waits for its turn would have followed by then.
	if got := followers(instances); !slices.Equal(got, want) {
		t.Errorf("these follow: %v", got)
	}
}

// turnOfAll is the time in which one instance after the other begins to follow the store.
const failoverTime = 200 * time.Millisecond

// The load that it answers: the configuration changes all day, and fits no datagram. It goes
// in pieces, also to those that the store refuses.
func TestAConfigurationThatFitsNoDatagramIsToldInPieces(t *testing.T) {
	w, instances, links := startZone(t, 4)
	for _, link := range links[2:] {
		link.refuse(true)
	}
	for version := 7; version < 10; version++ {
		w.configureVersion(version, strings.Repeat("long.", 400*(version-6))+"example", "orders")
		for _, in := range instances {
			eventually(t, "the version is in force", func() bool { return int(in.gateway.control.snapshot.Load().Version) == version })
		}
	}
}

// loses undoes what an instance was told from an upstream's registration on, as if the datagrams
// had been lost; and the question for what it missed too.
func (in *instance) dropChanges(w *world, key string, dropRequest bool) {
	inControl(in, func(c *control) bool {
		c.registry.remove(key)
		c.revision = platform.Revision(w.store.RevisionOf(key)) - 1
		if dropRequest {
			c.resendRequested, c.behindSince = true, time.Now()
		}
		c.applyUpstreams(time.Now())
		return true
	})
}

// The load that it answers: datagrams get lost all day, and each loss cost a call of the store.
// What an instance has missed it is told again, also where the store refuses it.
func TestWhatWasMissedIsToldAgain(t *testing.T) {
	w, instances, links := startZone(t, 4)
	last := instances[3]
	links[3].refuse(true)
	w.startUpstream("i-1", "orders")
	eventually(t, "the upstream is known", func() bool { return last.hasEndpoint("i-1") })
	last.dropChanges(w, "servers/i-1", false)
	w.startUpstream("i-2", "orders")
	for _, id := range []string{"i-1", "i-2"} {
		eventually(t, "the upstream is known", func() bool { return last.hasEndpoint(id) })
	}
}

// The load that it answers: the store takes away the registrations of some instances and
// refuses these, while the configuration changes. Their zone tells them all the same.
func TestAnInstanceWhoseRegistrationWasTakenAwayIsStillTold(t *testing.T) {
	for name, brokersFrom := range map[string]int{"all tell all": 100, "keepers tell": 4} {
		t.Run(name, func(t *testing.T) {
			w, instances, links := startZoneOf(t, 5, brokersFrom)
			last := instances[4]
			links[4].refuse(true)
			w.store.Delete("instances/edge-4")
			for _, in := range instances[:4] {
				eventually(t, "the registration is gone", func() bool { return in.gateway.control.knownRevision.Load() >= w.store.Revision() })
			}
			for version := 7; version < 10; version++ {
				w.configureVersion(version, strings.Repeat("long.", 500)+"example", "orders")
				eventually(t, "the version is in force", func() bool { return int(last.gateway.control.snapshot.Load().Version) == version })
			}
			for _, in := range instances[:4] {
				if got := len(in.gateway.control.snapshot.Load().alive); got != 4 {
					t.Errorf("%d others are alive", got)
				}
			}
		})
	}
}

// The question is a datagram that may get lost too, while the store refuses the instance.
func TestWhatWasMissedIsAskedForUntilItIsTold(t *testing.T) {
	w, instances, links := startZone(t, 4)
	last := instances[3]
	links[3].refuse(true)
	w.startUpstream("i-1", "orders")
	eventually(t, "the upstream is known", func() bool { return last.hasEndpoint("i-1") })
	w.store.Put("servers/i-foreign", []byte{0}) // Another change follows, as when an instance registers anew.
	eventually(t, "it is told", func() bool { return last.gateway.control.knownRevision.Load() >= w.store.Revision() })
	last.dropChanges(w, "servers/i-1", true)
	w.startUpstream("i-2", "orders")
	for _, id := range []string{"i-1", "i-2"} {
		eventually(t, "the upstream is known", func() bool { return last.hasEndpoint(id) })
	}
}

// A follower is told of some changes by another before its own watch brings them, and goes on
// from there. Whoever missed these must be told of them all the same.
func TestWhatAFollowerWasToldItTellsAgain(t *testing.T) {
	w := newWorld(t)
	in := w.startInstance("one", "a")
	w.configure("h.example", "orders")
	eventually(t, "ready", func() bool { return in.ready(t) })
	leads := inControl(in, func(c *control) bool {
		before := c.revision
		c.handleChanges(time.Now(), changeBatch{After: before, At: before + 1, Items: []keyChange{{Key: "servers/i-1", Revision: before + 1, Deleted: true}}})
		c.forwardChanges(nil, before+1, before+2)
		got := c.history.after(before)
		return len(got) == 2 && got[0].At == before+1 && got[1].At == before+2
	})
	if !leads {
		t.Error("the history has a gap where another follower was faster")
	}
}

func TestHistoryLeadsOnWithoutAGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		now := time.Unix(1000, 0)
		at := platform.Revision(10)
		for range rapid.IntRange(0, 2*maxHistory).Draw(t, "feeds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			after := at + platform.Revision(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1}).Draw(t, "gap"))
			at = after + platform.Revision(rapid.IntRange(1, 5).Draw(t, "changes"))
			h.add(now, changeBatch{After: after, At: at})
		}
		if len(h.batches) > maxHistory || len(h.batches) != len(h.times) {
			t.Fatalf("%d feeds are kept", len(h.batches))
		}
		known := platform.Revision(rapid.Uint64Range(5, uint64(at)+5).Draw(t, "known"))
		got := h.after(known)
		if len(got) > 0 && (got[0].After > known || got[len(got)-1].At != at) {
			t.Fatalf("from %d: %+v", known, got)
		}
		if len(got) == 0 && known < at && len(h.batches) > 0 && h.batches[0].After <= known && !slices.ContainsFunc(h.batches, func(f changeBatch) bool { return f.After > known }) {
			t.Fatalf("nothing leads on from %d", known)
		}
	})
}

// A change that is too large for pieces is read from the store by each.
func TestAChangeThatIsTooLargeForPiecesIsReadFromTheStore(t *testing.T) {
	w, instances, _ := startZone(t, 3)
	w.startUpstream("i-1", "orders")
	w.configureVersion(7, strings.Repeat("long.", maxFragments*fragmentBytes/5)+"example", "orders")
	for _, in := range instances {
		eventually(t, "the version is in force", func() bool { return in.gateway.control.snapshot.Load().Version == 7 })
	}
}

// The load that it answers: the store loses every registration while it is away. Those that
// are told of it must not take the upstreams for gone, either.
func TestRegistrationsThatLapseWithTheStoreStayInUseEverywhere(t *testing.T) {
	w, instances, _ := startZone(t, 3)
	w.startUpstream("i-1", "orders")
	for _, in := range instances {
		eventually(t, "the upstream is known", func() bool { return in.hasEndpoint("i-1") })
	}
	w.store.SetFault(standin.Unavailable)
	for _, in := range instances {
		eventually(t, "the loss is noticed", func() bool {
			return strings.Contains(in.logs.String(), `"msg":"store unavailable; serving with the last known state"`)
		})
	}
	w.store.Delete("servers/i-1")
	w.store.SetFault(standin.NoFault)
	for _, in := range instances {
		eventually(t, "the lapse is known", func() bool {
			return strings.Contains(in.logs.String(), "upstream registration missing after a store outage")
		})
	}
}

func TestAFeedIsCutIntoDatagramsThatJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var items []platform.Item
		after := platform.Revision(rapid.Uint64Range(1, 1e9).Draw(t, "after"))
		at := after
		tooLarge := 0
		for range rapid.IntRange(0, 60).Draw(t, "items") {
			at += platform.Revision(rapid.IntRange(1, 3).Draw(t, "step"))
			size := rapid.IntRange(0, 400).Draw(t, "size")
			if rapid.IntRange(0, 30).Draw(t, "large") == 0 {
				size = 2 * maxDatagramBytes
			}
			if rapid.IntRange(0, 60).Draw(t, "too large") == 0 {
				size = maxFragments * fragmentBytes
				tooLarge++
			}
			items = append(items, platform.Item{Key: "servers/i-1", Value: make([]byte, size), Revision: at, Deleted: size == 0})
		}
		datagrams, err := newChangeBatch(3, items, after, at).datagrams()
		if err != nil {
			t.Fatal(err)
		}
		known, taken := after, 0
		var assembler reassembler
		for _, data := range datagrams {
			if len(data) > maxDatagramBytes {
				t.Fatalf("%d bytes", len(data))
			}
			if data[0] == datagramFragment {
				p, err := decodeKind[fragment](data[1:])
				if err != nil {
					t.Fatal(err)
				}
				if data = assembler.add(p); data == nil {
					continue
				}
			}
			f, err := decodeKind[changeBatch](data[1:])
			if err != nil || f.After < known {
				t.Fatalf("%+v, %v after revision %d", f, err, known)
			}
			if f.After > known && tooLarge == 0 {
				t.Fatalf("a gap between %d and %d", known, f.After)
			}
			known = f.At
			taken += len(f.Items)
		}
		if tooLarge == 0 && (taken != len(items) || known != at) {
			t.Fatalf("%d of %d changes, up to %d of %d", taken, len(items), known, at)
		}
	})
}

// Pieces come out of order, twice, not at all, or of a feed that another has replaced.
func TestPiecesJoinInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var j reassembler
		want := make(map[platform.Revision]string)
		var all []fragment
		for at := range platform.Revision(3) {
			value := strings.Repeat(fmt.Sprint(at), rapid.IntRange(fragmentBytes, 5*fragmentBytes).Draw(t, "bytes"))
			want[at] = value
			datagrams, err := fragmentBatch(changeBatch{From: 7, At: at}, []byte(value))
			if err != nil {
				t.Fatal(err)
			}
			for _, data := range datagrams {
				p, err := decodeKind[fragment](data[1:])
				if err != nil {
					t.Fatal(err)
				}
				all = append(all, p)
			}
		}
		for range 3 * len(all) {
			p := rapid.SampledFrom(all).Draw(t, "piece")
			if got := j.add(p); got != nil && string(got) != want[p.At] {
				t.Fatalf("%d bytes of feed %d, %d sent", len(got), p.At, len(want[p.At]))
			}
		}
	})
}

// The load that it answers: hundreds of changes a second, told in bursts of dozens of datagrams,
// of which one is lost. A configuration after it is in force at once, and the gap is asked for.
func TestAConfigurationAfterAGapIsAdopted(t *testing.T) {
	w := newWorld(t)
	in := w.startInstance("one", "a")
	w.configure("h.example", "orders")
	eventually(t, "ready", func() bool { return in.ready(t) })
	value := w.store.Value("op/config")
	next := bytes.Replace(value, []byte("00000001"), []byte("00000009"), 1)
	older := bytes.Replace(value, []byte("00000001"), []byte("00000004"), 1)
	type state struct {
		version  platform.ConfigVersion
		revision platform.Revision
		behind   bool
	}
	for _, config := range [][]byte{next, older} {
		before := inControl(in, func(c *control) platform.Revision { return c.revision })
		got := inControl(in, func(c *control) state {
			at := c.revision + 9
			c.handleChanges(time.Now(), changeBatch{After: at - 1, At: at, Items: []keyChange{
				{Key: platform.ConfigKey, Value: config, Revision: at}, {Key: "servers/i-1", Revision: at, Deleted: true},
			}})
			return state{c.config.Version, c.revision, !c.behindSince.IsZero()}
		})
		if want := (state{9, before, true}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	eventually(t, "in force", func() bool { return in.gateway.control.snapshot.Load().Version == 9 })
}

// What was told of before is not taken in again: a slow watch must not bring back what a
// later change has replaced.
func TestAnOlderChangeDoesNotReplaceALaterOne(t *testing.T) {
	w := newWorld(t)
	in := w.startInstance("one", "a")
	w.configure("h.example", "orders")
	u := w.startUpstream("i-1", "orders")
	eventually(t, "known", func() bool { return in.hasEndpoint("i-1") })
	c := in.gateway.control
	done := make(chan platform.Revision, 1)
	entry := fmt.Appendf(nil, `{"service":"orders","address":%q,"zone":"a","version":"v1","capacity":4,"state":"ready","warmup_left":"0ms","sequence":4}`, u.addr)
	c.post(func() {
		now := time.Now()
		later := c.revision + 10
		c.handleChanges(now, changeBatch{After: c.revision, At: later, Items: []keyChange{{Key: "servers/i-1", Revision: later, Deleted: true}}})
		c.applyChanges(now, []platform.Item{{Key: "servers/i-1", Value: entry, Revision: later - 1}}, later-1)
		c.applyFullRead(now, []platform.Item{{Key: "servers/i-1", Value: entry, Revision: later - 1}}, later-1)
		done <- c.revision - later
	})
	if back := <-done; back != 0 || in.hasEndpoint("i-1") {
		t.Errorf("the revision went by %d, the upstream that left is known: %t", back, in.hasEndpoint("i-1"))
	}
}

func FuzzDecodeFeed(f *testing.F) {
	data, err := encodeKind(datagramChanges, newChangeBatch(1, []platform.Item{{Key: "servers/i-1", Value: []byte("{}"), Revision: 7}}, 6, 7))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{datagramChanges, 0x85})
	f.Fuzz(func(_ *testing.T, data []byte) {
		if len(data) > 0 {
			_, _ = decodeKind[changeBatch](data[1:])
		}
	})
}
