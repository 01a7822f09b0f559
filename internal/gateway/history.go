package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/damaskcove/damaskcove/coord/dispatch"
	"github.com/damaskcove/damaskcove/coord/replica"
	"github.com/damaskcove/damaskcove/platform"
)

const (
	// historyTTL is how long batches are kept for instances that missed them. Without that, each
	// lost datagram costs a call of the store.
	historyTTL = 5 * time.Second
	// maxHistory bounds the batches that are kept.
	maxHistory = 128
)

// history holds the batches that an instance has lately sent or received. A follower's watch
// continues after batches that it received from a faster follower, so without those its history
// would have a gap.
type history struct {
	batches []changeBatch
	times   []time.Time
}

// add appends a batch and drops those that are too old or too many.
func (h *history) add(now time.Time, b changeBatch) {
	h.batches, h.times = append(h.batches, b), append(h.times, now)
	old := 0
	for old < len(h.times) && (now.Sub(h.times[old]) > historyTTL || len(h.times)-old > maxHistory) {
		old++
	}
	h.batches, h.times = h.batches[old:], h.times[old:]
}

// after returns the batches to be resent to an instance at a revision.
func (h *history) after(revision platform.Revision) []changeBatch {
	return replica.Resend(h.batches, revision, changeBatch.covered)
}

// resendRequest requests from a follower of the store the batches after a revision.
type resendRequest struct {
	_     struct{} `cbor:",toarray"`
	From  dispatch.PeerID
	After platform.Revision
}

// resendTargets returns the followers of this zone, which can send batches again.
func (c *control) resendTargets() []dispatch.PeerID {
	var followers []dispatch.PeerID
	for _, e := range c.members.byKey {
		if e.Zone == c.members.zone && e.following && !e.leaving {
			followers = append(followers, e.Peer)
		}
	}
	return followers
}

// requestResend requests the batches after this instance's revision from one of the given instances.
func (c *control) requestResend(followers []dispatch.PeerID) {
	c.sendTo(followers[rand.IntN(len(followers))], datagramResendRequest, resendRequest{From: c.peer, After: c.replica.Revision()})
}

// handleResendRequest sends an instance the batches that it missed.
func (c *control) handleResendRequest(_ time.Time, m resendRequest) {
	e := c.members.byPeer[m.From]
	if e == nil {
		return
	}
	for _, b := range c.history.after(m.After) {
		c.sendChanges(b, e.memberRecord)
	}
}
