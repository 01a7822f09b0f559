// Package health finds gray upstream endpoints and takes them out of service without breaking a floor.
package health

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Assignment says who carries a service and who judges it, for one generation of the roster.
type Assignment struct {
	Generation uint64
	Judge      fleet.Ref
	Carriers   []fleet.Instance
}

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
	Verdict  *Verdict
}

// State is how an endpoint stands in one carrier's view.
type State uint8

// States of an endpoint.
const (
	StateOpen    State = iota + 1 // In service.
	StateEjected                  // Out of service everywhere.
	StateAvoided                  // Out of reach from this carrier's zone only.
	StateTrial                    // Ejected, and taking trial requests.
)

// EndpointView is one endpoint in a carrier's view, with what led to its state.
type EndpointView struct {
	Endpoint  fleet.Endpoint `json:"endpoint"`
	State     State          `json:"state"`
	Judge     fleet.Ref      `json:"judge"`
	Score     float64        `json:"score"`      // Of the detector, in nats.
	Limit     float64        `json:"limit"`      // Score at which it is ejected, in nats.
	Until     time.Time      `json:"until"`      // When the verdict lapses unless renewed.
	MayReturn time.Time      `json:"may_return"` // When trial requests may start.
	AtFloor   bool           `json:"at_floor"`   // It would be ejected, but the floor forbids it.
}

// Methods that the daemon calls; all run on one goroutine, one Carrier and at most one Judge per service:
//
//	func NewCarrier(self fleet.Instance, cfg Config) *Carrier
//	func (c *Carrier) Configure(now time.Time, p Parameters, a Assignment, upstreams []fleet.Upstream)
//	func (c *Carrier) Observe(now time.Time, a Attempt)
//	func (c *Carrier) Deliver(now time.Time, from fleet.Ref, v *Verdict) error
//	func (c *Carrier) Tick(now time.Time) []Send
//	func (c *Carrier) View(now time.Time) []EndpointView
//
//	func NewJudge(self fleet.Instance, cfg Config) *Judge
//	func (j *Judge) Configure(now time.Time, p Parameters, a Assignment, upstreams []fleet.Upstream)
//	func (j *Judge) Deliver(now time.Time, from fleet.Ref, e *Evidence) ([]Send, error)
//	func (j *Judge) Tick(now time.Time) []Send
//	func (j *Judge) Explain(now time.Time) []EndpointView
//
//	func Threshold(p Parameters, endpoints int) Operating   // score limit, expected detection time
