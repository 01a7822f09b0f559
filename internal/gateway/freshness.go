package gateway

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/following"
	"github.com/damaskcove/damaskcove/platform"
)

// freshnessReport tells the instances of a zone that the store had no change after a revision some time ago. A follower
// sends one after each response of the store.
type freshnessReport struct {
	_         struct{} `cbor:",toarray"`
	From      dispatch.PeerID
	Revision  platform.Revision
	AgeMillis uint64
}

// confirmFresh records that the store had no change after a revision at a time, by a read of this instance whose changes are
// applied, and reports it to the zone.
func (c *control) confirmFresh(now, at time.Time, revision platform.Revision) {
	c.freshness.Confirm(at, revision, c.replica.Revision())
	if !c.shouldFollow.Load() || revision > c.replica.Revision() {
		return
	}
	r := freshnessReport{From: c.peer, Revision: revision, AgeMillis: uint64(max(now.Sub(at), 0).Milliseconds())}
	data, err := encodeKind(datagramFreshness, r)
	if err != nil {
		c.log.Error("cannot encode the freshness report; it is not sent", "error", err.Error())
		return
	}
	c.socket.send(data, c.snapshot.Load().peerRoutes.zone)
}

// handleFreshnessReport records how fresh another instance's copy of the store is, and thus this one's.
func (c *control) handleFreshnessReport(now time.Time, r freshnessReport) {
	if e := c.members.byPeer[r.From]; e == nil || r.AgeMillis > uint64(maxDuration.Milliseconds()) {
		return
	}
	c.freshness.Confirm(now.Add(-time.Duration(r.AgeMillis)*time.Millisecond), r.Revision, c.replica.Revision())
}

// updateFollowing decides whether this instance has to follow the store itself.
func (c *control) updateFollowing(now time.Time) {
	view := following.View{Peers: c.members.zonePeers(now), KnownAt: c.freshness.At(), Schedule: c.schedule()}
	c.preferredFollower.Store(c.followPolicy.IsPreferredFollower(view.Peers))
	on := c.followPolicy.ShouldFollow(now, view)
	if on != c.shouldFollow.Load() {
		c.shouldFollow.Store(on)
		c.log.Info("role as a follower of the store changed", "itself", on, "peers_in_zone", len(view.Peers), "store_age_ms", c.storeAge(now).Milliseconds())
		if !on {
			c.setFollowing(false)
		}
		notify(c.followChanged)
	}
	if due := c.followPolicy.DueAt(view); !on && due.After(now) && due.Sub(now) < tickInterval {
		c.followTimer.Reset(due.Sub(now)) // The next tick would be too late.
	}
}

// storeAge returns how old this instance's knowledge of the store is; 0 before the first read.
func (c *control) storeAge(now time.Time) time.Duration {
	if at := c.freshness.At(); !at.IsZero() {
		return now.Sub(at)
	}
	return 0
}
