// Package rollout carries configuration revisions from the store to every instance and never goes back.
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

// Methods that the daemon calls; all run on one goroutine:
//
//	func NewMachine(cfg MachineConfig, self fleet.Ref) *Machine
//	func (m *Machine) HeadRead(now time.Time, head Head, err error) []Effect   // by a watcher or at start
//	func (m *Machine) ShardRead(now time.Time, d Digest, data []byte, err error) []Effect
//	func (m *Machine) Deliver(now time.Time, from fleet.Ref, msg Message) []Effect
//	func (m *Machine) PeerRevision(now time.Time, peer fleet.Ref, r fleet.Revision) []Effect // heartbeat carried r
//	func (m *Machine) SetPeers(peers []fleet.Ref, watcher bool)
//	func (m *Machine) Tick(now time.Time) []Effect
//	func (m *Machine) Current() *Config   // nil before the first
//
// Functions that the operators' tool calls, on typed values; the store itself is reached by the caller:
//
//	func EncodeHead(Head) ([]byte, error); func DecodeHead([]byte) (Head, error)
//	func Propose(current Head, base *Config, change Change) (Head, []Shard, error)  // Change carries its ID and edited templates
//	func (h Head) Has(changeID string) bool
//	func Diff(a, b *Config) []Difference
//	func (c *Config) Validate() []Fault       // every fault at once
