package upstream

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// Probe paths of every endpoint.
const (
	PathHealth = "/health" // 200 or 503, for the state of Spec.Lag ago.
	PathLoad   = "/load"   // LoadReport for the state of Spec.Lag ago.
)

// Headers between the fleet and an endpoint.
const (
	HeaderRequestID  = "X-Request-Id"          // Request: set by the caller; answer: the same.
	HeaderDeadline   = "X-Request-Deadline-Ms" // Request: milliseconds left.
	HeaderInstance   = "X-Instance"            // Request: the entry instance that sends it; optional.
	HeaderNotStarted = "X-Not-Started"         // Answer: "1" if the request did not start.
	HeaderDraining   = "X-Leaving"             // Answer: "1" if the endpoint is draining.
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

// Spec configures an endpoint. Fields that are zero get their default, if there is one.
type Spec struct {
	Service            fleet.Service
	Addr               string // IP address and port; port 0 picks a free one; empty for 127.0.0.1:0.
	Zone               fleet.Zone
	Slots              int           // Requests that run concurrently.
	Queue              int           // Requests that may wait for a slot; further ones are shed. Negative for none.
	Median             time.Duration // Of the service time, which is lognormal.
	Spread             float64       // Standard deviation of the service time's logarithm; negative for none.
	ColdStart          time.Duration // Warm-up time; 0 for none.
	ColdFactor         float64       // Multiple of the service time at the start of the warm-up; falls to 1 linearly.
	Lag                time.Duration // Age of the state that the health and load probes report.
	ProbeTime          time.Duration // Service time of a probe; negative for none.
	ConnectTime        time.Duration // Delay before the first byte of a connection is read; negative for none.
	IdleTimeout        time.Duration // After which idle connections are closed; 0 for never.
	NonIdempotentPaths []string      // Path prefixes under which POST is not idempotent.
}

func (s Spec) withDefaults() Spec {
	if s.Addr == "" {
		s.Addr = "127.0.0.1:0"
	}
	s.Slots = valueOrDefault(s.Slots, DefaultSlots)
	s.Queue = valueOrDefault(s.Queue, s.Slots*DefaultQueueFactor)
	s.Median = valueOrDefault(s.Median, DefaultMedian)
	s.Spread = valueOrDefault(s.Spread, DefaultSpread)
	s.ColdFactor = valueOrDefault(s.ColdFactor, DefaultColdFactor)
	s.ProbeTime = valueOrDefault(s.ProbeTime, DefaultProbeTime)
	s.ConnectTime = valueOrDefault(s.ConnectTime, DefaultConnectTime)
	return s
}

func valueOrDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return max(value, 0)
}

func (s Spec) validate() error {
	if _, err := netip.ParseAddrPort(s.Addr); err != nil {
		return fmt.Errorf("address %q of service %q is not an IP number and port: %w", s.Addr, s.Service, err)
	}
	if s.Service == "" {
		return fmt.Errorf("endpoint %s has no service", s.Addr)
	}
	if s.Slots < 1 {
		return fmt.Errorf("endpoint %s has %d slots, needs at least 1", s.Addr, s.Slots)
	}
	return nil
}
