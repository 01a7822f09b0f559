package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/damaskcove/damaskcove/coord/broker"
	"github.com/damaskcove/damaskcove/coord/dispatch"
)

const (
	// keeperGrace is how long a new keeper counts nobody as silent: it has to hear them first.
	coordinatorWarmUp = 1500 * time.Millisecond
	// followersMost bounds the followers that a roll names; there are two, and more for a moment.
	maxReportedFollowers = 8
	// foreignKeepers is the number of keepers of another zone that are told of one's own.
	remoteReportTargets = 2
)

// elect decides who keeps: in this zone, and in the others.
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
		c.log.Info("keeper of the zone", "keepers", len(c.coordinators), "instances", len(c.members.byKey)+1)
	}
	c.members.setCoordinators(c.coordinators)
	c.followPolicy.SetKey(c.members.followerKey(c.members.self))
}

// keeps tells whether this instance is a keeper.
func (c *control) isCoordinator() bool {
	return slices.ContainsFunc(c.coordinators, func(i broker.Instance) bool { return i.Incarnation == uint64(c.peer) })
}

// brokered tells whether the fleet is so large that brokers place its requests.
func (c *control) brokered() bool {
	return len(c.coordinators) > 0
}

// beat tells the zone's keepers that this instance is there, and tells all what it keeps.
func (c *control) sendHeartbeat(now time.Time) {
	data, err := encodeMessage(c.message(now, nil))
	if err != nil {
		c.log.Error("message not sent", "error", err.Error())
		return
	}
	c.socket.send(data, c.addrsOf(c.coordinators))
	if !c.isCoordinator() {
		return
	}
	if data, err = encodeKind(datagramLiveness, c.livenessReport(now)); err != nil {
		c.log.Error("roll not sent", "error", err.Error())
		return
	}
	c.socket.send(data, c.snapshot.Load().peerRoutes.zone)
	for _, coordinators := range c.remoteCoordinators {
		c.socket.send(data, c.addrsOf(coordinators[:min(len(coordinators), remoteReportTargets)]))
	}
}

// peersOf returns where datagrams for some instances go, without this one.
func (c *control) addrsOf(list []broker.Instance) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range list {
		if e := c.members.byPeer[dispatch.PeerID(i.Incarnation)]; e != nil {
			out = append(out, e.PeerAddr)
		}
	}
	return out
}

// roll returns what this keeper tells of who is there.
func (c *control) livenessReport(now time.Time) livenessReport {
	r := livenessReport{
		From: c.peer, Revision: c.revision, Following: c.following, StoreFailing: c.following && c.storeFailing(now), Leaving: c.leaving,
	}
	for _, e := range c.members.byKey {
		if e.following && e.Zone == c.members.zone && len(r.Followers) < maxReportedFollowers {
			r.Followers = append(r.Followers, e.Peer)
		}
	}
	if now.Sub(c.coordinatorSince) < coordinatorWarmUp {
		return r
	}
	heard := make(map[string]bool)
	var silent []*member
	for _, e := range c.members.byKey {
		if e.isSilent(now) {
			silent = append(silent, e)
		} else {
			heard[e.Zone] = true
		}
	}
	for _, e := range silent {
		switch {
		case !heard[e.Zone] && e.Zone != c.settings.Instance.Zone:
			if !slices.Contains(r.SilentZones, e.Zone) {
				r.SilentZones = append(r.SilentZones, e.Zone)
			}
		case len(r.Silent) < maxReportedSilent:
			r.Silent = append(r.Silent, e.Peer)
		}
	}
	return r
}

// hearRoll takes in what a keeper tells: of all instances where it is of this zone, of its own
// zone's where it is of another.
func (c *control) handleLivenessReport(now time.Time, r livenessReport) {
	sender := c.members.byPeer[r.From]
	if sender == nil {
		return
	}
	c.handleMessage(now, &message{From: r.From, Revision: r.Revision, Leaving: r.Leaving, Following: r.Following, StoreFailing: r.StoreFailing})
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
			// A keeper hears the instances of its zone itself.
		case silent[e.Peer] || slices.Contains(r.SilentZones, e.Zone):
			e.markSilent(now)
		default:
			e.lastSeen = now
		}
	}
}
