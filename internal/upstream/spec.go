package upstream

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Paths of every endpoint that are not work.
const (
	PathHealth = "/health" // 200 or 503, as it was Spec.Lag ago.
	PathLoad   = "/load"   // LoadReport, as it was Spec.Lag ago.
)

// Headers between the fleet and an endpoint.
const (
	HeaderRequestID  = "X-Request-Id"          // Request: set by the caller; answer: the same.
	HeaderDeadline   = "X-Request-Deadline-Ms" // Request: milliseconds left.
	HeaderInstance   = "X-Instance"            // Request: the entry instance that sends it; optional.
	HeaderNotStarted = "X-Not-Started"         // Answer: "1" when the request did not start.
	HeaderDraining   = "X-Leaving"             // Answer: "1" when the endpoint drains.
	HeaderLoad       = "X-Load"                // Answer: share of the slots in use, 0 to 1.
	HeaderEndpoint   = "X-Endpoint"            // Answer: the endpoint's address.
)

// Defaults of a Spec.
const (
	DefaultSlots       = 4
	DefaultMedian      = 20 * time.Millisecond
	DefaultSpread      = 0.4
	DefaultQueueFactor = 2
	DefaultColdFactor  = 5
	DefaultProbeTime   = 25 * time.Millisecond
	DefaultConnectTime = time.Millisecond
)

// Spec describes an endpoint. Zero fields take the defaults, where there is one.
type Spec struct {
	Service            fleet.Service
	Addr               string // IP number and port; port 0 takes a free one; empty for 127.0.0.1:0.
	Zone               fleet.Zone
	Slots              int           // Requests run at once.
	Queue              int           // Requests that wait for a slot; the next one is shed. Negative for none.
	Median             time.Duration // Of the service time, which is lognormal.
	Spread             float64       // Standard deviation of the service time's logarithm; negative for none.
	ColdStart          time.Duration // Time until it is warm; 0 starts it warm.
	ColdFactor         float64       // Service time at the start of the cold time, as a multiple.
	Lag                time.Duration // Of the health and load endpoints.
	ProbeTime          time.Duration // Of one probe; negative for none.
	ConnectTime        time.Duration // Before the first byte of a connection is read; negative for none.
	IdleTimeout        time.Duration // After which idle connections are closed; 0 for never.
	NonIdempotentPaths []string      // Path prefixes under which POST is not idempotent.
}

func (s Spec) withDefaults() Spec {
	if s.Addr == "" {
		s.Addr = "127.0.0.1:0"
	}
	s.Slots = orDefault(s.Slots, DefaultSlots)
	s.Queue = orDefault(s.Queue, s.Slots*DefaultQueueFactor)
	s.Median = orDefault(s.Median, DefaultMedian)
	s.Spread = orDefault(s.Spread, DefaultSpread)
	s.ColdFactor = orDefault(s.ColdFactor, DefaultColdFactor)
	s.ProbeTime = orDefault(s.ProbeTime, DefaultProbeTime)
	s.ConnectTime = orDefault(s.ConnectTime, DefaultConnectTime)
	return s
}

func orDefault[T int | float64 | time.Duration](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return max(value, 0)
}

func (s Spec) validate() error {
	if _, err := netip.ParseAddrPort(s.Addr); err != nil {
		return fmt.Errorf("address %q of service %q is no IP number and port: %w", s.Addr, s.Service, err)
	}
	if s.Service == "" {
		return fmt.Errorf("endpoint %s has no service", s.Addr)
	}
	if s.Slots < 1 {
		return fmt.Errorf("endpoint %s has %d slots, at least 1", s.Addr, s.Slots)
	}
	return nil
}
