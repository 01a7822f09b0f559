package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

// message is what one instance tells all others in a datagram.
type message struct {
	_                  struct{} `cbor:",toarray"`
	From               dispatch.PeerID
	Revision           platform.Revision // Of the store, as far as the sender has followed it.
	Leaving            bool
	HasFullRetryWindow bool // The sender has counted repeats for a whole window.
	Following          bool // The sender follows the store itself.
	StoreFailing       bool // The store has failed the sender lately.
	Events             []dispatch.Event
}

// The first byte of a datagram tells what it holds, and whether the receiver passes it on.
const (
	datagramMessages         byte = iota // Messages, one after the other.
	datagramRelay                        // A message to be passed on to all instances of the receiver's zone.
	datagramRelayNow                     // The same, at once.
	datagramChanges                      // A feed; it is not passed on.
	datagramFragment                     // A piece of a feed; it is not passed on.
	datagramResendRequest                // A missed: asks for feeds again.
	datagramLiveness                     // A roll.
	datagramPlacementRequest             // A question.
	datagramPlacementReply               // A reply.
	datagramGrantEnd                     // An ending.
)

const (
	// maxDatagramBytes is under the smallest usual MTU.
	maxDatagramBytes = 1400
	// maxEvents keeps a message within maxDatagramBytes: an event takes at most 14 bytes.
	maxEvents = 90
)

var errDatagram = errors.New("malformed datagram")

func encodeMessage(m message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a message of %d events: %w", len(m.Events), err)
	}
	return append([]byte{datagramMessages}, body...), nil
}

// decodeMessages returns the messages of a datagram.
func decodeMessages(data []byte) ([]message, error) {
	if len(data) == 0 || data[0] > datagramRelayNow {
		return nil, fmt.Errorf("%w of %d bytes", errDatagram, len(data))
	}
	var list []message
	for rest := data[1:]; len(rest) > 0; {
		var m message
		var err error
		if rest, err = cbor.UnmarshalFirst(rest, &m); err != nil {
			return nil, fmt.Errorf("%w of %d bytes: %w", errDatagram, len(data), err)
		}
		list = append(list, m)
	}
	return list, nil
}

// peerSocket sends and receives datagrams between instances.
type peerSocket struct {
	conn *net.UDPConn
}

func listenPeers(addr string) (*peerSocket, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("address for peers %q: %w", addr, err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	return &peerSocket{conn: conn}, nil
}

// receive hands each datagram to take until the socket is closed. data is reused after take returns.
func (p *peerSocket) receive(handle func(data []byte)) {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(buffer[:n])
		}
	}
}

// send sends a datagram to some instances. A loss is mended by later reports.
func (p *peerSocket) send(data []byte, to []netip.AddrPort) {
	for _, addr := range to {
		_, _ = p.conn.WriteToUDPAddrPort(data, addr)
	}
}

// spread sends a message to all instances: within this zone, and to a relay of each other zone.
func broadcast(data []byte, urgent bool, r *peerRoutes, send func(data []byte, to []netip.AddrPort), own *relay) {
	data[0] = datagramRelay
	if urgent {
		data[0] = datagramRelayNow
	}
	for _, relays := range r.remoteRelays {
		send(data, pickOne(relays))
	}
	switch {
	case r.isRelay:
		own.forward(data[1:], urgent)
	case len(r.relays) > 0:
		send(data, pickOne(r.relays))
	default:
		data[0] = datagramMessages
		send(data, r.zone)
	}
}

func pickOne(list []netip.AddrPort) []netip.AddrPort {
	return list[rand.IntN(len(list)):][:1]
}

// directMost is the most instances of a zone that are told of each event one by one; above,
// what each has to receive grows with all others' requests.
const maxDirectPeers = 20

// relaysOf returns the relays of a zone, its keepers: a relay sends what the whole fleet tells
// to each of its zone.
func relaysOf(zone []*member) []netip.AddrPort {
	list := make([]broker.Instance, 0, len(zone))
	at := make(map[string]netip.AddrPort, len(zone))
	for _, e := range zone {
		key, _ := e.PeerAddr.MarshalBinary() // It never fails.
		list = append(list, broker.Instance{Incarnation: uint64(e.Peer), Key: string(key), LinkMbps: e.LinkMbps})
		at[string(key)] = e.PeerAddr
	}
	var relays []netip.AddrPort
	for _, i := range broker.Coordinators(list) {
		relays = append(relays, at[i.Key])
	}
	return relays
}

// routes are the ways to the other instances. It is immutable.
type peerRoutes struct {
	zone         []netip.AddrPort            // In this zone.
	relays       []netip.AddrPort            // Of this zone; none while it is small.
	isRelay      bool                        // This instance is one of them.
	remoteRelays map[string][]netip.AddrPort // Relays by other zone; none is empty.
}

func newPeerRoutes(alive []*member, self memberRecord) *peerRoutes {
	zones := make(map[string][]*member)
	for _, e := range alive {
		zones[e.Zone] = append(zones[e.Zone], e)
	}
	r := &peerRoutes{remoteRelays: make(map[string][]netip.AddrPort)}
	for zone, list := range zones {
		if zone != self.Zone {
			r.remoteRelays[zone] = relaysOf(list)
		}
	}
	own := zones[self.Zone]
	for _, e := range own {
		r.zone = append(r.zone, e.PeerAddr)
	}
	if len(own) < maxDirectPeers {
		return r
	}
	r.relays = relaysOf(append(own, &member{memberRecord: self}))
	r.isRelay = slices.Contains(r.relays, self.PeerAddr)
	return r
}
