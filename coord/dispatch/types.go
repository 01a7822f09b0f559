package dispatch

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/accounts"
	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// EndpointID identifies an endpoint in reports: a hash of the id under which it registered.
type EndpointID uint32

// PeerID identifies one incarnation of another instance.
type PeerID uint64

// Endpoint is one endpoint of a service.
type Endpoint struct {
	ID        EndpointID
	Name      string // The id under which it registered.
	Service   string
	Address   string
	Zone      string
	Slots     int
	Draining  bool
	Started   time.Time // A later start under the same id is a new incarnation, without any history.
	WarmUpEnd time.Time // Requests take longer until then.
}

// Request is a request to be placed on an endpoint.
type Request struct {
	Service       string
	SizeClass     string // Requests with responses of about one size, such as those of a route.
	LargeResponse bool   // Responses of the class are large.
	Idempotent    bool
	Retry         bool // It was sent before and draws on the retry budget.
	LastAttempt   bool // If it fails, it is not tried again.
	Hedge         bool // Another attempt is under way; it gets a free slot at a healthy endpoint or none.
	Objective     time.Time
	Deadline      time.Time
	Tried         []EndpointID
	CrossZoneCost float64     // Part of its credit that a response from another zone costs; see Machine.CrossZoneCost.
	Priority      int         // 0 is the most urgent.
	Waiting       bool        // It has waited for room already.
	Account       accounts.ID // Of the caller; 0 if there is none or its limit has been taken from.
	Substitute    bool        // This instance places it in place of the one that usually does.
	MinScore      float64     // It gets an endpoint of at least this score, or none.

	retryable bool // If it fails it is tried again: its kind, its attempts and the budget allow it.
}

// Reason is why a Request is rejected.
type Reason uint8

// Reasons of a Rejection.
const (
	NoEndpoint           Reason = iota + 1 // No endpoint of the service accepts requests.
	Overloaded                             // No endpoint is expected to respond before the deadline.
	RetryBudgetExhausted                   // The retry budget is spent.
	NoSpareSlot                            // No healthy endpoint has a spare slot for a Hedge.
	ScoreTooLow                            // No endpoint reaches the Request's MinScore.
	AccountLimit                           // The account's limit over all instances has no room.
)

// Grant assigns an endpoint to a request, which counts as in flight there until Ended.
type Grant struct {
	Endpoint        Endpoint
	Limited         bool          // The endpoint has a limit of its requests a second.
	BrokerSeq       uint64        // Sequence number of the request to the broker; 0 for this instance's own grant.
	Chance          float64       // Estimated chance of success.
	InFlight        int           // Requests of all instances there, this one included.
	BaselineLatency time.Duration // Usual latency of a request there.
}

// Rejection is the refusal to place a request.
type Rejection struct {
	Reason          Reason
	RetryAfter      time.Duration
	ExpectedLatency time.Duration // Set for Overloaded: latency at the best endpoint.
	TimeLeft        time.Duration // Time to the deadline.
	BestScore       float64       // Set for ScoreTooLow: score of the best endpoint.
	Leaving         int           // Set for NoEndpoint: endpoints of the service that are leaving.
	HeldOff         int           // Set for NoEndpoint: endpoints that want no requests for a time; RetryAfter is when the first returns, spread over time.
	Limited         int           // Set for NoEndpoint: endpoints whose limit of requests a second leaves no room.
	LimitEndpoint   string        // Set if Limited: the id of the one that has room first; empty if a broker placed the request.
	LimitRate       float64       // Its limit in requests a second; for AccountLimit that of the account.
	Wait            time.Duration // Set for NoEndpoint if the request can wait for the first to return, or to have room, and still meet its objective.
}

// Event is what an instance reports to the others about one endpoint.
type Event struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointID
	InFlight int // The reporter's own requests there, after the event.
	Kind     EventKind
	Value    int // Latency in milliseconds, from the start to the end; 0 for a start. LimitInForce and LimitUsed have others.
}

// latency returns the latency of an event that has one.
func (ev Event) latency() time.Duration { return time.Duration(ev.Value) * time.Millisecond }

// EventKind is what happened at an endpoint.
type EventKind uint8

// Kinds of events.
const (
	Started EventKind = iota + 1
	Retried
	EndedServed
	EndedFailed
	EndedBroken
	EndedRefused
	EndedUnknown // No evidence about the endpoint: the caller left, or this instance could not reach the endpoint.
	Overdue
	Leaving      // A response said that the endpoint is leaving; the latency is the time since its request was sent.
	LimitInForce // A response named a limit; Value is it in thousandths of a request a second.
	LimitUsed    // Value is the number of requests that the reporter has placed at a limited endpoint.
	LimitEnded   // A response named no limit; the latency is the time since its request was sent.
)

// outcomes maps the kinds that are evidence of an endpoint's health.
var outcomes = map[EventKind]outlook.Outcome{
	EndedServed:  outlook.Served,
	EndedFailed:  outlook.Failed,
	EndedBroken:  outlook.Broken,
	EndedRefused: outlook.Refused,
	Overdue:      outlook.Overdue,
}

// earlyOutcomes maps the kinds that have an outcome of their own if they come early.
var earlyOutcomes = map[EventKind]outlook.Outcome{
	EndedFailed:  outlook.FailedEarly,
	EndedBroken:  outlook.BrokenEarly,
	EndedRefused: outlook.RefusedEarly,
}

// Config configures a Machine.
type Config struct {
	Zone        string
	HealthPrior outlook.Prior // Assumed of endpoints before anything is observed of their service.
	RetryBound  retrybudget.Bound
	FloorShare  float64       // Share of a service's endpoints to be in use while many requests go unserved.
	PeerTimeout time.Duration // After which the requests in flight of a silent peer are dropped.
	NoReports   bool          // Events are not reported to other instances.
}
