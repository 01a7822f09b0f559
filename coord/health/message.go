package health

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// EndpointKey names an endpoint in messages: a 32-bit hash of its address.
type EndpointKey uint32

// KeyOf returns the key of an endpoint.
func KeyOf(e fleet.Endpoint) EndpointKey {
	return EndpointKey(xxhash.Sum64String(string(e)))
}

// Evidence is what a carrier saw of its attempts since its last message, sent to the service's judge.
type Evidence struct {
	Sequence uint64         `cbor:"1,keyasint"`           // Counts the carrier's messages, from 1.
	Ack      uint64         `cbor:"2,keyasint,omitempty"` // Number of the last Verdict from this judge.
	Vote     bool           `cbor:"3,keyasint,omitempty"` // The carrier lends itself to this judge.
	Revision fleet.Revision `cbor:"4,keyasint"`           // Of the service's parameters.
	Reports  []Report       `cbor:"5,keyasint,omitempty"`
	Trials   []Report       `cbor:"6,keyasint,omitempty"` // Of trial requests.
}

// Report sums up the attempts of one carrier on one endpoint.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointKey
	Requests uint32
	Failures uint32
	// Latency holds pairs of bytes, a bin and a count, for the attempts that did not fail.
	Latency []byte
}

// Decision is a judge's answer to one Evidence. It replaces every earlier Decision of the judge.
type Decision struct {
	Sequence uint64    `cbor:"1,keyasint"` // Of the Evidence that it answers.
	Number   uint64    `cbor:"2,keyasint"` // Counts the judge's messages, from 1.
	Removals []Removal `cbor:"3,keyasint,omitempty"`
}

// Removal is one endpoint that the judge would have out of service. The worst come first.
type Removal struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointKey
	State    State   // StateOpen for an endpoint that only the floor keeps in service.
	Score    float32 // In nats.
	Limit    float32 // In nats.
	ReturnIn uint32  // Milliseconds until trial requests may start.
}
