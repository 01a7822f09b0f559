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

// zones is the instances of some zones, whose datagrams arrive at once.
type zones struct {
	t          *testing.T
	peerRoutes map[netip.AddrPort]*peerRoutes
	relays     map[netip.AddrPort]*relay
	received   map[netip.AddrPort]map[dispatch.PeerID]int // Messages by receiver and sender.
	sent       map[netip.AddrPort]int                     // Datagrams.
}

func newZones(t *testing.T, sizes map[string]int) (*zones, []*member) {
	t.Helper()
	z := &zones{t: t, peerRoutes: map[netip.AddrPort]*peerRoutes{}, relays: map[netip.AddrPort]*relay{}, received: map[netip.AddrPort]map[dispatch.PeerID]int{}, sent: map[netip.AddrPort]int{}}
	var all []*member
	for zone, n := range sizes {
		for i := range n {
			at := netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:7540", zone[0], i+1))
			all = append(all, &member{memberRecord: memberRecord{Peer: dispatch.PeerID(len(all) + 1), Zone: zone, PeerAddr: at}})
		}
	}
	for k, e := range all {
		others := append(append([]*member{}, all[:k]...), all[k+1:]...)
		z.peerRoutes[e.PeerAddr] = newPeerRoutes(others, e.memberRecord)
		z.received[e.PeerAddr] = map[dispatch.PeerID]int{}
		z.relays[e.PeerAddr] = &relay{
			send:      func(data []byte, to []netip.AddrPort) { z.send(e.PeerAddr, data, to) },
			targets:   func() []netip.AddrPort { return z.peerRoutes[e.PeerAddr].zone },
			afterFunc: func(time.Duration, func()) {}, // tell ends every wait.
		}
	}
	return z, all
}

func (z *zones) send(from netip.AddrPort, data []byte, to []netip.AddrPort) {
	if len(data) > maxDatagramBytes {
		z.t.Fatalf("%d bytes", len(data))
	}
	for _, at := range to {
		z.sent[from]++
		list, err := decodeMessages(data)
		if err != nil {
			z.t.Fatal(err)
		}
		for _, m := range list {
			z.received[at][m.From]++
		}
		if data[0] != datagramMessages {
			z.relays[at].forward(data[1:], data[0] == datagramRelayNow)
		}
	}
}

// tell has every instance send a number of messages.
func (z *zones) broadcastAll(all []*member, messages int) {
	for range messages {
		for _, e := range all {
			data, err := encodeMessage(message{From: e.Peer, Events: []dispatch.Event{{Endpoint: 1, Kind: dispatch.Started}}})
			if err != nil {
				z.t.Fatal(err)
			}
			broadcast(data, false, z.peerRoutes[e.PeerAddr], func(data []byte, to []netip.AddrPort) { z.send(e.PeerAddr, data, to) }, z.relays[e.PeerAddr])
		}
	}
	for _, r := range z.relays {
		r.flushDue()
	}
}

func TestEveryInstanceHearsEachMessageOnce(t *testing.T) {
	for _, sizes := range []map[string]int{{"a": 1}, {"a": 12, "b": 3}, {"a": 40, "b": 12, "c": 1}, {"a": 33, "b": 33, "c": 33}} {
		z, all := newZones(t, sizes)
		z.broadcastAll(all, 3)
		for _, to := range all {
			for _, from := range all {
				if got := z.received[to.PeerAddr][from.Peer]; to != from && got != 3 {
					t.Fatalf("zones %v: %s heard %d of 3 messages of %s", sizes, to.PeerAddr, got, from.PeerAddr)
				}
			}
		}
	}
}

// The load that it answers: of forty instances of a zone two have links of 200 Mbit/s, the others
// of 10, which a relay fills: what it drops are repeats that nobody counts.
func TestTheFastestLinksRelay(t *testing.T) {
	var zone []*member
	for i := range 40 {
		e := &member{memberRecord: memberRecord{Zone: "a", LinkMbps: 10, PeerAddr: netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:7540", i+1))}}
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

// The load that it answers: in a fleet of a hundred instances every one tells all others of
// each request, thousands of times a second.
func TestMessagesThatComeTogetherAreSentTogether(t *testing.T) {
	z, all := newZones(t, map[string]int{"a": 40})
	for _, r := range z.relays {
		r.lastSent = time.Now().Add(time.Hour) // Nothing is due until the test says so.
	}
	z.broadcastAll(all, 4)
	total := 0
	for _, n := range z.sent {
		total += n
	}
	if direct := 40 * 39 * 4; total > direct/10 {
		t.Errorf("%d datagrams for 160 messages to 39 others, one by one it is %d", total, direct)
	}
}

// The load that it answers: a quiet fleet, in which evidence is worth most while it is fresh.
func TestALoneMessageIsPassedOnAtOnce(t *testing.T) {
	sends := 0
	r := &relay{send: func([]byte, []netip.AddrPort) { sends++ }, targets: func() []netip.AddrPort { return nil }, afterFunc: func(time.Duration, func()) {}}
	r.forward([]byte{1}, false)
	if sends != 1 {
		t.Error("the message waits though none came before it")
	}
	r.forward([]byte{2}, false)
	if sends != 1 {
		t.Error("a second message that can wait does not")
	}
	r.forward([]byte{3}, true)
	if sends != 2 {
		t.Error("an urgent message waits")
	}
	r.forward([]byte{4}, false)
	r.flushDue()
	if sends != 3 || len(r.pending) != 0 {
		t.Errorf("%d datagrams, %d bytes wait", sends, len(r.pending))
	}
}
