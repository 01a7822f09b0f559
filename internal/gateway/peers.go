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
	_         struct{} `cbor:",toarray"`
	From      dispatch.PeerID
	Revision  platform.Revision // Of the store, as far as the sender has followed it.
	Leaving   bool
	Seasoned  bool // The sender has counted repeats for a whole window.
	Following bool // The sender follows the store itself.
	Troubled  bool // The store has failed the sender lately.
	Events    []dispatch.Event
}

// The first byte of a datagram tells what it holds, and whether the receiver passes it on.
const (
	forReceiver    byte = iota // Messages, one after the other.
	forZone                    // A message to be passed on to all instances of the receiver's zone.
	forZoneNow                 // The same, at once.
	storeFeed                  // A feed; it is not passed on.
	storePiece                 // A piece of a feed; it is not passed on.
	storeMissed                // A missed: asks for feeds again.
	keeperRoll                 // A roll.
	brokerQuestion             // A question.
	brokerReply                // A reply.
	brokerEnding               // An ending.
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
	return append([]byte{forReceiver}, body...), nil
}

// decodeMessages returns the messages of a datagram.
func decodeMessages(data []byte) ([]message, error) {
	if len(data) == 0 || data[0] > forZoneNow {
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
func (p *peerSocket) receive(take func(data []byte)) {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			take(buffer[:n])
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
func spread(data []byte, urgent bool, r *routes, send func(data []byte, to []netip.AddrPort), own *relay) {
	data[0] = forZone
	if urgent {
		data[0] = forZoneNow
	}
	for _, relays := range r.others {
		send(data, pickOne(relays))
	}
	switch {
	case r.itself:
		own.pass(data[1:], urgent)
	case len(r.relays) > 0:
		send(data, pickOne(r.relays))
	default:
		data[0] = forReceiver
		send(data, r.zone)
	}
}

func pickOne(list []netip.AddrPort) []netip.AddrPort {
	return list[rand.IntN(len(list)):][:1]
}

// directMost is the most instances of a zone that are told of each event one by one; above,
// what each has to receive grows with all others' requests.
const directMost = 20

// relaysOf returns the relays of a zone, its keepers: a relay sends what the whole fleet tells
// to each of its zone.
func relaysOf(zone []*member) []netip.AddrPort {
	list := make([]broker.Instance, 0, len(zone))
	at := make(map[string]netip.AddrPort, len(zone))
	for _, e := range zone {
		key, _ := e.Peers.MarshalBinary() // It never fails.
		list = append(list, broker.Instance{Incarnation: uint64(e.Peer), Key: string(key), LinkMbps: e.Link})
		at[string(key)] = e.Peers
	}
	var relays []netip.AddrPort
	for _, i := range broker.Coordinators(list) {
		relays = append(relays, at[i.Key])
	}
	return relays
}

// routes are the ways to the other instances. It is immutable.
type routes struct {
	zone   []netip.AddrPort            // In this zone.
	relays []netip.AddrPort            // Of this zone; none while it is small.
	itself bool                        // This instance is one of them.
	others map[string][]netip.AddrPort // Relays by other zone; none is empty.
}

func newRoutes(alive []*member, self memberRecord) *routes {
	zones := make(map[string][]*member)
	for _, e := range alive {
		zones[e.Zone] = append(zones[e.Zone], e)
	}
	r := &routes{others: make(map[string][]netip.AddrPort)}
	for zone, list := range zones {
		if zone != self.Zone {
			r.others[zone] = relaysOf(list)
		}
	}
	own := zones[self.Zone]
	for _, e := range own {
		r.zone = append(r.zone, e.Peers)
	}
	if len(own) < directMost {
		return r
	}
	r.relays = relaysOf(append(own, &member{memberRecord: self}))
	r.itself = slices.Contains(r.relays, self.Peers)
	return r
}
