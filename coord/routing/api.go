package routing

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Standing is how far an endpoint may be used by this instance.
type Standing uint8

// Standings of an endpoint.
const (
	StandingOpen    Standing = iota // Takes any work.
	StandingAvoided                 // Ejected, or out of reach from this zone: no work.
	StandingTrial                   // Takes one idempotent, hedged request at a time.
	StandingCold                    // Starts slowly: its limit grows from one.
	StandingLeaving                 // Takes no new work.
)

// Target is one endpoint as the balancer sees it.
type Target struct {
	Upstream fleet.Upstream
	Standing Standing
	Limit    int           // This instance's share of the endpoint's slots.
	LoadHint float64       // Reported load, 0 to 1.
	LoadAge  time.Duration // Age of LoadHint.
}

// Request is a caller's request before it has an endpoint.
type Request struct {
	ID         uint64 // Unique within the balancer.
	Account    fleet.Account
	Idempotent bool
	Deadline   time.Time
}

// Effect is something the embedding program must do: Dispatch, CancelAttempt, Deliver or Reject.
type Effect interface{ isEffect() }

// Dispatch asks for one attempt to be sent. The program must answer with Balancer.Finish.
type Dispatch struct {
	ID       uint64
	Attempt  int // Counts from 1 within the request.
	Endpoint fleet.Endpoint
	Deadline time.Time
	Hedge    bool // Sent beside another attempt that is under way.
	Trial    bool // On an endpoint with StandingTrial; it is never cancelled before its deadline.
}

// CancelAttempt asks for a running attempt to be cancelled; Finish still follows.
type CancelAttempt struct {
	ID      uint64
	Attempt int
}

// Deliver passes the answer of one attempt to the caller. It ends the request.
type Deliver struct {
	ID      uint64
	Attempt int
}

// RejectReason says why a request got no answer from an upstream.
type RejectReason uint8

// Reasons for a Reject.
const (
	RejectNoEndpoint RejectReason = iota + 1 // The service has no endpoint.
	RejectQueueFull                          // The queue is at its bound.
	RejectDeadline                           // It could not meet its deadline in the queue.
	RejectCancelled                          // The caller went away while it waited.
)

// Reject ends a request that has no attempt under way. NotRun is true when no attempt was ever sent.
type Reject struct {
	ID     uint64
	Reason RejectReason
	NotRun bool
}

func (Dispatch) isEffect()      {}
func (CancelAttempt) isEffect() {}
func (Deliver) isEffect()       {}
func (Reject) isEffect()        {}

// AttemptResult is how one attempt ended.
type AttemptResult uint8

// Results of an attempt.
const (
	AttemptAnswered  AttemptResult = iota + 1 // A whole answer that is not a server failure.
	AttemptFailed                             // A whole answer with a server failure (status 500 and up).
	AttemptNotSent                            // No byte left.
	AttemptRefused                            // The upstream refused it before starting it.
	AttemptBroken                             // Sent; no whole answer.
	AttemptCancelled                          // Cancelled by this side.
)
