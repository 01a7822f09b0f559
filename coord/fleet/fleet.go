// Package fleet defines the identifiers that the coordination packages share: of instances and
// their incarnations, zones, services, upstream endpoints, client accounts and configurations.
// It has no behaviour of its own.
package fleet

import "strconv"

// InstanceID identifies an instance for as long as its address is in use.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Region names a region, which consists of one or more availability zones.
type Region string

// Service names a service that upstreams offer.
type Service string

// Account names a client account.
type Account string

// Endpoint is the IP address and port of one upstream endpoint, as "192.0.2.7:8080".
type Endpoint string

// Revision numbers the accepted configurations of a fleet, starting at 1.
type Revision uint64

// Incarnation numbers the runs of an instance: each start, and each rejoin, has a higher number.
type Incarnation uint64

// Ref identifies one incarnation of an instance.
type Ref struct {
	ID          InstanceID  `cbor:"1,keyasint" json:"id"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// String returns the reference as "id#incarnation".
func (r Ref) String() string {
	return string(r.ID) + "#" + strconv.FormatUint(uint64(r.Incarnation), 10)
}

// IsZero reports whether r is the zero value, which identifies no instance.
func (r Ref) IsZero() bool {
	return r == Ref{}
}

// Instance describes one incarnation of an instance.
type Instance struct {
	Ref       Ref    `cbor:"1,keyasint" json:"ref"`
	Zone      Zone   `cbor:"2,keyasint" json:"zone"`
	Region    Region `cbor:"3,keyasint" json:"region"`
	EntryAddr string `cbor:"4,keyasint" json:"entry_addr"` // IP address and port for callers.
	PeerAddr  string `cbor:"5,keyasint" json:"peer_addr"`  // IP address and port for other instances.
	// OperatorAddr is the IP address and port for operators; empty when unknown.
	OperatorAddr string `cbor:"6,keyasint,omitempty" json:"operator_addr,omitempty"`
}

// UpstreamState is the state of an upstream endpoint in the platform's list.
type UpstreamState uint8

// Values of UpstreamState.
const (
	UpstreamCold     UpstreamState = iota + 1 // Started but not warmed up.
	UpstreamReady                             // Accepts requests.
	UpstreamDraining                          // Finishes its requests and accepts no new ones.
)

// Upstream is one upstream endpoint of a service.
type Upstream struct {
	Endpoint Endpoint      `cbor:"1,keyasint" json:"endpoint"`
	Zone     Zone          `cbor:"2,keyasint" json:"zone"`
	Slots    int           `cbor:"3,keyasint" json:"slots"` // Maximum concurrent requests.
	State    UpstreamState `cbor:"4,keyasint" json:"state"`
}
