package rollout

import "github.com/damaskcove/damaskcove/coord/fleet"

// Message is one message between instances about configuration. One of the pointers is set.
type Message struct {
	Fleet string `cbor:"1,keyasint"`
	Head  *Head  `cbor:"2,keyasint,omitempty"` // Revisions that the receiver may not have; no recent IDs.
	Ask   *Ask   `cbor:"3,keyasint,omitempty"`
	Want  Digest `cbor:"4,keyasint,omitzero"`  // Asks for a shard.
	Shard *Shard `cbor:"5,keyasint,omitempty"` // Answers Want.
}

// Ask asks for what is after a revision.
type Ask struct {
	Have fleet.Revision `cbor:"1,keyasint"` // Zero when the sender has no configuration.
}
