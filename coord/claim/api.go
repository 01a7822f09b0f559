package claim

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Key is the idempotency key of one non-idempotent request: the text of a signed ticket and a
// part that the caller chooses, unique among its requests under that ticket.
type Key struct {
	Ticket string `cbor:"1,keyasint"`
	Unique string `cbor:"2,keyasint"`
}

// Role is what an instance may do for a key.
type Role uint8

// Roles of an instance for a key.
const (
	RoleNone    Role = iota // The instance only relays requests with the key.
	RoleHome                // Runs the key once the witness has granted its claim, or at once if there is no witness.
	RoleWitness             // Runs the key only if it has neither granted a claim for it nor confirmed a seal.
)

// Fingerprint is a digest of a request's method, path, account and body. It detects a key
// that is reused for another request.
type Fingerprint [16]byte

// Submission is a caller's request, handed to its home or, if the home is unreachable, to its witness.
type Submission struct {
	Key         Key
	Ticket      Ticket // Decoded and authenticated.
	Fingerprint Fingerprint
	Deadline    time.Time
}

// Result says whether the request of a key ran.
type Result uint8

// Results of a key.
const (
	ResultAnswered Result = iota + 1 // It ran; Outcome.Answer is the upstream's answer, unless ReasonAnswerDropped.
	ResultNotRun                     // It did not run and never will.
	ResultUnknown                    // It may have run.
	ResultRefused                    // This attempt was refused; Reason says why. It implies nothing about earlier attempts.
)

// Reason explains a Result.
type Reason uint8

// Reasons for a Result.
const (
	ReasonNone                Reason = iota
	ReasonExpired                    // The ticket has expired by this instance's clock.
	ReasonFingerprintMismatch        // The key was used before with another fingerprint.
	ReasonWrongIncarnation           // The ticket names another incarnation of this instance, or another instance.
	ReasonTableFull                  // The table has reached MaxKeys or MaxBytes.
	ReasonSealed                     // The key was sealed before it ran.
	ReasonShed                       // No upstream slot became free in time; the key is sealed.
	ReasonPeerUnreachable            // The other instance may have run it and is unreachable.
	ReasonNoAnswer                   // The request was sent, and no complete answer of the upstream arrived.
	ReasonStopping                   // The instance is stopping and accepts no new key.
	ReasonUnknownKey                 // This instance has no record of the key.
	ReasonPending                    // The key was accepted and has no outcome yet.
	ReasonAnswerDropped              // It ran; its answer was too large to store, or was evicted.
)

// Outcome is what an instance reports of a key to callers and to the other instance.
type Outcome struct {
	Result Result `cbor:"1,keyasint"`
	Reason Reason `cbor:"2,keyasint"`
	Answer []byte `cbor:"3,keyasint,omitempty"` // Encoded by the embedding program; opaque to this package.
}

// Effect is an action that the embedding program must carry out: Send, Dispatch, Answer or Refusal.
type Effect interface{ isEffect() }

// Send requests that a message be sent to one incarnation of an instance. The message may be
// lost, duplicated or delayed.
type Send struct {
	To      fleet.Ref
	Message Message
}

// Dispatch requests that the request be sent to an upstream, once. The program must call
// Machine.Finish afterwards, also if sending failed.
type Dispatch struct {
	Key      Key
	Deadline time.Time
}

// Answer completes every caller that waits for the key.
type Answer struct {
	Key     Key
	Outcome Outcome
}

// Refusal answers only the submission just made. Other callers of the key keep waiting.
type Refusal struct {
	Key    Key
	Reason Reason
}

func (Send) isEffect()     {}
func (Dispatch) isEffect() {}
func (Answer) isEffect()   {}
func (Refusal) isEffect()  {}

// MessageKind is the type of a message of the claim protocol.
type MessageKind uint8

// Messages of the claim protocol.
const (
	MessageClaim      MessageKind = iota + 1 // Home to witness: requests permission to run the key.
	MessageGrant                             // Witness to home: the claim is granted; the witness will never run the key.
	MessageRefuse                            // Witness to home: the witness runs, ran or sealed the key, or its ticket has expired; Outcome if there is one.
	MessageSeal                              // Home to witness: the home will never run the key.
	MessageSealAck                           // Witness to home: the seal is confirmed; the witness will never run the key either.
	MessageOutcome                           // Either direction: the outcome of the key.
	MessageOutcomeAck                        // Either direction: the outcome is recorded, or its ticket has expired.
	MessageHandOver                          // Either direction, from a stopping instance: the outcome of one entry of its table.
)

// Message is one message of the claim protocol, about one key.
type Message struct {
	Kind        MessageKind `cbor:"1,keyasint"`
	Key         Key         `cbor:"2,keyasint"`
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	Outcome     Outcome     `cbor:"4,keyasint"`
	// Ticket is Key.Ticket, decoded and authenticated by the receiver. It is not sent.
	// Machine.Deliver needs it when Machine.Contains is false for the key.
	Ticket Ticket `cbor:"-"`
}

// Ticket names the two incarnations of instances that may run keys made from it.
type Ticket struct {
	Fleet   string        `cbor:"1,keyasint"`
	Home    fleet.Ref     `cbor:"2,keyasint"`
	Witness fleet.Ref     `cbor:"3,keyasint"` // Zero if the fleet has no second instance.
	Service fleet.Service `cbor:"4,keyasint"`
	Account fleet.Account `cbor:"5,keyasint"`
	Expires time.Time     `cbor:"6,keyasint"` // Each instance compares it with its own wall clock.
}
