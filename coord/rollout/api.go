package rollout

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Config is the complete configuration by operators at one revision. It is immutable once published.
type Config struct {
	Revision fleet.Revision                    `cbor:"1,keyasint" json:"revision"`
	Services map[fleet.Service]ServiceTemplate `cbor:"2,keyasint" json:"services"`
	Accounts map[fleet.Account]AccountTemplate `cbor:"3,keyasint" json:"accounts"`
}

// ServiceTemplate is the configuration of one service.
type ServiceTemplate struct {
	Name                           fleet.Service `cbor:"1,keyasint" json:"name"`
	FloorSlots                     int           `cbor:"2,keyasint" json:"floor_slots"` // Minimum healthy slots; ejection must not go below it.
	Deadline                       time.Duration `cbor:"3,keyasint" json:"deadline"`
	RetryShare                     float64       `cbor:"4,keyasint" json:"retry_share"` // Maximum retries and hedges per accepted request.
	FalseEjectionsPerEndpointMonth float64       `cbor:"5,keyasint" json:"false_ejections_per_endpoint_month"`
	RequestsPerSecond              float64       `cbor:"6,keyasint" json:"requests_per_second"` // Expected daytime traffic.
	MaxBodyBytes                   int           `cbor:"7,keyasint" json:"max_body_bytes"`
	Routes                         []Route       `cbor:"8,keyasint" json:"routes"`
}

// Route matches some of the requests to a service.
type Route struct {
	Method     string `cbor:"1,keyasint" json:"method"` // Empty for any.
	PathPrefix string `cbor:"2,keyasint" json:"path_prefix"`
	Idempotent bool   `cbor:"3,keyasint" json:"idempotent"` // May be retried and hedged.
}

// AccountTemplate is the configuration of one client account.
type AccountTemplate struct {
	Name     fleet.Account   `cbor:"1,keyasint" json:"name"`
	Services []fleet.Service `cbor:"2,keyasint" json:"services"` // Services it may call.
	Weight   int             `cbor:"3,keyasint" json:"weight"`   // Share of a full queue, relative to the other accounts.
}

// Effect is an action that the embedding program must carry out: Send, ReadHead, ReadShard, RestoreHead or Apply.
type Effect interface{ isEffect() }

// Send requests that a message be sent to an instance. It may be lost, duplicated or delayed.
type Send struct {
	To      fleet.Ref
	Message Message
}

// ReadHead requests a read of the head key; the program reports it with Machine.HeadRead.
type ReadHead struct{}

// ReadShard requests a read of one snapshot shard from the store; the program reports it with Machine.ShardRead.
type ReadShard struct{ Digest Digest }

// Apply requests that the program put a newer configuration into use. Machine.Current returns it too.
type Apply struct{ Config *Config }

func (Send) isEffect()      {}
func (ReadHead) isEffect()  {}
func (ReadShard) isEffect() {}
func (Apply) isEffect()     {}

// Digest is the SHA-256 of an encoded snapshot shard, which identifies it.
type Digest [32]byte
