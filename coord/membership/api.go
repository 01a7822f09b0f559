package membership

import (
	"errors"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Errors that the embedding program passes to Machine.RosterRead and Machine.RosterWritten.
var (
	// ErrConflict means that the stored roster has another generation and nothing was written.
	ErrConflict = errors.New("roster written by another instance")
	// ErrUnknownResult means that a write of the roster may or may not have taken effect.
	ErrUnknownResult = errors.New("result of roster write unknown")
)

// Roster is the fleet's record of its instances. The platform's store keeps it under one key.
type Roster struct {
	Fleet      string           `cbor:"1,keyasint" json:"fleet"`
	Generation uint64           `cbor:"2,keyasint" json:"generation"`
	Instances  []fleet.Instance `cbor:"3,keyasint" json:"instances"` // Sorted by ID.
}

// Member is one instance of the roster with its state in the local view.
type Member struct {
	Instance  fleet.Instance `json:"instance"`
	Status    Status         `json:"status"`
	Revision  fleet.Revision `json:"revision"` // Active configuration by its last heartbeat; zero unless a neighbour.
	Reachable bool           `json:"heard"`    // False when no path of working overlay links leads to it.
}

// Status is the state of an instance in the local view.
type Status uint8

// Statuses of an instance.
const (
	StatusAlive   Status = iota + 1
	StatusSuspect        // Some, but at most half of its neighbours vote it unreachable.
	StatusLeaving        // It announced that it is stopping.
	StatusDead           // More than half of its neighbours vote it unreachable, or it announced that it has stopped.
)

// Effect is an action that the embedding program must carry out, or an event that it must
// handle: Send, ReadRoster, WriteRoster, Rejoined, Superseded or Changed.
type Effect interface{ isEffect() }

// Send requests that a message be sent to an instance. It may be lost, duplicated or delayed.
type Send struct {
	To      fleet.Instance
	Message Message
}

// ReadRoster requests a read of the roster record; the program reports it with Machine.RosterRead.
type ReadRoster struct{}

// WriteRoster requests a compare-and-swap of the roster record from generation
// Roster.Generation-1; the program reports the outcome with Machine.RosterWritten.
type WriteRoster struct{ Roster Roster }

// Rejoined reports that this instance was removed from the roster and continues as Self, its
// next incarnation. Anything it owned as the previous incarnation is no longer valid.
type Rejoined struct{ Self fleet.Instance }

// Superseded reports that another process runs with this instance's ID. The machine has stopped.
type Superseded struct{ By fleet.Instance }

// Changed reports that Machine.Members or Machine.Roster has changed.
type Changed struct{}

func (Send) isEffect()        {}
func (ReadRoster) isEffect()  {}
func (WriteRoster) isEffect() {}
func (Rejoined) isEffect()    {}
func (Superseded) isEffect()  {}
func (Changed) isEffect()     {}
