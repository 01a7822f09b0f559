// Package following decides which instances follow the platform's store themselves and
// which take its changes from others.
//
// The load patterns that it answers: each change wakes the watch of every instance, so that
// calls of the store grow with the fleet times its changes; and a store that refuses a few
// instances leaves these behind, though others in their zone hear of every change.
//
// In each availability zone the instances of the lowest keys follow the store, and tell the
// others. One that dies, is cut off or is refused by the store says so or falls silent, and
// the next in line follows. An instance that hears of no follower follows itself.
package following

import "time"

// FollowersPerZone is the number of instances of a zone that follow the store: two, so that the
// changes reach the others while one of them hangs unnoticed.
const FollowersPerZone = 2

// turnTime is how long each instance that comes before another in line may take to follow
// and to say so: a call of the store and a message, many times over.
const turnTime = 200 * time.Millisecond

// Peer is another instance of the same availability zone that has been heard lately.
type Peer struct {
	Key       string // Orders the instances.
	Following bool   // It follows the store, by its last message.
}

// Machine decides for one instance. It starts on duty, as it knows nobody.
type Machine struct {
	self  string
	off   bool
	short time.Time // Since when there are too few followers; zero while there are enough.
}

// New returns the Machine of an instance.
func New(self string) *Machine {
	return &Machine{self: self}
}

// SetKey changes the instance's place in the order.
func (m *Machine) SetKey(self string) {
	m.self = self
}

// ShouldFollow tells whether the instance is to follow the store itself.
func (m *Machine) ShouldFollow(now time.Time, peers []Peer) bool {
	follow, wait := 0, 0
	for _, p := range peers {
		switch {
		case p.Key > m.self:
		case p.Following:
			follow++
		default:
			wait++
		}
	}
	switch {
	case follow >= FollowersPerZone:
		m.off, m.short = true, time.Time{}
	case !m.off:
	case m.short.IsZero() && wait > 0:
		m.short = now
	case now.Sub(m.short) >= time.Duration(wait)*turnTime:
		m.off = false
	}
	return !m.off
}

// IsPreferredFollower tells whether the instance would follow the store if the store refused nobody. While
// it refuses everybody, those in line ask often whether it is back, and the others seldom.
func (m *Machine) IsPreferredFollower(peers []Peer) bool {
	before := 0
	for _, p := range peers {
		if p.Key < m.self {
			before++
		}
	}
	return before < FollowersPerZone
}
