package endpoints

import (
	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// ServiceEvidence carries the evidence of one carrier instance on several services to one judge instance.
type ServiceEvidence struct {
	Entries []EvidenceEntry `cbor:"1,keyasint"`
}

// EvidenceEntry is the evidence on one service.
type EvidenceEntry struct {
	Service  fleet.Service   `cbor:"1,keyasint"`
	Evidence health.Evidence `cbor:"2,keyasint"`
}

// ServiceDecision carries the verdicts of one judge instance on several services to one carrier instance.
type ServiceDecision struct {
	Entries []DecisionEntry `cbor:"1,keyasint"`
}

// DecisionEntry is the verdict on one service.
type DecisionEntry struct {
	Service  fleet.Service   `cbor:"1,keyasint"`
	Decision health.Decision `cbor:"2,keyasint"`
}
