package health

import (
	"errors"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Assignment names the carriers and the evaluator of a service in one generation of the roster.
type Assignment struct {
	Generation uint64
	Evaluator  fleet.Ref
	Carriers   []fleet.Instance
	// Former holds the carriers of earlier generations that some instance may still use.
	Former [][]fleet.Instance
}

// Errors of Carrier.Deliver and Evaluator.Deliver. The message was dropped and counted.
var (
	// ErrDecisionDropped is returned for a decision that is late, replayed or not an answer to this carrier.
	ErrDecisionDropped = errors.New("decision dropped")
	// ErrEvidenceDropped is returned for evidence that is invalid, replayed, of another revision or not from a carrier.
	ErrEvidenceDropped = errors.New("evidence dropped")
)

// Parameters are a service's settings, as its template gives them.
type Parameters struct {
	Service                        fleet.Service
	Revision                       fleet.Revision
	FloorSlots                     int // Slots that removals must leave in service.
	FalseEjectionsPerEndpointMonth float64
	ExpectedRequestsPerSecond      float64 // Of the whole service.
}

// Attempt is the result of one attempt on an endpoint.
type Attempt struct {
	Endpoint fleet.Endpoint
	Failed   bool
	Latency  time.Duration
	Trial    bool
}

// Send is a message to be sent to one incarnation of an instance. Exactly one of Evidence and Decision is set.
type Send struct {
	To       fleet.Ref
	Evidence *Evidence
	Decision *Decision
}

// State is the state of an endpoint for one carrier.
type State uint8

// States of an endpoint.
const (
	StateInService State = iota + 1 // In service.
	StateEjected                    // Out of service in all zones.
	StateAvoided                    // Out of service in this carrier's zone, but not in all zones.
	StateTrial                      // Ejected or avoided, but taking trial requests.
)

// EndpointView is the state of one endpoint for a carrier, or at the evaluator, with the figures behind it.
type EndpointView struct {
	Endpoint  fleet.Endpoint `json:"endpoint"`
	State     State          `json:"state"`
	Evaluator fleet.Ref      `json:"judge"`
	Score     float64        `json:"score"`      // Log-likelihood ratio of the detector, in nats.
	Limit     float64        `json:"limit"`      // Score at which the endpoint is removed, in nats.
	Until     time.Time      `json:"until"`      // When the decision expires unless renewed.
	MayReturn time.Time      `json:"may_return"` // When trial requests may start.
	AtFloor   bool           `json:"at_floor"`   // The detector would remove it, but the floor keeps it in service.
}
