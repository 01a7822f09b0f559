package endpoints

import (
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// ServiceEvidence is sent from a carrier to an evaluator. It holds evidence on several services.
type ServiceEvidence struct {
	Entries []EvidenceEntry `cbor:"1,keyasint"`
}

// EvidenceEntry is the evidence on one service.
type EvidenceEntry struct {
	Service  fleet.Service   `cbor:"1,keyasint"`
	Evidence health.Evidence `cbor:"2,keyasint"`
}

// ServiceDecision is sent from an evaluator to a carrier. It holds decisions on several services.
type ServiceDecision struct {
	Entries []DecisionEntry `cbor:"1,keyasint"`
}

// DecisionEntry is the decision on one service.
type DecisionEntry struct {
	Service  fleet.Service   `cbor:"1,keyasint"`
	Decision health.Decision `cbor:"2,keyasint"`
}
