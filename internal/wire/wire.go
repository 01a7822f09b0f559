// Package wire numbers the messages that instances send each other and encodes them as CBOR.
//
// A message travels as one Envelope in one binary WebSocket message. Versions: a
// receiver takes envelopes of its own version and of the one before, ignores fields
// that it does not know, and counts and drops kinds that it does not know.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the messages that this release sends.
const Version uint16 = 1

// OldestVersion is the oldest version that this release takes.
const OldestVersion uint16 = 1

// MaxEnvelopeBytes bounds one encoded envelope.
const MaxEnvelopeBytes = 2 << 20

// Kind numbers the types of message.
type Kind uint16

// Kinds of message, by the duty that owns them.
const (
	KindHello         Kind = 1  // Hello, first on each link.
	KindForward       Kind = 2  // Forward, a message passed on by a third instance.
	KindMembership    Kind = 10 // membership.Message
	KindRollout       Kind = 20 // rollout.Message
	KindListing       Kind = 21 // The platform's list, passed on by the instances that read it.
	KindEvidence      Kind = 30 // ServiceEvidence of the health duty.
	KindDecision      Kind = 31 // ServiceVerdict of the health duty.
	KindClaim         Kind = 40 // claim.Message
	KindRelayRequest  Kind = 50 // A caller's request, passed on to another instance.
	KindRelayAnswer   Kind = 51 // Its answer.
	KindOutcomeLookup Kind = 52 // A caller asks what came of its key.
	KindOutcomeReply  Kind = 53 // The answer to it.
)

// Errors of Decode.
var (
	// ErrVersion says that the envelope's version is outside OldestVersion and Version.
	ErrVersion = errors.New("message version not supported")
	// ErrMalformed says that the bytes do not decode.
	ErrMalformed = errors.New("message malformed")
)

// Envelope carries one message.
type Envelope struct {
	Version uint16          `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// Encode returns the bytes of one message.
func Encode(kind Kind, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode message kind %d: %w", kind, err)
	}
	data, err := cbor.Marshal(Envelope{Version: Version, Kind: kind, Body: raw})
	if err != nil {
		return nil, fmt.Errorf("encode envelope of kind %d: %w", kind, err)
	}
	return data, nil
}

// Decode returns the envelope in data. It returns ErrMalformed or ErrVersion.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Envelope{}, fmt.Errorf("%w: envelope of %d bytes: %w", ErrMalformed, len(data), err)
	}
	if len(e.Body) == 0 {
		return Envelope{}, fmt.Errorf("%w: no body of kind %d", ErrMalformed, e.Kind)
	}
	// The encoder checks more of a body than the decoder does of bytes that it passes by.
	if _, err := cbor.Marshal(e.Body); err != nil {
		return Envelope{}, fmt.Errorf("%w: body of kind %d with %d bytes: %w", ErrMalformed, e.Kind, len(e.Body), err)
	}
	if e.Version < OldestVersion || e.Version > Version+1 {
		return Envelope{}, fmt.Errorf("%w: got %d, takes %d to %d", ErrVersion, e.Version, OldestVersion, Version+1)
	}
	return e, nil
}

// DecodeBody decodes the body of an envelope into body, a pointer. It returns ErrMalformed.
func DecodeBody(e Envelope, body any) error {
	if err := cbor.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("%w: body of kind %d: %w", ErrMalformed, e.Kind, err)
	}
	return nil
}
