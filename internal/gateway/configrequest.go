package gateway

import (
	"net/netip"
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

// A restored store may hold an older configuration than the one in force until the operator writes again. An instance
// that starts meanwhile, or had missed the change, gets it from the others.

// configRequest requests the configuration in force from an instance that has a later version.
type configRequest struct {
	_    struct{} `cbor:",toarray"`
	From dispatch.PeerID
}

// configLagTimeout is how long another instance may have a later version of the configuration before it is requested:
// longer than a change takes to every zone.
const configLagTimeout = 300 * time.Millisecond

// noticeConfig requests the configuration of another instance that has had a later version for too long.
func (c *control) noticeConfig(now time.Time, m *message) {
	switch {
	case !c.replica.Read() || m.Config <= c.configVersion():
		return
	case c.olderConfigAt.IsZero():
		c.olderConfigAt = now
		return
	case now.Sub(c.olderConfigAt) < configLagTimeout:
		return
	}
	c.olderConfigAt = now
	c.sendTo(m.From, datagramConfigRequest, configRequest{From: c.peer})
}

// handleConfigRequest sends an instance the configuration in force, as a batch without a change of the revision.
func (c *control) handleConfigRequest(_ time.Time, m configRequest) {
	e := c.members.byPeer[m.From]
	if e == nil || c.config == nil {
		return
	}
	at := c.replica.Revision()
	b := newStandalone(c.peer, []platform.Item{{Key: platform.ConfigKey, Value: c.configValue, Revision: at}}, at)
	datagrams, err := b.datagrams()
	if err != nil {
		c.log.Error("cannot encode the configuration; not sending it to an instance that requested it", "version", c.config.Version.String(), "error", err.Error())
		return
	}
	for _, data := range datagrams {
		c.socket.send(data, []netip.AddrPort{e.PeerAddr})
	}
}
