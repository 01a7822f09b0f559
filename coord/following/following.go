// Package following decides which instances follow the platform's store themselves, and which
// receive its changes from other instances.
//
// If all instances watched the store, each change would wake the watch of every instance, and
// the calls of the store would grow with the size of the fleet times the rate of changes. And if
// the store refused a few instances, these would become stale although others in their zone
// receive every change.
//
// In each availability zone the instances with the lowest keys follow the store and forward its
// changes to the others. A follower that fails, is partitioned off or is refused by the store
// reports that or stops sending, and the next instance by key takes over. An instance that
// receives messages of no follower follows the store itself. A Schedule tells how long a follower waits
// for the store, and for how long a response confirms what it knows.
package following

import "time"

// FollowersPerZone is the number of instances of a zone that follow the store: two, so that
// changes reach the others while the failure of one is not yet detected.
const FollowersPerZone = 2

// takeoverDelay is how long an instance waits, for each passive peer with a lower key, for that
// peer to follow the store and report it: many times the latency of a store call and a message.
const takeoverDelay = 200 * time.Millisecond

// Peer is another instance of the same availability zone that has sent a message recently.
type Peer struct {
	Key       string // Instances with lower keys are preferred.
	Following bool   // By its last message it follows the store.
}

// Machine decides for one instance. It starts as a follower, without knowledge of any peer.
type Machine struct {
	self        string
	passive     bool      // The instance does not follow the store.
	tooFewSince time.Time // Since when there are too few followers; zero while there are enough.
}

// New returns the Machine of the instance with a key.
func New(self string) *Machine {
	return &Machine{self: self}
}

// SetKey changes the instance's key.
func (m *Machine) SetKey(self string) {
	m.self = self
}

// ShouldFollow reports whether the instance is to follow the store itself.
func (m *Machine) ShouldFollow(now time.Time, peers []Peer) bool {
	followers, passivePeers := 0, 0
	for _, p := range peers {
		switch {
		case p.Key > m.self:
		case p.Following:
			followers++
		default:
			passivePeers++
		}
	}
	switch {
	case followers >= FollowersPerZone:
		m.passive, m.tooFewSince = true, time.Time{}
	case !m.passive:
	case m.tooFewSince.IsZero() && passivePeers > 0:
		m.tooFewSince = now
	case now.Sub(m.tooFewSince) >= time.Duration(passivePeers)*takeoverDelay:
		m.passive = false
	}
	return !m.passive
}

// IsPreferredFollower reports whether the instance is to follow the store when the store refuses
// no instance. While it refuses all instances, preferred followers retry often and the others seldom.
func (m *Machine) IsPreferredFollower(peers []Peer) bool {
	lower := 0
	for _, p := range peers {
		if p.Key < m.self {
			lower++
		}
	}
	return lower < FollowersPerZone
}
