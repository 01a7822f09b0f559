package membership

import (
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// Message is one message of the membership protocol. Several fields may be set.
type Message struct {
	Fleet         string          `cbor:"1,keyasint"`
	Heartbeat     *Heartbeat      `cbor:"2,keyasint,omitempty"`
	Join          *fleet.Instance `cbor:"3,keyasint,omitempty"` // The sender requests to be added to the roster.
	Roster        *Roster         `cbor:"4,keyasint,omitempty"` // The whole roster.
	Delta         *Delta          `cbor:"5,keyasint,omitempty"`
	RosterRequest *RosterRequest  `cbor:"6,keyasint,omitempty"`
	Facts         []Fact          `cbor:"7,keyasint,omitempty"`
}

// Heartbeat shows that the sender is alive and which state it has.
type Heartbeat struct {
	Generation uint64         `cbor:"1,keyasint"` // Of the sender's roster.
	Revision   fleet.Revision `cbor:"2,keyasint"` // Of the sender's active configuration.
	Digest     uint64         `cbor:"3,keyasint"` // Of the sender's active facts.
}

// RosterRequest requests the receiver's roster if its generation is higher than NewerThan.
type RosterRequest struct {
	NewerThan uint64 `cbor:"1,keyasint"`
}

// Delta is the difference between one generation of the roster and the next.
type Delta struct {
	Generation uint64           `cbor:"1,keyasint"` // Generation that the delta results in.
	Added      []fleet.Instance `cbor:"2,keyasint,omitempty"`
	Removed    []fleet.Ref      `cbor:"3,keyasint,omitempty"`
	Digest     uint64           `cbor:"4,keyasint"` // Of the resulting roster.
}

// FactKind is the kind of a Fact.
type FactKind uint8

// Kinds of fact.
const (
	FactVote    FactKind = iota + 1 // Voter does or does not receive heartbeats from Subject.
	FactLeaving                     // Subject is stopping and takes no new work.
	FactStopped                     // Subject has stopped.
	FactJoin                        // Subject, described by Instance, requests to be added to the roster.
)

// Fact is a statement by one instance that is gossiped to all. Of two facts with the same
// kind, subject and voter, the one with the higher version wins.
type Fact struct {
	Kind        FactKind        `cbor:"1,keyasint"`
	Subject     fleet.Ref       `cbor:"2,keyasint"`
	Voter       fleet.Ref       `cbor:"3,keyasint,omitzero"`
	Version     uint64          `cbor:"4,keyasint,omitempty"`
	Unreachable bool            `cbor:"5,keyasint,omitempty"` // In a vote: the voter receives no heartbeats from the subject.
	Instance    *fleet.Instance `cbor:"6,keyasint,omitempty"`
}

// factKey identifies a fact; a higher version with the same key replaces it.
type factKey struct {
	kind    FactKind
	subject fleet.Ref
	voter   fleet.Ref
}

func (f Fact) key() factKey {
	return factKey{kind: f.Kind, subject: f.Subject, voter: f.Voter}
}

// active reports whether the fact has an effect of its own. A vote that the subject is
// reachable has none: it only withdraws an earlier vote.
func (f Fact) active() bool {
	return f.Kind != FactVote || f.Unreachable
}

// digest returns the fact's contribution to Heartbeat.Digest, which is the XOR over all active facts.
func (f Fact) digest() uint64 {
	h := hashRef(f.Subject) ^ mix.Mix(hashRef(f.Voter)+1)
	return mix.Mix(h + uint64(f.Kind)<<56 + f.Version)
}
