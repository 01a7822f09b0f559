// Package membership keeps the roster of instances and tells the dead from the unreachable.
package membership

import "github.com/damaskcove/damaskcove/coord/fleet"

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
	Revision fleet.Revision `json:"revision"` // Configuration in force there, as last heard.
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

// Changed says that Machine.Members or Machine.Roster has changed.
type Changed struct{}

func (Send) isEffect()        {}
func (ReadRoster) isEffect()  {}
func (WriteRoster) isEffect() {}
func (Changed) isEffect()     {}

// Methods that the daemon calls; all run on one goroutine:
//
//	func NewMachine(cfg Config, self fleet.Instance, random *rand.Rand) *Machine   // math/rand/v2
//	func (m *Machine) Start(now time.Time, hints []fleet.Instance) []Effect  // hints: the platform's lagging list, for joining
//	func (m *Machine) Deliver(now time.Time, from fleet.Ref, msg Message) []Effect
//	func (m *Machine) Tick(now time.Time) []Effect
//	func (m *Machine) Leave(now time.Time) []Effect          // planned stop: announce
//	func (m *Machine) Gone(now time.Time) []Effect           // just before exit: strike itself off the roster
//	func (m *Machine) RosterRead(now time.Time, r Roster, err error) []Effect
//	func (m *Machine) RosterWritten(now time.Time, r Roster, err error) []Effect // err: ErrConflict, ErrUnknownResult, other
//	func (m *Machine) SetRevision(r fleet.Revision)          // carried by heartbeats
//	func (m *Machine) Members() []Member                     // immutable copy
//	func (m *Machine) Roster() Roster                        // immutable
//	func (m *Machine) Ahead() (fleet.Instance, fleet.Revision, bool) // the member with the highest revision above ours
