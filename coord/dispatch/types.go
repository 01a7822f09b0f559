package dispatch

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// EndpointID names an endpoint in reports: a hash of the id that it registered with.
type EndpointID uint32

// Peer names one life of another instance.
type Peer uint64

// Endpoint is one endpoint of a service.
type Endpoint struct {
	ID        EndpointID
	Name      string // The id that it registered with.
	Service   string
	Address   string
	Zone      string
	Slots     int
	Leaving   bool
	Started   time.Time // A start under the same id is another life, of which nothing is known.
	WarmUntil time.Time // It is slow until then.
}

// Ask is a request that wants an endpoint.
type Ask struct {
	Service    string
	Class      string // Requests whose answers are of about one size, such as a route's.
	Large      bool   // Answers of the class are large.
	Idempotent bool
	Repeat     bool // It was sent before and draws on the retry budget.
	Hedge      bool // It is under way elsewhere; it gets a free slot at a sound endpoint or none.
	Objective  time.Time
	Deadline   time.Time
	Tried      []EndpointID
	Crossing   float64 // Part of its credit that an answer from another zone costs; see Machine.CrossingCost.
	Least      float64 // It gets an endpoint of at least this worth, or none.

	repeatable bool // The budget lets it be sent again if it fails.
}

// Reason tells why an Ask is rejected.
type Reason uint8

// Reasons of a Rejection.
const (
	NoEndpoint  Reason = iota + 1 // The service has none that takes work.
	Overloaded                    // No endpoint could answer before the deadline.
	BudgetSpent                   // The retry budget is spent.
	NoSpare                       // No sound endpoint has a slot to spare for a Hedge.
	Poor                          // No endpoint has the least worth that is asked for.
)

// Grant gives a request an endpoint. It counts as in flight until Ended.
type Grant struct {
	Endpoint Endpoint
	Ticket   uint64        // Names the grant at the broker that gave it; 0 for this instance's own.
	Chance   float64       // Estimated chance that it is served.
	InFlight int           // Requests of all instances there, this one included.
	Usual    time.Duration // Time that a request takes there.
}

// Rejection turns a request away.
type Rejection struct {
	Reason     Reason
	RetryAfter time.Duration
	Expected   time.Duration // Of Overloaded: time to an answer at the best endpoint.
	Left       time.Duration // Time to the deadline.
	Best       float64       // Of Poor: worth of the best endpoint.
}

// Event is what an instance tells the others of one endpoint.
type Event struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointID
	InFlight int       // The reporter's own requests there, after the event.
	Kind     EventKind // What happened.
	Took     int       // Milliseconds from the start to the end; 0 for a start.
}

// EventKind tells what happened at an endpoint.
type EventKind uint8

// Kinds of events.
const (
	Started EventKind = iota + 1
	Repeated
	EndedServed
	EndedFailed
	EndedBroken
	EndedRefused
	EndedUnknown // It tells nothing of the endpoint: the caller left, or it could not be reached from here.
	RunsLong
)

// outcomes are the kinds that tell how an endpoint does.
var outcomes = map[EventKind]outlook.Outcome{
	EndedServed:  outlook.Served,
	EndedFailed:  outlook.Failed,
	EndedBroken:  outlook.Broken,
	EndedRefused: outlook.Refused,
	RunsLong:     outlook.Overdue,
}

// Config holds what the decisions depend on.
type Config struct {
	Zone        string
	Rates       outlook.Rates
	Retry       retrybudget.Bound
	FloorShare  float64       // Share of a service's endpoints that is to be in use while many requests go unserved.
	PeerTimeout time.Duration // After which a silent peer's requests in flight are forgotten.
	Alone       bool          // Nobody else is told of what happens here.
}
