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
	historyTTL = 5 * time.Second
	// historyMost bounds it.
	maxHistory = 128
)

// history is what an instance has told its zone of the store lately, or was told: a follower
// goes on from what another was faster to tell, and must not leave a gap there.
type history struct {
	batches []changeBatch
	times   []time.Time
}

// add keeps a feed.
func (h *history) add(now time.Time, b changeBatch) {
	h.batches, h.times = append(h.batches, b), append(h.times, now)
	old := 0
	for old < len(h.times) && (now.Sub(h.times[old]) > historyTTL || len(h.times)-old > maxHistory) {
		old++
	}
	h.batches, h.times = h.batches[old:], h.times[old:]
}

// after returns the feeds that lead on from a revision; none where there is a gap.
func (h *history) after(revision platform.Revision) []changeBatch {
	for k, b := range h.batches {
		if b.At > revision {
			if b.After > revision {
				return nil
			}
			return h.batches[k:]
		}
	}
	return nil
}

// missed asks a follower of the store for what this instance was not told.
type resendRequest struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	After platform.Revision
}

// askMissed asks a follower of this zone for what it has told since this instance's revision,
// and returns false where there is none to ask.
func (c *control) requestResend() bool {
	var followers []dispatch.PeerID
	for _, e := range c.members.byKey {
		if e.Zone == c.members.zone && e.following && !e.leaving {
			followers = append(followers, e.Peer)
		}
	}
	if len(followers) == 0 {
		return false
	}
	c.sendTo(followers[rand.IntN(len(followers))], datagramResendRequest, resendRequest{From: c.peer, After: c.revision})
	return true
}

// hearMissed tells an instance again what it has missed.
func (c *control) handleResendRequest(_ time.Time, m resendRequest) {
	e := c.members.byPeer[m.From]
	if e == nil {
		return
	}
	for _, b := range c.history.after(m.After) {
		c.sendChanges(b, e)
	}
}
