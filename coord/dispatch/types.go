package dispatch

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/outlook"
	"github.com/damaskcove/damaskcove/coord/retrybudget"
)

// EndpointID names an endpoint in reports: a hash of the id that it registered with.
type EndpointID uint32

// PeerID names one life of another instance.
type PeerID uint64

// Endpoint is one endpoint of a service.
type Endpoint struct {
	ID        EndpointID
	Name      string // The id that it registered with.
	Service   string
	Address   string
	Zone      string
	Slots     int
	Draining  bool
	Started   time.Time // A start under the same id is another life, of which nothing is known.
	WarmUpEnd time.Time // It is slow until then.
}

// Request is a request that wants an endpoint.
type Request struct {
	Service       string
	SizeClass     string // Requests whose answers are of about one size, such as a route's.
	LargeResponse bool   // Answers of the class are large.
	Idempotent    bool
	Retry         bool // It was sent before and draws on the retry budget.
	Hedge         bool // It is under way elsewhere; it gets a free slot at a sound endpoint or none.
	Objective     time.Time
	Deadline      time.Time
	Tried         []EndpointID
	CrossZoneCost float64 // Part of its credit that an answer from another zone costs; see Machine.CrossZoneCost.
	MinScore      float64 // It gets an endpoint of at least this worth, or none.

	repeatable bool // The budget lets it be sent again if it fails.
}

// Reason tells why a Request is rejected.
type Reason uint8

// Reasons of a Rejection.
const (
	NoEndpoint           Reason = iota + 1 // The service has none that takes work.
	Overloaded                             // No endpoint could answer before the deadline.
	RetryBudgetExhausted                   // The retry budget is spent.
	NoSpareSlot                            // No sound endpoint has a slot to spare for a Hedge.
	ScoreTooLow                            // No endpoint has the least worth that is asked for.
)

// Grant gives a request an endpoint. It counts as in flight until Ended.
type Grant struct {
	Endpoint        Endpoint
	BrokerSeq       uint64        // Names the grant at the broker that gave it; 0 for this instance's own.
	Chance          float64       // Estimated chance that it is served.
	InFlight        int           // Requests of all instances there, this one included.
	BaselineLatency time.Duration // Time that a request takes there.
}

// Rejection turns a request away.
type Rejection struct {
	Reason          Reason
	RetryAfter      time.Duration
	ExpectedLatency time.Duration // Of Overloaded: time to an answer at the best endpoint.
	TimeLeft        time.Duration // Time to the deadline.
	BestScore       float64       // Of ScoreTooLow: worth of the best endpoint.
}

// Event is what an instance tells the others of one endpoint.
type Event struct {
	_             struct{} `cbor:",toarray"`
	Endpoint      EndpointID
	InFlight      int       // The reporter's own requests there, after the event.
	Kind          EventKind // What happened.
	LatencyMillis int       // Milliseconds from the start to the end; 0 for a start.
}

// EventKind tells what happened at an endpoint.
type EventKind uint8

// Kinds of events.
const (
	Started EventKind = iota + 1
	Retried
	EndedServed
	EndedFailed
	EndedBroken
	EndedRefused
	EndedUnknown // It tells nothing of the endpoint: the caller left, or it could not be reached from here.
	Overdue
)

// outcomes are the kinds that tell how an endpoint does.
var outcomes = map[EventKind]outlook.Outcome{
	EndedServed:  outlook.Served,
	EndedFailed:  outlook.Failed,
	EndedBroken:  outlook.Broken,
	EndedRefused: outlook.Refused,
	Overdue:      outlook.Overdue,
}

// Config holds what the decisions depend on.
type Config struct {
	Zone        string
	HealthModel outlook.Model
	RetryBound  retrybudget.Bound
	FloorShare  float64       // Share of a service's endpoints that is to be in use while many requests go unserved.
	PeerTimeout time.Duration // After which a silent peer's requests in flight are forgotten.
	NoReports   bool          // Nobody else is told of what happens here.
}
