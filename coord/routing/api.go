package routing

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// EndpointState determines which requests this instance may send to an endpoint.
type EndpointState uint8

// States of an endpoint.
const (
	StateAvailable EndpointState = iota // Takes any request.
	StateExcluded                       // Out of service in this zone: takes no requests.
	StateTrial                          // Takes one trial request at a time: idempotent, and hedged on another endpoint.
	StateCold                           // In slow start: its limit grows from one.
	StateDraining                       // Takes no new requests; running attempts finish.
)

// Target describes one endpoint to the balancer.
type Target struct {
	Upstream fleet.Upstream
	State    EndpointState
	Limit    int           // Attempts that this instance may run at once: its share of the endpoint's slots.
	LoadHint float64       // Load that the endpoint reported, 0 to 1.
	LoadAge  time.Duration // Age of LoadHint.
}

// Request is a caller's request to the service.
type Request struct {
	ID         uint64 // Unique among the requests in the balancer.
	Account    fleet.Account
	Idempotent bool
	Deadline   time.Time
}

// Effect is an action that the user of the Balancer must carry out: Dispatch, CancelAttempt, Deliver or Reject.
type Effect interface{ isEffect() }

// Dispatch sends one attempt. Its end must be reported with Balancer.Finish.
type Dispatch struct {
	ID       uint64
	Attempt  int // Counts from 1 within the request.
	Endpoint fleet.Endpoint
	Deadline time.Time
	Hedge    bool // Sent while another attempt of the request is running.
	Trial    bool // On an endpoint in StateTrial; not cancelled when another attempt is delivered first.
}

// CancelAttempt cancels a running attempt. Its end must still be reported with Balancer.Finish.
type CancelAttempt struct {
	ID      uint64
	Attempt int
}

// Deliver returns the outcome of one attempt to the caller and ends the request.
type Deliver struct {
	ID      uint64
	Attempt int
}

// RejectReason is why a request ended without an attempt's outcome.
type RejectReason uint8

// Reasons for a Reject.
const (
	RejectNoEndpoint RejectReason = iota + 1 // No endpoint takes requests.
	RejectQueueFull                          // The queue was full.
	RejectDeadline                           // Its deadline passed, or left too little time for an attempt.
	RejectCancelled                          // The caller disconnected while the request was queued.
)

// Reject ends a request that has no running attempt. NotRun is true when no attempt was ever sent.
type Reject struct {
	ID     uint64
	Reason RejectReason
	NotRun bool
}

func (Dispatch) isEffect()      {}
func (CancelAttempt) isEffect() {}
func (Deliver) isEffect()       {}
func (Reject) isEffect()        {}

// AttemptResult is the result of one attempt.
type AttemptResult uint8

// Results of an attempt.
const (
	AttemptSucceeded   AttemptResult = iota + 1 // Complete response that is not a server error.
	AttemptServerError                          // Complete response with a server error (status 500 and up).
	AttemptNotSent                              // No byte of the request was sent.
	AttemptRefused                              // The upstream refused the request before running it.
	AttemptIncomplete                           // Sent, but no complete response arrived.
	AttemptCancelled                            // Cancelled by this instance.
)
