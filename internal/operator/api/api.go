package api

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/result"
)

// Paths of the operator endpoints. All are GET only.
const (
	PathHealth       = "/health"   // Health check: 200 when the instance is serving, 503 while it starts or stops; needs no token.
	PathStatus       = "/status"   // Status.
	PathExplain      = "/explain"  // Explanation; takes the query parameters below.
	PathMetrics      = "/metrics"  // The expvar variables.
	PathActiveConfig = "/in-force" // ActiveConfig: the part of Status that a rollout polls.
)

// Query parameters of PathExplain.
const (
	ParamMethod  = "method"  // Default GET.
	ParamPath    = "path"    // Required.
	ParamAccount = "account" // Required.
)

// Phase is the lifecycle phase of an instance.
type Phase string

// Phases of an instance.
const (
	PhaseStarting Phase = "starting" // No configuration yet.
	PhaseServing  Phase = "serving"
	PhaseStopping Phase = "stopping" // Planned stop in progress.
)

// Status is the response of PathStatus.
type Status struct {
	Fleet      string         `json:"fleet"`
	Self       fleet.Instance `json:"self"`
	Phase      Phase          `json:"phase"`
	Started    time.Time      `json:"started"`
	Revision   fleet.Revision `json:"revision"` // Of the active configuration; 0 before the first.
	AppliedAt  time.Time      `json:"applied_at"`
	Generation uint64         `json:"generation"` // Of the roster.
	Members    []Member       `json:"members"`
	Services   []Service      `json:"services"`
	Store      Store          `json:"store"`
	Claims     int            `json:"claims"`    // Keys in the claim table.
	InFlight   int64          `json:"in_flight"` // Concurrent requests of callers.
}

// ActiveConfig is the response of PathActiveConfig.
type ActiveConfig struct {
	Self     fleet.Ref      `json:"self"`
	Phase    Phase          `json:"phase"`
	Revision fleet.Revision `json:"revision"` // Of the active configuration; 0 before the first.
}

// Member is one instance in this instance's view of the membership.
type Member struct {
	Instance  fleet.Instance `json:"instance"`
	Status    string         `json:"status"`   // "alive", "suspect", "leaving" or "dead".
	Revision  fleet.Revision `json:"revision"` // From the last heartbeat; 0 unless the two exchange heartbeats.
	Connected bool           `json:"linked"`   // The peer link to it is up.
}

// Service is one service in this instance's view.
type Service struct {
	Name       fleet.Service  `json:"name"`
	Carried    bool           `json:"carried"` // This instance routes to its endpoints.
	Evaluator  fleet.Ref      `json:"judge"`
	Carriers   []fleet.Ref    `json:"carriers"`
	FloorSlots int            `json:"floor_slots"`
	ReadySlots int            `json:"ready_slots"` // Total slots of ready endpoints.
	Budget     Budget         `json:"budget"`      // Set on the evaluator only.
	Endpoints  []EndpointView `json:"endpoints"`
	Queued     int            `json:"queued"`
	InFlight   int            `json:"in_flight"`
}

// Budget is an evaluator's ejection budget, in slots.
type Budget struct {
	Total             int `json:"total"` // Ready slots minus the floor.
	Available         int `json:"held"`  // What the evaluator may eject, given the number of reachable carriers.
	Used              int `json:"used"`
	ReachableCarriers int `json:"heard"`    // Carriers whose reports reach the evaluator.
	Carriers          int `json:"carriers"` // Carriers on the roster.
}

// EndpointView is one endpoint, its state, and the inputs of that state.
type EndpointView struct {
	Upstream  fleet.Upstream `json:"upstream"`
	State     string         `json:"state"` // "open", "ejected", "avoided", "trial", "cold" or "leaving".
	Evaluator fleet.Ref      `json:"judge"`
	Score     float64        `json:"score"` // Score of the detector, in nats.
	Limit     float64        `json:"limit"` // Score at which the endpoint is ejected, in nats.
	Until     time.Time      `json:"until"`
	MayReturn time.Time      `json:"may_return"`
	AtFloor   bool           `json:"at_floor"`
	SlotShare int            `json:"slot_share"` // Concurrent requests that this instance may send to it.
	InFlight  int            `json:"in_flight"`
}

// Store is the state of the platform's store in this instance's view.
type Store struct {
	Reachable bool              `json:"reachable"` // The last call got a reply.
	LastOK    time.Time         `json:"last_ok"`
	Calls     map[string]uint64 `json:"calls"` // As counted by storecall.Calls, such as "membership" or "listing.list".
}

// Explanation is the response of PathExplain: where a request would go and why.
type Explanation struct {
	Method      string           `json:"method"`
	Path        string           `json:"path"`
	Account     fleet.Account    `json:"account"`
	Revision    fleet.Revision   `json:"revision"`
	Code        result.Code      `json:"code"` // CodeAnswered if the request would be routed.
	Reason      string           `json:"reason"`
	Service     fleet.Service    `json:"service"`
	Route       string           `json:"route"` // Method and path prefix of the route.
	Idempotent  bool             `json:"idempotent"`
	Deadline    time.Duration    `json:"deadline"`
	Entries     []fleet.Instance `json:"entries"` // Entries that discovery would return.
	Home        fleet.Instance   `json:"home"`
	Witness     fleet.Instance   `json:"witness"`
	CarriedHere bool             `json:"here"` // This instance carries the service.
	Endpoints   []EndpointView   `json:"endpoints"`
}

// StateName returns the value of EndpointView.State for a state of package health.
func StateName(s health.State) string {
	switch s {
	case health.StateInService:
		return "open"
	case health.StateEjected:
		return "ejected"
	case health.StateAvoided:
		return "avoided"
	case health.StateTrial:
		return "trial"
	default:
		return "unknown"
	}
}
