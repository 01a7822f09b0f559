package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/quota"
	"github.com/damaskcove/damaskcove/internal/accept"
	"github.com/damaskcove/damaskcove/platform"
)

// message is a report and heartbeat of one instance to all others.
type message struct {
	_                  struct{} `cbor:",toarray"`
	From               dispatch.PeerID
	Revision           platform.Revision // Revision of the store that the sender has reached.
	Leaving            bool
	HasFullRetryWindow bool                   // The sender has counted retries for a whole window of the retry budget.
	Following          bool                   // The sender follows the store itself.
	StoreFailing       bool                   // The sender follows the store, and a call failed lately.
	Config             platform.ConfigVersion // In force; 0 before the first.
	Events             []dispatch.Event
	Uses               []quota.Use `cbor:"-"` // Sent as a useReport after the message, if there are any.
}

// useReport is what the sender of the preceding message has used of the limits of accounts.
type useReport struct {
	_    struct{} `cbor:",toarray"`
	Uses []quota.Use
}

// Kinds of datagram, by the first byte. Only datagramRelay and datagramRelayNow are forwarded.
const (
	datagramMessages            byte = iota // One or more of message.
	datagramRelay                           // A message, to be forwarded to all instances of the receiver's zone.
	datagramRelayNow                        // The same, without waiting for other messages.
	datagramChanges                         // A changeBatch.
	datagramFragment                        // A fragment of a changeBatch.
	datagramResendRequest                   // A resendRequest.
	datagramLiveness                        // A livenessReport.
	datagramPlacementRequest                // A placementRequest.
	datagramPlacementReply                  // A placementReply.
	datagramGrantEnd                        // A grantEnd.
	datagramHandoverRequest                 // A handoverRequest.
	datagramHandover                        // A dispatch.Handover.
	datagramConfigRequest                   // A configRequest.
	datagramConfirmationRequest             // A confirmationRequest.
	datagramConfirmationReply               // A confirmationReply.
	datagramQuotaLevels                     // A quotaLevels.
	datagramFreshness                       // A freshnessReport.
)

const (
	// maxDatagramBytes is less than the smallest common MTU.
	maxDatagramBytes = 1400
	// maxEvents keeps a message within maxDatagramBytes: an event takes at most 14 bytes.
	maxEvents = 90
	// maxUses bounds the uses in a message. Each takes at most 25 bytes, the place of eventsPerUse events.
	maxUses      = 30
	eventsPerUse = 2
	// useReportHead is the first byte of a useReport, an array of one element. That of a message is another one.
	useReportHead = 0x81
)

var errDatagram = errors.New("malformed datagram")

func encodeMessage(m message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a message of %d events: %w", len(m.Events), err)
	}
	data := append([]byte{datagramMessages}, body...)
	if len(m.Uses) == 0 {
		return data, nil
	}
	uses, err := cbor.Marshal(useReport{Uses: m.Uses})
	if err != nil {
		return nil, fmt.Errorf("encode a message with the uses of %d accounts: %w", len(m.Uses), err)
	}
	return append(data, uses...), nil
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
		if rest[0] == useReportHead && len(list) > 0 {
			var u useReport
			if rest, err = cbor.UnmarshalFirst(rest, &u); err != nil {
				return nil, fmt.Errorf("%w of %d bytes: %w", errDatagram, len(data), err)
			}
			list[len(list)-1].Uses = u.Uses
			continue
		}
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
		return nil, fmt.Errorf("parse the address for peers %q: %w", addr, err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	return &peerSocket{conn: conn}, nil
}

// receive calls handle for each datagram until the socket is closed. data is reused after handle
// returns.
func (p *peerSocket) receive(handle func(data []byte)) {
	buffer := make([]byte, maxDatagramBytes+1)
	var backoff accept.Backoff
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(backoff.Next())
			continue
		}
		backoff.Reset()
		handle(buffer[:n])
	}
}

// send sends a datagram to the given addresses. Errors are ignored: later reports cover a loss.
func (p *peerSocket) send(data []byte, to []netip.AddrPort) {
	for _, addr := range to {
		_, _ = p.conn.WriteToUDPAddrPort(data, addr)
	}
}

// broadcast sends a message to all instances: to those of this zone, directly or by a relay, and to
// a relay of each other zone.
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

// pickOne returns a random address, as a slice.
func pickOne(list []netip.AddrPort) []netip.AddrPort {
	return list[rand.IntN(len(list)):][:1]
}

// maxDirectPeers is the number of other instances in a zone from which messages go by a relay.
// Sent directly, the datagrams that each receives would grow with the requests of all others.
const maxDirectPeers = 20

// relaysOf returns the relays of a zone, which forward the messages of the whole fleet to each
// instance of their zone. They are chosen like coordinators, by the fastest links.
func relaysOf(zone []*memberRecord) []netip.AddrPort {
	list := make([]broker.Instance, 0, len(zone))
	at := make(map[string]netip.AddrPort, len(zone))
	for _, e := range zone {
		key, _ := e.PeerAddr.MarshalBinary() // It never returns an error.
		list = append(list, broker.Instance{Incarnation: uint64(e.Peer), Key: string(key), LinkMbps: e.LinkMbps})
		at[string(key)] = e.PeerAddr
	}
	var relays []netip.AddrPort
	for _, i := range broker.Coordinators(list) {
		relays = append(relays, at[i.Key])
	}
	return relays
}

// peerRoutes holds the addresses by which messages reach the other instances. It is immutable.
type peerRoutes struct {
	zone         []netip.AddrPort            // Other instances of this zone.
	relays       []netip.AddrPort            // Relays of this zone; none while it is small.
	isRelay      bool                        // This instance is a relay of its zone.
	remoteRelays map[string][]netip.AddrPort // Relays by other zone; none is empty.
}

func newPeerRoutes(alive []*memberRecord, self memberRecord) *peerRoutes {
	zones := make(map[string][]*memberRecord)
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
	r.relays = relaysOf(append(own, &self))
	r.isRelay = slices.Contains(r.relays, self.PeerAddr)
	return r
}
