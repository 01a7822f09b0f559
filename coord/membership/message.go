package membership

import (
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/internal/mix"
)

// Message is one message of the membership protocol. Several of the parts may be set.
type Message struct {
	Fleet     string          `cbor:"1,keyasint"`
	Heartbeat *Heartbeat      `cbor:"2,keyasint,omitempty"`
	Join      *fleet.Instance `cbor:"3,keyasint,omitempty"` // The sender asks to be put on the roster.
	Roster    *Roster         `cbor:"4,keyasint,omitempty"` // The whole roster.
	Delta     *Delta          `cbor:"5,keyasint,omitempty"`
	Ask       *Ask            `cbor:"6,keyasint,omitempty"`
	Facts     []Fact          `cbor:"7,keyasint,omitempty"`
}

// Heartbeat says that the sender is alive and how far it has got.
type Heartbeat struct {
	Generation uint64         `cbor:"1,keyasint"` // Of the sender's roster.
	Revision   fleet.Revision `cbor:"2,keyasint"` // Of the configuration in force at the sender.
	Digest     uint64         `cbor:"3,keyasint"` // Of the facts that the sender holds.
}

// Ask asks for the roster if its generation is higher than Have.
type Ask struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Delta leads from one generation of the roster to the next.
type Delta struct {
	Generation uint64           `cbor:"1,keyasint"` // The one that it leads to.
	Added      []fleet.Instance `cbor:"2,keyasint,omitempty"`
	Removed    []fleet.Ref      `cbor:"3,keyasint,omitempty"`
	Digest     uint64           `cbor:"4,keyasint"` // Of the roster that it leads to.
}

// FactKind tells the facts apart.
type FactKind uint8

// Kinds of fact.
const (
	FactVote    FactKind = iota + 1 // Voter does or does not hear Subject.
	FactLeaving                     // Subject is stopping and takes no new work.
	FactGone                        // Subject has stopped.
	FactJoin                        // Subject, described by Instance, asks to be put on the roster.
)

// Fact is something that one instance has said. Of two facts with the same kind, subject
// and voter, the higher count holds.
type Fact struct {
	Kind     FactKind        `cbor:"1,keyasint"`
	Subject  fleet.Ref       `cbor:"2,keyasint"`
	Voter    fleet.Ref       `cbor:"3,keyasint,omitzero"`
	Count    uint64          `cbor:"4,keyasint,omitempty"`
	Silent   bool            `cbor:"5,keyasint,omitempty"` // Of a vote: the voter does not hear the subject.
	Instance *fleet.Instance `cbor:"6,keyasint,omitempty"`
}

// factKey names the fact that another of the same key replaces.
type factKey struct {
	kind    FactKind
	subject fleet.Ref
	voter   fleet.Ref
}

func (f Fact) key() factKey {
	return factKey{kind: f.Kind, subject: f.Subject, voter: f.Voter}
}

// standing reports whether the fact says something that would not hold without it.
// A vote that the subject is heard only takes back an earlier one.
func (f Fact) standing() bool {
	return f.Kind != FactVote || f.Silent
}

// digest returns the fact's part of Heartbeat.Digest.
func (f Fact) digest() uint64 {
	h := hashRef(f.Subject) ^ mix.Mix(hashRef(f.Voter)+1)
	return mix.Mix(h + uint64(f.Kind)<<56 + f.Count)
}
