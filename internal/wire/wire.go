// Package wire defines the kinds of messages between instances and encodes them as CBOR.
//
// Each message is sent as one Envelope in one binary WebSocket message. A receiver accepts
// envelopes of versions OldestVersion to Version+1. It ignores unknown fields, and drops and
// counts messages of an unknown kind.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the message version that this release sends.
const Version uint16 = 1

// OldestVersion is the oldest message version that this release accepts.
const OldestVersion uint16 = 1

// MaxEnvelopeBytes bounds the size of one encoded envelope.
const MaxEnvelopeBytes = 2 << 20

// Kind is the number of a message type.
type Kind uint16

// Kinds of messages, grouped by the component that handles them.
const (
	KindHello         Kind = 1  // peer.Hello, the first message on each link.
	KindForward       Kind = 2  // peer.Forward, a message forwarded by a third instance.
	KindMembership    Kind = 10 // membership.Message
	KindRollout       Kind = 20 // rollout.Message
	KindListing       Kind = 21 // listing.Message: the platform's list, forwarded by the instances that read it.
	KindEvidence      Kind = 30 // endpoints.ServiceEvidence
	KindDecision      Kind = 31 // endpoints.ServiceDecision
	KindClaim         Kind = 40 // claim.Message
	KindRelayRequest  Kind = 50 // relay.Call: a caller's request, relayed to another instance.
	KindRelayAnswer   Kind = 51 // relay.Reply: the answer to it.
	KindOutcomeLookup Kind = 52 // claims.Lookup: a request for the outcome of a key.
	KindOutcomeReply  Kind = 53 // claims.LookupReply: the reply to it.
)

// Errors of Decode.
var (
	// ErrVersion means that the envelope's version is below OldestVersion or above Version+1.
	ErrVersion = errors.New("message version not supported")
	// ErrMalformed means that the bytes cannot be decoded.
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

// Decode returns the envelope in data. Its errors wrap ErrMalformed or ErrVersion.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Envelope{}, fmt.Errorf("%w: envelope of %d bytes: %w", ErrMalformed, len(data), err)
	}
	if len(e.Body) == 0 {
		return Envelope{}, fmt.Errorf("%w: no body in message of kind %d", ErrMalformed, e.Kind)
	}
	// The decoder does not fully check a raw body, which it skips; the encoder does. Without this
	// check an accepted envelope might not encode again.
	if _, err := cbor.Marshal(e.Body); err != nil {
		return Envelope{}, fmt.Errorf("%w: body of kind %d with %d bytes: %w", ErrMalformed, e.Kind, len(e.Body), err)
	}
	if e.Version < OldestVersion || e.Version > Version+1 {
		return Envelope{}, fmt.Errorf("%w: got %d, supported are %d to %d", ErrVersion, e.Version, OldestVersion, Version+1)
	}
	return e, nil
}

// DecodeBody decodes the body of an envelope into body, a pointer. Its errors wrap ErrMalformed.
func DecodeBody(e Envelope, body any) error {
	if err := cbor.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("%w: body of kind %d: %w", ErrMalformed, e.Kind, err)
	}
	return nil
}
