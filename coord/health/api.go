package health

import (
	"errors"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Assignment says who carries a service and who judges it, for one generation of the roster.
type Assignment struct {
	Generation uint64
	Evaluator  fleet.Ref
	Carriers   []fleet.Instance
	// Former holds the carriers of earlier generations on which an instance may still act.
	Former [][]fleet.Instance
}

// Errors of Carrier.Deliver and Judge.Deliver. The message was dropped and counted.
var (
	// ErrDecisionDropped says that a verdict is late, replayed or not an answer to this carrier.
	ErrDecisionDropped = errors.New("verdict dropped")
	// ErrEvidenceDropped says that evidence is absurd, replayed, of another revision or not from a carrier.
	ErrEvidenceDropped = errors.New("evidence dropped")
)

// Parameters are a service's settings, as its template gives them.
type Parameters struct {
	Service                        fleet.Service
	Revision                       fleet.Revision
	FloorSlots                     int
	FalseEjectionsPerEndpointMonth float64
	ExpectedRequestsPerSecond      float64 // Of the whole service.
}

// Attempt is what a carrier saw of one attempt on an endpoint.
type Attempt struct {
	Endpoint fleet.Endpoint
	Failed   bool
	Latency  time.Duration
	Trial    bool
}

// Send asks for a message to be sent to one life of an instance. Exactly one of the two is set.
type Send struct {
	To       fleet.Ref
	Evidence *Evidence
	Decision *Decision
}

// State is how an endpoint stands in one carrier's view.
type State uint8

// States of an endpoint.
const (
	StateInService State = iota + 1 // In service.
	StateEjected                    // Out of service everywhere.
	StateAvoided                    // Out of reach from this carrier's zone only.
	StateTrial                      // Ejected, and taking trial requests.
)

// EndpointView is one endpoint in a carrier's view, with what led to its state.
type EndpointView struct {
	Endpoint  fleet.Endpoint `json:"endpoint"`
	State     State          `json:"state"`
	Evaluator fleet.Ref      `json:"judge"`
	Score     float64        `json:"score"`      // Of the detector, in nats.
	Limit     float64        `json:"limit"`      // Score at which it is ejected, in nats.
	Until     time.Time      `json:"until"`      // When the verdict lapses unless renewed.
	MayReturn time.Time      `json:"may_return"` // When trial requests may start.
	AtFloor   bool           `json:"at_floor"`   // It would be ejected, but the floor forbids it.
}
