package rollout

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Config is everything that operators configure, at one revision. It is immutable once published.
type Config struct {
	Revision fleet.Revision                    `cbor:"1,keyasint" json:"revision"`
	Services map[fleet.Service]ServiceTemplate `cbor:"2,keyasint" json:"services"`
	Accounts map[fleet.Account]AccountTemplate `cbor:"3,keyasint" json:"accounts"`
}

// ServiceTemplate is one service as operators describe it.
type ServiceTemplate struct {
	Name                           fleet.Service `cbor:"1,keyasint" json:"name"`
	FloorSlots                     int           `cbor:"2,keyasint" json:"floor_slots"` // Healthy slots that ejection must leave.
	Deadline                       time.Duration `cbor:"3,keyasint" json:"deadline"`
	RetryShare                     float64       `cbor:"4,keyasint" json:"retry_share"` // Retries and hedges per request taken.
	FalseEjectionsPerEndpointMonth float64       `cbor:"5,keyasint" json:"false_ejections_per_endpoint_month"`
	RequestsPerSecond              float64       `cbor:"6,keyasint" json:"requests_per_second"` // Daytime traffic expected.
	MaxBodyBytes                   int           `cbor:"7,keyasint" json:"max_body_bytes"`
	Routes                         []Route       `cbor:"8,keyasint" json:"routes"`
}

// Route is a set of requests of a service.
type Route struct {
	Method     string `cbor:"1,keyasint" json:"method"` // Empty for any.
	PathPrefix string `cbor:"2,keyasint" json:"path_prefix"`
	Idempotent bool   `cbor:"3,keyasint" json:"idempotent"` // May be repeated.
}

// AccountTemplate is one client account.
type AccountTemplate struct {
	Name     fleet.Account   `cbor:"1,keyasint" json:"name"`
	Services []fleet.Service `cbor:"2,keyasint" json:"services"` // Services it may call.
	Weight   int             `cbor:"3,keyasint" json:"weight"`   // Its share of a full queue against other accounts.
}

// Effect is something the embedding program must do: Send, ReadHead, ReadShard or Apply.
type Effect interface{ isEffect() }

// Send asks for a message to be sent to an instance. It may be lost, doubled or delayed.
type Send struct {
	To      fleet.Ref
	Message Message
}

// ReadHead asks for the head key to be read; the program answers with Machine.HeadRead.
type ReadHead struct{}

// ReadShard asks for one snapshot shard to be read from the store; the program answers with Machine.ShardRead.
type ReadShard struct{ Digest Digest }

// Apply says that a newer configuration is in force: Machine.Current.
type Apply struct{ Config *Config }

func (Send) isEffect()      {}
func (ReadHead) isEffect()  {}
func (ReadShard) isEffect() {}
func (Apply) isEffect()     {}

// Digest names a snapshot shard by its content (SHA-256).
type Digest [32]byte
