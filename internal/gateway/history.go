package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// historyKept is how long a follower of the store keeps what it has told, for those that
	// missed it. Without that each lost datagram costs a call of the store.
	historyKept = 5 * time.Second
	// historyMost bounds it.
	historyMost = 128
)

// history is what an instance has told its zone of the store lately, or was told: a follower
// goes on from what another was faster to tell, and must not leave a gap there.
type history struct {
	feeds []feed
	at    []time.Time
}

// add keeps a feed.
func (h *history) add(now time.Time, f feed) {
	h.feeds, h.at = append(h.feeds, f), append(h.at, now)
	old := 0
	for old < len(h.at) && (now.Sub(h.at[old]) > historyKept || len(h.at)-old > historyMost) {
		old++
	}
	h.feeds, h.at = h.feeds[old:], h.at[old:]
}

// after returns the feeds that lead on from a revision; none where there is a gap.
func (h *history) after(revision platform.Revision) []feed {
	for k, f := range h.feeds {
		if f.At > revision {
			if f.After > revision {
				return nil
			}
			return h.feeds[k:]
		}
	}
	return nil
}

// missed asks a follower of the store for what this instance was not told.
type missed struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	After platform.Revision
}

// askMissed asks a follower of this zone for what it has told since this instance's revision,
// and returns false where there is none to ask.
func (c *control) askMissed() bool {
	var followers []dispatch.PeerID
	for _, e := range c.members.list {
		if e.Zone == c.members.zone && e.follows && !e.leaving {
			followers = append(followers, e.Peer)
		}
	}
	if len(followers) == 0 {
		return false
	}
	c.sendTo(followers[rand.IntN(len(followers))], storeMissed, missed{From: c.peer, After: c.revision})
	return true
}

// hearMissed tells an instance again what it has missed.
func (c *control) hearMissed(_ time.Time, m missed) {
	e := c.members.lives[m.From]
	if e == nil {
		return
	}
	for _, f := range c.history.after(m.After) {
		c.sendFeed(f, e)
	}
}
