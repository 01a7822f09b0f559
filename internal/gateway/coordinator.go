package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
)

const (
	// coordinatorWarmUp is how long a new coordinator reports nobody as silent: it must have had the
	// time to receive their heartbeats.
	coordinatorWarmUp = 1500 * time.Millisecond
	// maxReportedFollowers bounds the followers in a report. There are two, and briefly more while
	// the role moves to another instance.
	maxReportedFollowers = 8
	// remoteReportTargets is the number of coordinators of each other zone that get a report.
	remoteReportTargets = 2
)

// electCoordinators determines the coordinators of each zone. A fleet of fewer than
// place.brokers_from instances has none.
func (c *control) electCoordinators(now time.Time, alive []*member) {
	was := c.isCoordinator()
	c.coordinators, c.remoteCoordinators = nil, nil
	if len(c.members.byKey)+1 >= c.settings.Place.BrokersFrom {
		byZone := make(map[string][]broker.Instance)
		for _, e := range alive {
			byZone[e.Zone] = append(byZone[e.Zone], broker.Instance{Incarnation: uint64(e.Peer), Key: e.key, LinkMbps: e.LinkMbps})
		}
		own := c.settings.Instance.Zone
		if !c.leaving {
			byZone[own] = append(byZone[own], broker.Instance{Incarnation: uint64(c.peer), Key: c.members.self, LinkMbps: c.self.LinkMbps})
		}
		c.coordinators = broker.Coordinators(byZone[own])
		delete(byZone, own)
		for zone, list := range byZone {
			byZone[zone] = broker.Coordinators(list)
		}
		c.remoteCoordinators = byZone
	}
	if c.isCoordinator() && !was {
		c.coordinatorSince = now
		c.log.Info("became a coordinator of the zone", "keepers", len(c.coordinators), "instances", len(c.members.byKey)+1)
	}
	c.members.setCoordinators(c.coordinators)
	c.followPolicy.SetKey(c.members.followerKey(c.members.self))
}

// isCoordinator reports whether this instance is a coordinator of its zone.
func (c *control) isCoordinator() bool {
	return slices.ContainsFunc(c.coordinators, func(i broker.Instance) bool { return i.Incarnation == uint64(c.peer) })
}

// brokered reports whether the fleet is so large that brokers place its requests.
func (c *control) brokered() bool {
	return len(c.coordinators) > 0
}

// sendHeartbeat sends a heartbeat to the zone's coordinators. A coordinator also sends its liveness
// report to its zone and to coordinators of the other zones.
func (c *control) sendHeartbeat(now time.Time) {
	data, err := encodeMessage(c.message(now, nil))
	if err != nil {
		c.log.Error("cannot encode the heartbeat; it is not sent", "error", err.Error())
		return
	}
	c.socket.send(data, c.addrsOf(c.coordinators))
	if !c.isCoordinator() {
		return
	}
	if data, err = encodeKind(datagramLiveness, c.livenessReport(now)); err != nil {
		c.log.Error("cannot encode the liveness report; it is not sent", "error", err.Error())
		return
	}
	c.socket.send(data, c.snapshot.Load().peerRoutes.zone)
	for _, coordinators := range c.remoteCoordinators {
		c.socket.send(data, c.addrsOf(coordinators[:min(len(coordinators), remoteReportTargets)]))
	}
}

// addrsOf returns the datagram addresses of the given instances, without this one.
func (c *control) addrsOf(list []broker.Instance) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range list {
		if e := c.members.byPeer[dispatch.PeerID(i.Incarnation)]; e != nil {
			out = append(out, e.PeerAddr)
		}
	}
	return out
}

// livenessReport returns this coordinator's report of silent instances and of followers.
func (c *control) livenessReport(now time.Time) livenessReport {
	r := livenessReport{
		From: c.peer, Revision: c.replica.Revision(), Following: c.isFollowing(now), StoreFailing: c.following && c.storeFailing(now), Leaving: c.leaving, Config: c.configVersion(),
	}
	for _, e := range c.members.byKey {
		if e.following && e.Zone == c.members.zone && len(r.Followers) < maxReportedFollowers {
			r.Followers = append(r.Followers, e.Peer)
		}
	}
	if now.Sub(c.coordinatorSince) < coordinatorWarmUp {
		return r
	}
	zoneAlive := make(map[string]bool)
	var silent []*member
	for _, e := range c.members.byKey {
		if e.isSilent(now) {
			silent = append(silent, e)
		} else {
			zoneAlive[e.Zone] = true
		}
	}
	for _, e := range silent {
		switch {
		case !zoneAlive[e.Zone] && e.Zone != c.settings.Instance.Zone:
			if !slices.Contains(r.SilentZones, e.Zone) {
				r.SilentZones = append(r.SilentZones, e.Zone)
			}
		case len(r.Silent) < maxReportedSilent:
			r.Silent = append(r.Silent, e.Peer)
		}
	}
	return r
}

// handleLivenessReport processes a coordinator's report. One of this zone covers all instances;
// one of another zone, the instances of that zone.
func (c *control) handleLivenessReport(now time.Time, r livenessReport) {
	sender := c.members.byPeer[r.From]
	if sender == nil {
		return
	}
	c.handleMessage(now, &message{From: r.From, Revision: r.Revision, Leaving: r.Leaving, Following: r.Following, StoreFailing: r.StoreFailing, Config: r.Config})
	silent := make(map[dispatch.PeerID]bool, len(r.Silent))
	for _, p := range r.Silent {
		silent[p] = true
	}
	if sender.Zone == c.members.zone && !c.isCoordinator() {
		c.members.setFollowers(sender, r.Followers)
		c.updateFollowing(now)
	}
	for _, e := range c.members.byKey {
		switch {
		case e == sender || sender.Zone != c.members.zone && e.Zone != sender.Zone:
		case c.isCoordinator() && e.Zone == c.members.zone:
			// A coordinator gets the heartbeats of its zone's instances itself.
		case silent[e.Peer] || slices.Contains(r.SilentZones, e.Zone):
			e.markSilent(now)
		default:
			e.lastSeen = now
		}
	}
}
