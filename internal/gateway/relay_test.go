package gateway

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
)

// testNetwork connects the instances of some zones. Datagrams arrive at once and none is lost.
type testNetwork struct {
	t          *testing.T
	peerRoutes map[netip.AddrPort]*peerRoutes
	relays     map[netip.AddrPort]*relay
	received   map[netip.AddrPort]map[dispatch.PeerID]int // Messages by receiver and sender.
	sent       map[netip.AddrPort]int                     // Datagrams.
}

func newTestNetwork(t *testing.T, sizes map[string]int) (*testNetwork, []*memberRecord) {
	t.Helper()
	network := &testNetwork{t: t, peerRoutes: map[netip.AddrPort]*peerRoutes{}, relays: map[netip.AddrPort]*relay{}, received: map[netip.AddrPort]map[dispatch.PeerID]int{}, sent: map[netip.AddrPort]int{}}
	var all []*memberRecord
	for zone, n := range sizes {
		for i := range n {
			at := netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:7540", zone[0], i+1))
			all = append(all, &memberRecord{Peer: dispatch.PeerID(len(all) + 1), Zone: zone, PeerAddr: at})
		}
	}
	for k, e := range all {
		others := append(append([]*memberRecord{}, all[:k]...), all[k+1:]...)
		network.peerRoutes[e.PeerAddr] = newPeerRoutes(others, *e)
		network.received[e.PeerAddr] = map[dispatch.PeerID]int{}
		network.relays[e.PeerAddr] = &relay{
			send:      func(data []byte, to []netip.AddrPort) { network.send(e.PeerAddr, data, to) },
			targets:   func() []netip.AddrPort { return network.peerRoutes[e.PeerAddr].zone },
			afterFunc: func(time.Duration, func()) {}, // broadcastAll flushes instead.
		}
	}
	return network, all
}

func (network *testNetwork) send(from netip.AddrPort, data []byte, to []netip.AddrPort) {
	if len(data) > maxDatagramBytes {
		network.t.Fatalf("%d bytes", len(data))
	}
	for _, at := range to {
		network.sent[from]++
		list, err := decodeMessages(data)
		if err != nil {
			network.t.Fatal(err)
		}
		for _, m := range list {
			network.received[at][m.From]++
		}
		if data[0] != datagramMessages {
			network.relays[at].forward(data[1:], data[0] == datagramRelayNow)
		}
	}
}

// broadcastAll has every instance send a number of messages, and flushes the relays.
func (network *testNetwork) broadcastAll(all []*memberRecord, messages int) {
	for range messages {
		for _, e := range all {
			data, err := encodeMessage(message{From: e.Peer, Events: []dispatch.Event{{Endpoint: 1, Kind: dispatch.Started}}})
			if err != nil {
				network.t.Fatal(err)
			}
			broadcast(data, false, network.peerRoutes[e.PeerAddr], func(data []byte, to []netip.AddrPort) { network.send(e.PeerAddr, data, to) }, network.relays[e.PeerAddr])
		}
	}
	for _, r := range network.relays {
		r.flushDue()
	}
}

func TestBroadcastReachesEveryInstanceOnce(t *testing.T) {
	for _, sizes := range []map[string]int{{"a": 1}, {"a": 12, "b": 3}, {"a": 40, "b": 12, "c": 1}, {"a": 33, "b": 33, "c": 33}} {
		network, all := newTestNetwork(t, sizes)
		network.broadcastAll(all, 3)
		for _, to := range all {
			for _, from := range all {
				if got := network.received[to.PeerAddr][from.Peer]; to != from && got != 3 {
					t.Fatalf("zones %v: %s received %d of 3 messages from %s", sizes, to.PeerAddr, got, from.PeerAddr)
				}
			}
		}
	}
}

// Guards against a relay with a slow link. Of forty instances of a zone two have links of 200 Mbit/s,
// the others of 10 Mbit/s, which a relay saturates: the retries in dropped reports are not counted.
func TestRelaysHaveFastestLinks(t *testing.T) {
	var zone []*memberRecord
	for i := range 40 {
		e := &memberRecord{Zone: "a", LinkMbps: 10, PeerAddr: netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:7540", i+1))}
		if i%20 == 7 {
			e.LinkMbps = 200
		}
		zone = append(zone, e)
	}
	var want []netip.AddrPort
	for _, e := range zone {
		if e.LinkMbps == 200 {
			want = append(want, e.PeerAddr)
		}
	}
	if got := relaysOf(slices.Clone(zone)); !slices.Equal(got, want) {
		t.Errorf("relays %v, want %v", got, want)
	}
	for _, e := range zone {
		e.LinkMbps = 10
	}
	if got := relaysOf(zone); len(got) != broker.MaxCoordinators {
		t.Errorf("%d relays among equals, want %d", len(got), broker.MaxCoordinators)
	}
	if got := relaysOf(zone[:1]); len(got) != 1 {
		t.Errorf("%d relays of a zone of one", len(got))
	}
}

// Guards against a datagram per message and receiver: in a fleet of a hundred instances each reports
// every request to all others, thousands of times a second.
func TestRelayBatchesFrequentMessages(t *testing.T) {
	network, all := newTestNetwork(t, map[string]int{"a": 40})
	for _, r := range network.relays {
		r.lastSent = time.Now().Add(time.Hour) // No message is sent before broadcastAll flushes.
	}
	network.broadcastAll(all, 4)
	total := 0
	for _, n := range network.sent {
		total += n
	}
	if direct := 40 * 39 * 4; total > direct/10 {
		t.Errorf("%d datagrams for 160 messages to 39 others; sent directly it is %d", total, direct)
	}
}

// In a fleet with few requests a report must not wait: it is most useful while it is fresh.
func TestRelayForwardsSingleMessageAtOnce(t *testing.T) {
	sends := 0
	r := &relay{send: func([]byte, []netip.AddrPort) { sends++ }, targets: func() []netip.AddrPort { return nil }, afterFunc: func(time.Duration, func()) {}}
	r.forward([]byte{1}, false)
	if sends != 1 {
		t.Error("a single message is delayed")
	}
	r.forward([]byte{2}, false)
	if sends != 1 {
		t.Error("a second message is not batched")
	}
	r.forward([]byte{3}, true)
	if sends != 2 {
		t.Error("an urgent message is delayed")
	}
	r.forward([]byte{4}, false)
	r.flushDue()
	if sends != 3 || len(r.pending) != 0 {
		t.Errorf("%d datagrams, %d bytes pending", sends, len(r.pending))
	}
}
