package claim

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Key names one non-idempotent request: the ticket's text and the caller's own unique part.
type Key struct {
	Ticket string `cbor:"1,keyasint"`
	Unique string `cbor:"2,keyasint"`
}

// Role is the part an instance plays for a key.
type Role uint8

// Roles of an instance for a key.
const (
	RoleNone    Role = iota // Neither: the instance only relays.
	RoleHome                // The first choice to run the key.
	RoleWitness             // Runs the key only when it has granted no claim for it.
)

// Fingerprint is a digest of the request's method, path, account and body.
type Fingerprint [16]byte

// Submission is a caller's request at its home or, when the home cannot be reached, at its witness.
type Submission struct {
	Key         Key
	Ticket      Ticket // Decoded and authenticated.
	Fingerprint Fingerprint
	Deadline    time.Time
}

// Result says what is known of a key.
type Result uint8

// Results of a key.
const (
	ResultAnswered Result = iota + 1 // It ran and Outcome.Answer is the upstream's answer.
	ResultNotRun                     // It did not run and never will.
	ResultUnknown                    // It may have run.
	ResultRefused                    // Bad input; Code says why. Nothing is said of earlier attempts.
)

// Reason refines a Result.
type Reason uint8

// Reasons of a Result.
const (
	ReasonNone                Reason = iota
	ReasonExpired                    // The ticket has expired by this instance's clock.
	ReasonFingerprintMismatch        // The key was used before with another fingerprint.
	ReasonWrongIncarnation           // The ticket names another life of this instance.
	ReasonTableFull                  // The table is at its bound.
	ReasonSealed                     // The key was sealed before it ran.
	ReasonShed                       // No slot in time; sealed.
	ReasonPeerUnreachable            // The other instance, which may have run it, cannot be asked.
	ReasonNoAnswer                   // The upstream's answer was lost or cut off after the request was sent.
	ReasonStopping                   // The instance is stopping; sealed.
	ReasonUnknownKey                 // No record of the key.
	ReasonPending                    // It was taken and has no outcome yet.
	ReasonAnswerDropped              // It ran; the answer was too large to keep.
)

// Outcome is what became of a dispatched request.
type Outcome struct {
	Result Result `cbor:"1,keyasint"`
	Reason Reason `cbor:"2,keyasint"`
	Answer []byte `cbor:"3,keyasint,omitempty"` // Encoded by the embedding program; opaque here.
}

// Effect is something the embedding program must do: Send, Dispatch, Answer or Refusal.
type Effect interface{ isEffect() }

// Send asks for a message to be sent to one life of an instance. It may be lost, doubled or delayed.
type Send struct {
	To      fleet.Ref
	Message Message
}

// Dispatch asks for the request to be sent to an upstream, once. The program must
// answer with Machine.Finish, in every case.
type Dispatch struct {
	Key      Key
	Deadline time.Time
}

// Answer gives every caller that waits for the key its answer.
type Answer struct {
	Key     Key
	Outcome Outcome
}

// Refusal answers only the submission just made. Other callers that wait for the key go on waiting.
type Refusal struct {
	Key    Key
	Reason Reason
}

func (Send) isEffect()     {}
func (Dispatch) isEffect() {}
func (Answer) isEffect()   {}
func (Refusal) isEffect()  {}

// MessageKind tells the messages of the claim protocol apart.
type MessageKind uint8

// Messages of the claim protocol.
const (
	MessageClaim      MessageKind = iota + 1 // Home to witness: may I run the key?
	MessageGrant                             // Witness to home: granted; the witness will never run it.
	MessageRefuse                            // Witness to home: the witness ran or sealed it; Outcome if known.
	MessageSeal                              // Home to witness: the home will never run it.
	MessageSealAck                           // Witness to home: nor will the witness.
	MessageOutcome                           // Either to the other: what became of the key.
	MessageOutcomeAck                        // The outcome is recorded.
	MessageHandOver                          // A stopping home to its witness: one entry of its table.
)

// Message is one message of the claim protocol, about one key.
type Message struct {
	Kind        MessageKind `cbor:"1,keyasint"`
	Key         Key         `cbor:"2,keyasint"`
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	Outcome     Outcome     `cbor:"4,keyasint"`
	// Ticket is Key.Ticket, decoded and authenticated by the receiver. It does not travel.
	// Machine.Deliver needs it when Machine.Holds is false for the key.
	Ticket Ticket `cbor:"-"`
}

// Ticket names the two lives of instances that may run keys made from it.
type Ticket struct {
	Fleet   string        `cbor:"1,keyasint"`
	Home    fleet.Ref     `cbor:"2,keyasint"`
	Witness fleet.Ref     `cbor:"3,keyasint"` // Zero when the fleet has no second instance.
	Service fleet.Service `cbor:"4,keyasint"`
	Account fleet.Account `cbor:"5,keyasint"`
	Expires time.Time     `cbor:"6,keyasint"` // Wall clock; each instance compares it with its own.
}
