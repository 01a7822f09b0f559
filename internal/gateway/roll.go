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
	keeperGrace = 1500 * time.Millisecond
	// followersMost bounds the followers that a roll names; there are two, and more for a moment.
	followersMost = 8
	// foreignKeepers is the number of keepers of another zone that are told of one's own.
	foreignKeepers = 2
)

// elect decides who keeps: in this zone, and in the others.
func (c *control) elect(now time.Time, alive []*member) {
	was := c.keeps()
	c.keepers, c.foreign = nil, nil
	if len(c.members.list)+1 >= c.settings.Place.BrokersFrom {
		byZone := make(map[string][]broker.Instance)
		for _, e := range alive {
			byZone[e.Zone] = append(byZone[e.Zone], broker.Instance{Incarnation: uint64(e.Peer), Key: e.key, LinkMbps: e.Link})
		}
		own := c.settings.Instance.Zone
		if !c.leaving {
			byZone[own] = append(byZone[own], broker.Instance{Incarnation: uint64(c.peer), Key: c.members.self, LinkMbps: c.self.Link})
		}
		c.keepers = broker.Coordinators(byZone[own])
		delete(byZone, own)
		for zone, list := range byZone {
			byZone[zone] = broker.Coordinators(list)
		}
		c.foreign = byZone
	}
	if c.keeps() && !was {
		c.keeperSince = now
		c.log.Info("keeper of the zone", "keepers", len(c.keepers), "instances", len(c.members.list)+1)
	}
	c.members.rank(c.keepers)
	c.duty.SetKey(c.members.order(c.members.self))
}

// keeps tells whether this instance is a keeper.
func (c *control) keeps() bool {
	return slices.ContainsFunc(c.keepers, func(i broker.Instance) bool { return i.Incarnation == uint64(c.peer) })
}

// brokered tells whether the fleet is so large that brokers place its requests.
func (c *control) brokered() bool {
	return len(c.keepers) > 0
}

// beat tells the zone's keepers that this instance is there, and tells all what it keeps.
func (c *control) beat(now time.Time) {
	data, err := encodeMessage(c.message(now, nil))
	if err != nil {
		c.log.Error("message not sent", "error", err.Error())
		return
	}
	c.socket.send(data, c.peersOf(c.keepers))
	if !c.keeps() {
		return
	}
	if data, err = encodeKind(keeperRoll, c.roll(now)); err != nil {
		c.log.Error("roll not sent", "error", err.Error())
		return
	}
	c.socket.send(data, c.snapshot.Load().routes.zone)
	for _, keepers := range c.foreign {
		c.socket.send(data, c.peersOf(keepers[:min(len(keepers), foreignKeepers)]))
	}
}

// peersOf returns where datagrams for some instances go, without this one.
func (c *control) peersOf(list []broker.Instance) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range list {
		if e := c.members.lives[dispatch.PeerID(i.Incarnation)]; e != nil {
			out = append(out, e.Peers)
		}
	}
	return out
}

// roll returns what this keeper tells of who is there.
func (c *control) roll(now time.Time) roll {
	r := roll{
		From: c.peer, Revision: c.revision, Following: c.following, Troubled: c.following && c.troubled(now), Leaving: c.leaving,
	}
	for _, e := range c.members.list {
		if e.follows && e.Zone == c.members.zone && len(r.Followers) < followersMost {
			r.Followers = append(r.Followers, e.Peer)
		}
	}
	if now.Sub(c.keeperSince) < keeperGrace {
		return r
	}
	heard := make(map[string]bool)
	var silent []*member
	for _, e := range c.members.list {
		if e.silent(now) {
			silent = append(silent, e)
		} else {
			heard[e.Zone] = true
		}
	}
	for _, e := range silent {
		switch {
		case !heard[e.Zone] && e.Zone != c.settings.Instance.Zone:
			if !slices.Contains(r.Dark, e.Zone) {
				r.Dark = append(r.Dark, e.Zone)
			}
		case len(r.Silent) < silentMost:
			r.Silent = append(r.Silent, e.Peer)
		}
	}
	return r
}

// hearRoll takes in what a keeper tells: of all instances where it is of this zone, of its own
// zone's where it is of another.
func (c *control) hearRoll(now time.Time, r roll) {
	sender := c.members.lives[r.From]
	if sender == nil {
		return
	}
	c.hear(now, &message{From: r.From, Revision: r.Revision, Leaving: r.Leaving, Following: r.Following, Troubled: r.Troubled})
	silent := make(map[dispatch.PeerID]bool, len(r.Silent))
	for _, p := range r.Silent {
		silent[p] = true
	}
	if sender.Zone == c.members.zone && !c.keeps() {
		c.members.follow(sender, r.Followers)
		c.assign(now)
	}
	for _, e := range c.members.list {
		switch {
		case e == sender || sender.Zone != c.members.zone && e.Zone != sender.Zone:
		case c.keeps() && e.Zone == c.members.zone:
			// A keeper hears the instances of its zone itself.
		case silent[e.Peer] || slices.Contains(r.Dark, e.Zone):
			e.hush(now)
		default:
			e.heard = now
		}
	}
}
