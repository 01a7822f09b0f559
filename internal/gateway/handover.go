package gateway

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
)

const (
	// handoverTimeout is how long an instance that has started asks others for what they know.
	handoverTimeout = 2 * time.Second
	// handoverPeers is the number of instances that are asked at a time: a datagram may be lost.
	handoverPeers = 2
)

// handoverRequest requests what another instance knows of the endpoints and of the retries. It bears
// the address for the answer, as the receiver may not know the sender yet.
type handoverRequest struct {
	_        struct{} `cbor:",toarray"`
	PeerAddr netip.AddrPort
}

// requestHandover asks a few instances of this zone, or of any if it has no other. In a brokered fleet
// the brokers hold that knowledge.
func (c *control) requestHandover(now time.Time) {
	if c.brokered() || c.settings.Instance.FirstStart {
		return
	}
	if c.handoverUntil.IsZero() {
		c.handoverUntil = now.Add(handoverTimeout)
	}
	var zone, all []*member
	for _, e := range c.members.alive(now) {
		all = append(all, e)
		if e.Zone == c.members.zone {
			zone = append(zone, e)
		}
	}
	if len(zone) == 0 {
		zone = all
	}
	rand.Shuffle(len(zone), func(i, j int) { zone[i], zone[j] = zone[j], zone[i] })
	for _, e := range zone[:min(len(zone), handoverPeers)] {
		c.sendTo(e.Peer, datagramHandoverRequest, handoverRequest{PeerAddr: c.self.PeerAddr})
	}
}

// handleHandoverRequest sends an instance that has started what this one knows.
func (c *control) handleHandoverRequest(now time.Time, m handoverRequest) {
	c.sendQuotaLevels(now, m.PeerAddr)
	for _, part := range c.machine.Handover(now) {
		data, err := encodeKind(datagramHandover, part)
		if err != nil {
			c.log.Error("cannot encode what is known of the endpoints; it is not handed over", "error", err.Error())
			return
		}
		c.socket.send(data, []netip.AddrPort{m.PeerAddr})
	}
}

// handleHandover takes over what another instance knows.
func (c *control) handleHandover(now time.Time, h dispatch.Handover) {
	if len(h.Endpoints) > 0 {
		c.handoverUntil = now // Others that are on their way do no harm.
	}
	c.machine.Adopt(now, h)
}
