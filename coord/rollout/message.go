package rollout

import "github.com/damaskcove/damaskcove/coord/fleet"

// Message is one message of the configuration protocol. Exactly one field besides Fleet is set.
type Message struct {
	Fleet        string       `cbor:"1,keyasint"`
	Head         *Head        `cbor:"2,keyasint,omitempty"` // Changes that the receiver may not have; without recent IDs.
	HeadRequest  *HeadRequest `cbor:"3,keyasint,omitempty"`
	ShardRequest Digest       `cbor:"4,keyasint,omitzero"`  // Digest of the requested shard.
	Shard        *Shard       `cbor:"5,keyasint,omitempty"` // Answers ShardRequest.
}

// HeadRequest requests the changes after a revision.
type HeadRequest struct {
	After fleet.Revision `cbor:"1,keyasint"` // Zero when the sender has no configuration.
}
