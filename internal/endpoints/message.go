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

// ServiceVerdict carries the verdicts of one judge instance on several services to one carrier instance.
type ServiceVerdict struct {
	Entries []VerdictEntry `cbor:"1,keyasint"`
}

// VerdictEntry is the verdict on one service.
type VerdictEntry struct {
	Service fleet.Service   `cbor:"1,keyasint"`
	Verdict health.Decision `cbor:"2,keyasint"`
}
