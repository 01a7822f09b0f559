package health

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// EndpointKey identifies an endpoint in messages: a 32-bit hash of its address.
type EndpointKey uint32

// KeyOf returns the key of an endpoint.
func KeyOf(e fleet.Endpoint) EndpointKey {
	return EndpointKey(xxhash.Sum64String(string(e)))
}

// Evidence sums up a carrier's attempts since its last message. It is sent to the service's evaluator.
type Evidence struct {
	Sequence uint64         `cbor:"1,keyasint"`           // Counts the carrier's messages, from 1.
	Ack      uint64         `cbor:"2,keyasint,omitempty"` // Number of the newest Decision received from this evaluator.
	Vote     bool           `cbor:"3,keyasint,omitempty"` // The carrier votes for this evaluator for Config.VoteLease.
	Revision fleet.Revision `cbor:"4,keyasint"`           // Of the service's parameters.
	Reports  []Report       `cbor:"5,keyasint,omitempty"`
	Trials   []Report       `cbor:"6,keyasint,omitempty"` // Of trial requests.
}

// Report sums up a carrier's attempts on one endpoint.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointKey
	Requests uint32
	Failures uint32
	// Latency holds pairs of bytes, a bin (see binOf) and a count, for the attempts that did not fail.
	Latency []byte
}

// Decision is an evaluator's answer to one Evidence. It replaces every earlier Decision of the evaluator.
type Decision struct {
	Sequence uint64    `cbor:"1,keyasint"` // Of the Evidence that it answers.
	Number   uint64    `cbor:"2,keyasint"` // Grows by 1 with each Decision; starts at the Unix time, in ns, of the evaluator's first Configure.
	Removals []Removal `cbor:"3,keyasint,omitempty"`
}

// Removal is one endpoint that the evaluator wants out of service. Those within the budget come first.
type Removal struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointKey
	State    State   // StateInService for an endpoint that only the floor keeps in service.
	Score    float32 // In nats.
	Limit    float32 // In nats.
	ReturnIn uint32  // Milliseconds until trial requests may start.
}
