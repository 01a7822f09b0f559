package gateway

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskcove/damaskcove/coord/replica"
	"github.com/damaskcove/damaskcove/platform"
	"github.com/damaskcove/damaskcove/platform/standin"
)

// storeLink is a TCP proxy between one instance and the store. It can be set to reject connections.
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

// refuse sets whether the link rejects the instance's connections; on also resets open ones.
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

// startWithStoreLink starts an instance of zone a with its own link to the store.
func (fleet *testFleet) startWithStoreLink(id string) (*instance, *storeLink) {
	link := newStoreLink(fleet.t, fleet.store.Addr())
	path := fleet.settingsFile(id, "a")
	text, err := os.ReadFile(path)
	if err != nil {
		fleet.t.Fatal(err)
	}
	text = []byte(strings.Replace(string(text), fleet.store.Addr(), link.listener.Addr().String(), 1))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	return fleet.startWith(path, id), link
}

// followers reports for each instance whether it follows the store.
func followers(instances []*instance) []bool {
	var out []bool
	for _, in := range instances {
		reply := make(chan bool, 1)
		in.gateway.control.post(func() { reply <- in.gateway.control.following })
		out = append(out, <-reply)
	}
	return out
}

// hasEndpoint reports whether the instance may place requests on an endpoint.
func (in *instance) hasEndpoint(id string) bool {
	reply := make(chan bool, 1)
	in.gateway.control.post(func() {
		reply <- in.gateway.control.machine.Chance(time.Now(), endpointID(id)) > 0
	})
	return <-reply
}

func startZone(t *testing.T, n int) (*testFleet, []*instance, []*storeLink) {
	t.Helper()
	return startZoneWithBrokers(t, n, DefaultSettings().Place.BrokersFrom)
}

// startZoneWithBrokers starts a zone of n instances with place.brokers_from set to brokersFrom. It
// returns once two instances follow the store and all have the same revision.
func startZoneWithBrokers(t *testing.T, n, brokersFrom int) (*testFleet, []*instance, []*storeLink) {
	t.Helper()
	fleet := newTestFleet(t)
	fleet.brokersFrom = brokersFrom
	fleet.configure("h.example", "orders")
	var instances []*instance
	var links []*storeLink
	for i := range n {
		in, link := fleet.startWithStoreLink(fmt.Sprintf("edge-%d", i))
		instances, links = append(instances, in), append(links, link)
	}
	eventually(t, "two instances follow the store", func() bool {
		got := followers(instances)
		return got[0] && got[1] && !slices.Contains(got[2:], true)
	})
	eventually(t, "all have the same revision of the store", func() bool {
		for _, in := range instances {
			c := in.gateway.control
			if c.knownRevision.Load() != instances[0].gateway.control.knownRevision.Load() || len(c.snapshot.Load().alive) != n-1 {
				return false
			}
		}
		return true
	})
	return fleet, instances, links
}

// Guards against calls of the store that grow with instances times changes: each change would wake
// every instance's watch. Instances that don't follow the store get changes from those that do.
func TestFollowersForwardChangesToTheirZone(t *testing.T) {
	fleet, instances, links := startZone(t, 4)
	for _, link := range links[2:] {
		link.refuse(true)
	}
	calls := fleet.store.Calls("range")
	fleet.startUpstream("i-1", "orders")
	for _, in := range instances {
		eventually(t, "the upstream is in use", func() bool { return in.hasEndpoint("i-1") })
	}
	fleet.store.Delete("servers/i-1")
	for _, in := range instances {
		eventually(t, "the upstream is no longer used", func() bool { return !in.hasEndpoint("i-1") })
	}
	if got := fleet.store.Calls("range"); got != calls {
		t.Errorf("%d full reads of the store, want none", got-calls)
	}
}

// Guards against a zone that gets no changes: the store rejects some instances, its followers among
// them.
func TestNextInstancesFollowWhenStoreRejectsFollowers(t *testing.T) {
	fleet, instances, links := startZone(t, 4)
	links[0].refuse(true)
	links[1].refuse(true)
	eventually(t, "the other two follow the store", func() bool { return slices.Equal(followers(instances), []bool{false, false, true, true}) })
	fleet.startUpstream("i-1", "orders")
	fleet.configure("other.example", "orders")
	for _, in := range instances {
		eventually(t, "the upstream is in use", func() bool { return in.hasEndpoint("i-1") })
	}
	links[0].refuse(false)
	links[1].refuse(false)
	eventually(t, "the first two follow the store again", func() bool { return slices.Equal(followers(instances), []bool{true, true, false, false}) })
}

// Guards against every instance becoming a follower: the store rejects all coordinators of a large
// zone. Exactly two others have to follow, instead of one after the other until all do.
func TestTwoInstancesFollowWhenStoreRejectsCoordinators(t *testing.T) {
	fleet, instances, links := startZoneWithBrokers(t, 9, 9)
	for _, link := range links[:3] {
		link.refuse(true)
	}
	want := []bool{false, false, false, true, true, false, false, false, false}
	eventually(t, "two other instances follow the store", func() bool { return slices.Equal(followers(instances), want) })
	fleet.startUpstream("i-1", "orders")
	for _, in := range instances {
		eventually(t, "the upstream is in use", func() bool { return in.hasEndpoint("i-1") })
	}
	time.Sleep(10 * failoverTime) // Long enough for further instances to become followers, if they did.
	if got := followers(instances); !slices.Equal(got, want) {
		t.Errorf("followers %v", got)
	}
}

// failoverTime is about how long another instance takes to begin to follow the store.
const failoverTime = 200 * time.Millisecond

// Guards against a configuration that doesn't reach instances that the store rejects, as it is too
// large for a datagram: it is forwarded in fragments.
func TestLargeConfigurationIsForwardedInFragments(t *testing.T) {
	fleet, instances, links := startZone(t, 4)
	for _, link := range links[2:] {
		link.refuse(true)
	}
	for version := 7; version < 10; version++ {
		fleet.configureVersion(version, strings.Repeat("long.", 400*(version-6))+"example", "orders")
		for _, in := range instances {
			eventually(t, "the version is in force", func() bool { return int(in.gateway.control.snapshot.Load().Version) == version })
		}
	}
}

// dropChanges undoes the changes that an instance received from an upstream's registration on, as
// if the datagrams had been lost. dropRequest makes it also lose its request for a resend.
func (in *instance) dropChanges(fleet *testFleet, key string, dropRequest bool) {
	inControl(in, func(c *control) bool {
		c.registry.remove(time.Now(), key)
		items := slices.DeleteFunc(c.replica.Items(), func(item replica.Item[platform.Revision]) bool { return item.Key == key })
		before := platform.NewRevision(fleet.store.Era(), fleet.store.RevisionOf(key)) - 1
		c.replica = replica.NewCopy[platform.Revision]()
		c.replica.ReadAll(before, before, items)
		if dropRequest {
			c.lag = replica.Lag{}
			c.lag.Notice(time.Now().Add(-receiverLagTimeout))
			c.lag.Next(time.Now(), receiverLagTimeout, func() bool { return true })
		}
		c.applyUpstreams(time.Now())
		return true
	})
}

// Guards against a call of the store for each lost datagram: a follower resends missed changes, also
// to an instance that the store rejects.
func TestMissedChangesAreResent(t *testing.T) {
	fleet, instances, links := startZone(t, 4)
	last := instances[3]
	links[3].refuse(true)
	fleet.startUpstream("i-1", "orders")
	eventually(t, "the upstream is in use", func() bool { return last.hasEndpoint("i-1") })
	last.dropChanges(fleet, "servers/i-1", false)
	fleet.startUpstream("i-2", "orders")
	for _, id := range []string{"i-1", "i-2"} {
		eventually(t, "the upstream is in use", func() bool { return last.hasEndpoint(id) })
	}
}

// Guards against instances that miss configuration changes after the store has removed their
// registrations and rejects their calls: their zone still forwards the changes to them.
func TestDeregisteredInstanceStillGetsChanges(t *testing.T) {
	for name, brokersFrom := range map[string]int{"without coordinators": 100, "with coordinators": 4} {
		t.Run(name, func(t *testing.T) {
			fleet, instances, links := startZoneWithBrokers(t, 5, brokersFrom)
			last := instances[4]
			links[4].refuse(true)
			fleet.store.Delete("instances/edge-4")
			for _, in := range instances[:4] {
				eventually(t, "the registration is removed", func() bool { return in.gateway.control.knownRevision.Load() >= uint64(fleet.revision()) })
			}
			for version := 7; version < 10; version++ {
				fleet.configureVersion(version, strings.Repeat("long.", 500)+"example", "orders")
				eventually(t, "the version is in force", func() bool { return int(last.gateway.control.snapshot.Load().Version) == version })
			}
			for _, in := range instances[:4] {
				if got := len(in.gateway.control.snapshot.Load().alive); got != 4 {
					t.Errorf("%d other instances are alive, want 4", got)
				}
			}
		})
	}
}

// An instance whose registration expired in an outage of which the store keeps no history never registered
// again while its lease was alive.
func TestInstanceMissingInFullReadRegistersAgain(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	eventually(t, "ready and registered", func() bool { return in.ready(t) && fleet.store.RevisionOf("instances/one") > 0 })
	fleet.store.SetFault(standin.Unavailable)
	fleet.store.Delete("instances/one")
	fleet.store.Compact()
	fleet.store.SetFault(standin.NoFault)
	eventually(t, "registered again", func() bool { return fleet.store.RevisionOf("instances/one") > 0 })
}

// Every other heartbeat was skipped, as the one before it had been sent a little after its tick.
func TestHeartbeatIsSentAtEachTick(t *testing.T) {
	settings := DefaultSettings()
	c := newControl(&settings, slog.New(slog.DiscardHandler), nil)
	now := time.Now()
	lastSent := now.Add(time.Millisecond - tickInterval)
	c.lastSent = lastSent
	c.tick(now)
	if c.lastSent.Equal(lastSent) {
		t.Errorf("no heartbeat %s after the last", now.Sub(lastSent))
	}
}

// Guards against an instance that stays behind: its request for a resend is lost while the store
// rejects its calls, so it has to request again.
func TestMissedChangesAreRequestedUntilReceived(t *testing.T) {
	fleet, instances, links := startZone(t, 4)
	last := instances[3]
	links[3].refuse(true)
	fleet.startUpstream("i-1", "orders")
	eventually(t, "the upstream is in use", func() bool { return last.hasEndpoint("i-1") })
	fleet.store.Put("servers/i-foreign", []byte{0}) // Another change follows, as when an instance registers again.
	eventually(t, "the last instance has the change", func() bool { return last.gateway.control.knownRevision.Load() >= uint64(fleet.revision()) })
	last.dropChanges(fleet, "servers/i-1", true)
	fleet.startUpstream("i-2", "orders")
	for _, id := range []string{"i-1", "i-2"} {
		eventually(t, "the upstream is in use", func() bool { return last.hasEndpoint(id) })
	}
}

// Guards against a gap in a follower's history: it receives some changes from another follower before
// its own watch returns them, and its watch continues after them. It must resend those as well.
func TestFollowerResendsChangesItReceived(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	eventually(t, "ready", func() bool { return in.ready(t) })
	complete := inControl(in, func(c *control) bool {
		before := c.replica.Revision()
		c.handleChanges(time.Now(), changeBatch{After: before, At: before + 1, Items: []keyChange{{Key: "servers/i-1", Revision: before + 1, Deleted: true}}})
		c.forward(newChangeBatch(c.peer, nil, before+1, before+2))
		got := c.history.after(before)
		return len(got) == 2 && got[0].At == before+1 && got[1].At == before+2
	})
	if !complete {
		t.Error("the history has a gap at changes received from another follower")
	}
}

func TestHistoryAfterHasNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		now := time.Unix(1000, 0)
		at := platform.Revision(10)
		for range rapid.IntRange(0, 2*maxHistory).Draw(t, "batches") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			after := at + platform.Revision(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1}).Draw(t, "gap"))
			at = after + platform.Revision(rapid.IntRange(1, 5).Draw(t, "changes"))
			h.add(now, changeBatch{After: after, At: at})
		}
		if len(h.batches) > maxHistory || len(h.batches) != len(h.times) {
			t.Fatalf("%d batches are kept", len(h.batches))
		}
		known := platform.Revision(rapid.Uint64Range(5, uint64(at)+5).Draw(t, "known"))
		got := h.after(known)
		if len(got) > 0 && (got[0].After > known || got[len(got)-1].At != at) {
			t.Fatalf("from %d: %+v", known, got)
		}
		if len(got) == 0 && known < at && len(h.batches) > 0 && h.batches[0].After <= known && !slices.ContainsFunc(h.batches, func(b changeBatch) bool { return b.After > known }) {
			t.Fatalf("no batches after revision %d, though the history has them", known)
		}
	})
}

// A change that is too large even for fragments is read from the store by each instance.
func TestChangeTooLargeForFragmentsIsReadFromStore(t *testing.T) {
	fleet, instances, _ := startZone(t, 3)
	fleet.startUpstream("i-1", "orders")
	fleet.configureVersion(7, strings.Repeat("long.", maxFragments*fragmentBytes/5)+"example", "orders")
	for _, in := range instances {
		eventually(t, "the version is in force", func() bool { return in.gateway.control.snapshot.Load().Version == 7 })
	}
}

// Guards against dropping all upstreams: their registrations expire in an outage of the store.
// Instances that get the deletions from a follower must keep the upstreams for a grace period too.
func TestUpstreamsStayInUseWhenRegistrationsExpireInStoreOutage(t *testing.T) {
	fleet, instances, _ := startZone(t, 3)
	fleet.startUpstream("i-1", "orders")
	for _, in := range instances {
		eventually(t, "the upstream is in use", func() bool { return in.hasEndpoint("i-1") })
	}
	fleet.store.SetFault(standin.Unavailable)
	for _, in := range instances {
		eventually(t, "the store outage is noticed", func() bool {
			return strings.Contains(in.logs.String(), `"msg":"store unavailable; serving with the last known state"`)
		})
	}
	fleet.store.Delete("servers/i-1")
	fleet.store.SetFault(standin.NoFault)
	for _, in := range instances {
		eventually(t, "the missing registration is noticed", func() bool {
			return strings.Contains(in.logs.String(), "upstream registration missing after a store outage")
		})
	}
}

func TestChangeBatchDatagramsRoundTrip(t *testing.T) {
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
		known, applied := after, 0
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
			applied += len(f.Items)
		}
		if tooLarge == 0 && (applied != len(items) || known != at) {
			t.Fatalf("%d of %d changes, up to %d of %d", applied, len(items), known, at)
		}
	})
}

// Fragments arrive out of order, twice, not at all, or from a batch that a newer one has replaced.
func TestFragmentsReassembleInAnyOrder(t *testing.T) {
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
			p := rapid.SampledFrom(all).Draw(t, "fragment")
			if got := j.add(p); got != nil && string(got) != want[p.ID.At] {
				t.Fatalf("%d bytes of batch %d, %d sent", len(got), p.ID.At, len(want[p.ID.At]))
			}
		}
	})
}

// Guards against a lost request for a resync: it comes while a follower batches changes.
func TestResyncDuringBatchDelayIsNotLost(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	eventually(t, "ready", func() bool { return in.ready(t) })
	watches, reads := fleet.store.Calls("watch"), fleet.store.Calls("range")
	eventually(t, "the instance watches", func() bool { return fleet.store.Calls("watch") > watches })
	fleet.startUpstream("i-1", "orders")
	eventually(t, "the upstream is in use", func() bool { return in.hasEndpoint("i-1") })
	inControl(in, func(c *control) bool { c.requestResync(true); return true })
	eventually(t, "the store is read", func() bool { return fleet.store.Calls("range") > reads })
}

// Guards against a full resync that is dropped, as after a pause, while a smaller one waits.
func TestFullResyncReplacesWaitingOne(t *testing.T) {
	settings := DefaultSettings()
	for _, requests := range [][]bool{{false, true}, {true, false}, {true, true}} {
		c := newControl(&settings, slog.New(slog.DiscardHandler), nil)
		for _, full := range requests {
			c.requestResync(full)
		}
		if full := <-c.resync; !full {
			t.Errorf("requests %v: not of all keys", requests)
		}
	}
}

// Guards against changes that reach the followers alone: a follower learns them by a read of all keys,
// and the others of its zone don't reach the store.
func TestFollowerForwardsChangesOfFullRead(t *testing.T) {
	fleet, instances, links := startZone(t, 3)
	last := instances[2]
	links[2].refuse(true)
	fleet.startUpstream("i-1", "orders")
	eventually(t, "the upstream is in use", func() bool { return last.hasEndpoint("i-1") })
	fleet.store.SetFault(standin.NoWatchEvents)
	eventually(t, "the last failure of the store is long ago", func() bool {
		return !slices.ContainsFunc(instances[:2], func(in *instance) bool {
			return inControl(in, func(c *control) bool { return c.storeFailing(time.Now()) })
		})
	})
	fleet.configure("h.example", "orders")
	fleet.startUpstream("i-2", "orders")
	fleet.store.Delete("servers/i-1")
	inControl(instances[0], func(c *control) bool { c.requestResync(true); return true })
	eventually(t, "the changes are applied", func() bool {
		return last.gateway.control.snapshot.Load().Version == 2 && last.hasEndpoint("i-2") && !last.hasEndpoint("i-1")
	})
}

// Guards against changes that receivers skip as known: a key changes between two pages of a read of all
// keys, and its revision, after that of the read, would become that of the receivers.
func TestFullReadForwardsNoChangesAfterItsRevision(t *testing.T) {
	settings := DefaultSettings()
	c := newControl(&settings, slog.New(slog.DiscardHandler), nil)
	now := time.Unix(1000, 0)
	c.applyFullRead(now, nil, 5, 5)
	var items []platform.Item
	for revision := platform.Revision(6); revision < 30; revision++ {
		items = append(items, platform.Item{Key: fmt.Sprint("servers/i-", revision), Value: make([]byte, maxDatagramBytes/2), Revision: revision})
	}
	c.applyFullRead(now, items, 9, 29)
	after := platform.Revision(5)
	for _, b := range c.history.after(after) {
		if b.After != after || b.At > 9 || slices.ContainsFunc(b.Items, func(item keyChange) bool { return item.Revision > b.At }) {
			t.Errorf("a batch from %d to %d has the changes %+v", b.After, b.At, b.Items)
		}
		after = b.At
	}
	if after != 9 {
		t.Errorf("changes are forwarded up to revision %d, want 9", after)
	}
}

// Guards against a configuration that reaches the followers alone after an outage in which registrations
// expired, and against upstreams that others remove at once while the followers keep them.
func TestFollowerForwardsConfigurationOfFullReadAfterOutage(t *testing.T) {
	fleet, instances, links := startZone(t, 3)
	last := instances[2]
	links[2].refuse(true)
	fleet.startUpstream("i-1", "orders")
	eventually(t, "the upstream is in use", func() bool { return last.hasEndpoint("i-1") })
	fleet.store.SetFault(standin.Unavailable)
	eventually(t, "the outage is noticed", func() bool { return slices.Equal(followers(instances), []bool{false, false, false}) })
	fleet.store.Delete("servers/i-1")
	fleet.configure("h.example", "orders")
	revision := fleet.revision()
	fleet.store.SetFault(standin.NoFault)
	eventually(t, "the configuration is in force", func() bool { return last.gateway.control.snapshot.Load().Version == 2 })
	if inControl(last, func(c *control) bool { return c.replica.Revision() >= revision }) {
		t.Error("the instance has a revision without its deletions")
	}
	if !last.hasEndpoint("i-1") {
		t.Error("the upstream that is missing after the outage is removed at once")
	}
}

// Guards against a configuration that waits for missed changes: of a burst of dozens of datagrams, at
// hundreds of changes a second, one is lost. A configuration after the gap applies at once, and the
// missed changes are requested.
func TestConfigurationAfterGapIsApplied(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	eventually(t, "ready", func() bool { return in.ready(t) })
	value := fleet.store.Value("op/config")
	next := bytes.Replace(value, []byte("00000001"), []byte("00000009"), 1)
	older := bytes.Replace(value, []byte("00000001"), []byte("00000004"), 1)
	type state struct {
		version  platform.ConfigVersion
		revision platform.Revision
		behind   bool
	}
	for _, config := range [][]byte{next, older} {
		before := inControl(in, func(c *control) platform.Revision { return c.replica.Revision() })
		got := inControl(in, func(c *control) state {
			at := c.replica.Revision() + 9
			c.handleChanges(time.Now(), changeBatch{After: at - 1, At: at, Items: []keyChange{
				{Key: platform.ConfigKey, Value: config, Revision: at}, {Key: "servers/i-1", Revision: at, Deleted: true},
			}})
			return state{c.config.Version, c.replica.Revision(), !c.lag.Since().IsZero()}
		})
		if want := (state{9, before, true}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	eventually(t, "in force", func() bool { return in.gateway.control.snapshot.Load().Version == 9 })
}

// Guards against stale data: a slow watch or read must not restore what a later change, received
// from a follower, has replaced.
func TestOlderChangeDoesNotReplaceLaterOne(t *testing.T) {
	fleet := newTestFleet(t)
	in := fleet.startInstance("one", "a")
	fleet.configure("h.example", "orders")
	u := fleet.startUpstream("i-1", "orders")
	eventually(t, "the upstream is in use", func() bool { return in.hasEndpoint("i-1") })
	c := in.gateway.control
	done := make(chan platform.Revision, 1)
	entry := fmt.Appendf(nil, `{"service":"orders","address":%q,"zone":"a","version":"v1","capacity":4,"state":"ready","warmup_left":"0ms","sequence":4}`, u.addr)
	c.post(func() {
		now := time.Now()
		later := c.replica.Revision() + 10
		c.handleChanges(now, changeBatch{After: c.replica.Revision(), At: later, Items: []keyChange{{Key: "servers/i-1", Revision: later, Deleted: true}}})
		c.applyBatch(now, newChangeBatch(c.peer, []platform.Item{{Key: "servers/i-1", Value: entry, Revision: later - 1}}, later-2, later-1), sourceWatch)
		c.applyFullRead(now, []platform.Item{{Key: "servers/i-1", Value: entry, Revision: later - 1}}, later-1, later-1)
		done <- c.replica.Revision() - later
	})
	if back := <-done; back != 0 || in.hasEndpoint("i-1") {
		t.Errorf("revision differs by %d; the deleted upstream is in use: %t", back, in.hasEndpoint("i-1"))
	}
}

func FuzzDecodeChangeBatch(f *testing.F) {
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
