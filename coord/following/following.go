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
// receives messages of no follower follows the store itself.
//
// Instances also tell each other how old their knowledge of the store is. Once it is too old, they read the store by
// turns without waiting for a report of the followers. A Schedule has the times of both.
package following

import (
	"math/bits"
	"time"
)

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

// View is what an instance knows of its zone and of the store.
type View struct {
	Peers    []Peer    // Of its zone; it may be among them.
	KnownAt  time.Time // The instance holds what the store held then, by its own reads or by what others report; zero before the first read.
	Schedule Schedule
}

// ShouldFollow reports whether the instance is to follow the store itself: if the zone has too few followers, or if its
// knowledge of the store is no longer fresh and its turn has come.
func (m *Machine) ShouldFollow(now time.Time, v View) bool {
	followers, passivePeers := 0, 0
	for _, p := range v.Peers {
		switch {
		case p.Key >= m.self:
		case p.Following:
			followers++
		default:
			passivePeers++
		}
	}
	due := m.DueAt(v)
	switch {
	case !due.IsZero() && !now.Before(due):
		m.passive = false
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

// DueAt returns when the instance is to read the store unless its knowledge is renewed before; zero for never.
//
// The turns are short, and the instances in each are twice those in the one before: followers that the store turns away
// cost little time, and of a store that serves others one is read by a few.
func (m *Machine) DueAt(v View) time.Time {
	lower := 0
	for _, p := range v.Peers {
		if p.Key < m.self {
			lower++
		}
	}
	turn := bits.Len(uint(lower+1)) - 1
	if v.KnownAt.IsZero() || turn > maxTurn {
		return time.Time{}
	}
	return v.KnownAt.Add(v.Schedule.Fresh + time.Duration(turn)*v.Schedule.Step)
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
