package membership

import (
	"errors"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Errors that the program hands to Machine.RosterRead and Machine.RosterWritten.
var (
	// ErrConflict says that the stored roster has another generation; nothing was written.
	ErrConflict = errors.New("roster written by another instance")
	// ErrUnknownResult says that a write of the roster may or may not have taken effect.
	ErrUnknownResult = errors.New("result of roster write unknown")
)

// Roster is the fleet's record of its instances. The platform's store holds it under one key.
type Roster struct {
	Fleet      string           `cbor:"1,keyasint" json:"fleet"`
	Generation uint64           `cbor:"2,keyasint" json:"generation"`
	Instances  []fleet.Instance `cbor:"3,keyasint" json:"instances"` // Sorted by ID.
}

// Member is one instance of the roster with what this instance knows of it.
type Member struct {
	Instance fleet.Instance `json:"instance"`
	Status   Status         `json:"status"`
	Revision fleet.Revision `json:"revision"` // Configuration in force there, as last heard; zero unless a neighbour.
	Heard    bool           `json:"heard"`    // False when no chain of neighbours that hear each other leads to it.
}

// Status is how an instance stands.
type Status uint8

// Statuses of an instance.
const (
	StatusAlive Status = iota + 1
	StatusSuspect
	StatusLeaving
	StatusDead
)

// Effect is something the embedding program must do: Send, ReadRoster, WriteRoster or Changed.
type Effect interface{ isEffect() }

// Send asks for a message to be sent to an instance. It may be lost, doubled or delayed.
type Send struct {
	To      fleet.Instance
	Message Message
}

// ReadRoster asks for the roster record to be read; the program answers with Machine.RosterRead.
type ReadRoster struct{}

// WriteRoster asks for a compare-and-swap of the roster record from generation
// Roster.Generation-1; the program answers with Machine.RosterWritten.
type WriteRoster struct{ Roster Roster }

// Rejoined says that this instance was taken off the roster and now is Self, its next life.
// Whatever it held as its former life is void.
type Rejoined struct{ Self fleet.Instance }

// Superseded says that another process has taken this instance's ID. The machine has stopped.
type Superseded struct{ By fleet.Instance }

// Changed says that Machine.Members or Machine.Roster has changed.
type Changed struct{}

func (Send) isEffect()        {}
func (ReadRoster) isEffect()  {}
func (WriteRoster) isEffect() {}
func (Rejoined) isEffect()    {}
func (Superseded) isEffect()  {}
func (Changed) isEffect()     {}
