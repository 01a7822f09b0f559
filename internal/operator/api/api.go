package api

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/result"
)

// Paths of the operator endpoints. All are read with GET.
const (
	PathHealth       = "/health"   // 200 when the instance serves, 503 before and while it stops; no token needed.
	PathStatus       = "/status"   // Status.
	PathExplain      = "/explain"  // Explanation; parameters as below.
	PathMetrics      = "/metrics"  // The expvar variables.
	PathActiveConfig = "/in-force" // ActiveConfig: the part of Status that shows the progress of a rollout.
)

// Query parameters of PathExplain.
const (
	ParamMethod  = "method"  // Default GET.
	ParamPath    = "path"    // Required.
	ParamAccount = "account" // Required.
)

// Phase is where an instance stands in its life.
type Phase string

// Phases of an instance.
const (
	PhaseStarting Phase = "starting" // No configuration yet.
	PhaseServing  Phase = "serving"
	PhaseStopping Phase = "stopping" // Planned stop under way.
)

// Status is the answer at PathStatus.
type Status struct {
	Fleet      string         `json:"fleet"`
	Self       fleet.Instance `json:"self"`
	Phase      Phase          `json:"phase"`
	Started    time.Time      `json:"started"`
	Revision   fleet.Revision `json:"revision"` // Configuration in force; 0 before the first.
	AppliedAt  time.Time      `json:"applied_at"`
	Generation uint64         `json:"generation"` // Of the roster.
	Members    []Member       `json:"members"`
	Services   []Service      `json:"services"`
	Store      Store          `json:"store"`
	Claims     int            `json:"claims"`    // Keys in the table.
	InFlight   int64          `json:"in_flight"` // Requests of callers not answered yet.
}

// ActiveConfig is the answer at PathActiveConfig.
type ActiveConfig struct {
	Self     fleet.Ref      `json:"self"`
	Phase    Phase          `json:"phase"`
	Revision fleet.Revision `json:"revision"` // Configuration in force; 0 before the first.
}

// Member is one instance as this one sees it.
type Member struct {
	Instance  fleet.Instance `json:"instance"`
	Status    string         `json:"status"`   // "alive", "suspect", "leaving" or "dead".
	Revision  fleet.Revision `json:"revision"` // As last heard; 0 unless the two exchange heartbeats.
	Connected bool           `json:"linked"`   // A peer link is up.
}

// Service is one service as this instance sees it.
type Service struct {
	Name       fleet.Service  `json:"name"`
	Carried    bool           `json:"carried"` // This instance routes to its endpoints.
	Evaluator  fleet.Ref      `json:"judge"`
	Carriers   []fleet.Ref    `json:"carriers"`
	FloorSlots int            `json:"floor_slots"`
	ReadySlots int            `json:"ready_slots"` // Slots of ready endpoints in this instance's view.
	Budget     Budget         `json:"budget"`      // Known to the judge only.
	Endpoints  []EndpointView `json:"endpoints"`
	Queued     int            `json:"queued"`
	InFlight   int            `json:"in_flight"`
}

// Budget is a judge's ejection budget, in slots.
type Budget struct {
	Total             int `json:"total"` // Ready slots less the floor.
	Held              int `json:"held"`  // What the judge may hold with the carriers heard.
	Used              int `json:"used"`
	ReachableCarriers int `json:"heard"`    // Carriers heard.
	Carriers          int `json:"carriers"` // Carriers in the roster.
}

// EndpointView is one endpoint with what led to its state.
type EndpointView struct {
	Upstream  fleet.Upstream `json:"upstream"`
	State     string         `json:"state"` // "open", "ejected", "avoided", "trial", "cold" or "leaving".
	Evaluator fleet.Ref      `json:"judge"`
	Score     float64        `json:"score"` // Of the detector, in nats.
	Limit     float64        `json:"limit"` // Score at which it is ejected, in nats.
	Until     time.Time      `json:"until"`
	MayReturn time.Time      `json:"may_return"`
	AtFloor   bool           `json:"at_floor"`
	SlotShare int            `json:"slot_share"` // Requests that this instance may have on it at once.
	InFlight  int            `json:"in_flight"`
}

// Store is how the platform's store looks from this instance.
type Store struct {
	Reachable bool              `json:"reachable"` // The last call was answered.
	LastOK    time.Time         `json:"last_ok"`
	Calls     map[string]uint64 `json:"calls"` // By duty and operation, as "roster.get".
}

// Explanation is the answer at PathExplain: where a request would go and why.
type Explanation struct {
	Method      string           `json:"method"`
	Path        string           `json:"path"`
	Account     fleet.Account    `json:"account"`
	Revision    fleet.Revision   `json:"revision"`
	Code        result.Code      `json:"code"` // CodeAnswered when the request would be routed.
	Reason      string           `json:"reason"`
	Service     fleet.Service    `json:"service"`
	Route       string           `json:"route"` // Method and path prefix of the route.
	Idempotent  bool             `json:"idempotent"`
	Deadline    time.Duration    `json:"deadline"`
	Entries     []fleet.Instance `json:"entries"` // What discovery would hand out.
	Home        fleet.Instance   `json:"home"`
	Witness     fleet.Instance   `json:"witness"`
	CarriedHere bool             `json:"here"` // This instance carries the service.
	Endpoints   []EndpointView   `json:"endpoints"`
}

// StateName returns the word for a state of the health duty.
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
