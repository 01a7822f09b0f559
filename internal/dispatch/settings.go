package dispatch

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
)

// Defaults of Settings.
const (
	DefaultMaxAnswerBytes = 8 << 20
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultIdleTimeout    = 30 * time.Second
	DefaultDeadline       = 30 * time.Second
	DefaultDrainingHold   = 10 * time.Second
)

// Settings configures a Dispatcher. Zero values take the defaults.
type Settings struct {
	MaxAnswerBytes int           // Largest body of an answer.
	DialTimeout    time.Duration // For opening a connection.
	SourceIP       string        // Local IP address of connections to upstreams; empty lets the system choose.
	IdleTimeout    time.Duration // An idle connection is closed after this time.
	Deadline       time.Duration // For requests without a deadline.
	DrainingHold   time.Duration // How long an endpoint that reported it is draining gets no new requests, whatever state the targets give it.
	Seed           uint64        // Seeds the random choices; zero picks a random seed.
}

// Hooks are called by a Dispatcher, concurrently from several goroutines. They must not
// block. Nil hooks are skipped.
type Hooks struct {
	// Observe is called after each attempt that is evidence about its endpoint's health. For
	// an attempt that was cancelled because its hedge answered first, the latency is the time
	// until the cancellation, which is a lower bound.
	Observe func(service fleet.Service, a health.Attempt)
	// Draining is called when an answer says that its endpoint is draining.
	Draining func(service fleet.Service, endpoint fleet.Endpoint)
	// MayStart reports whether a request with a deadline may start. It is not asked about requests with
	// a key: a rejection would settle the key as not run, also for later requests with it.
	MayStart func(now, deadline time.Time) bool
}

func (s Settings) withDefaults() Settings {
	if s.MaxAnswerBytes <= 0 {
		s.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if s.DialTimeout <= 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.IdleTimeout <= 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	if s.Deadline <= 0 {
		s.Deadline = DefaultDeadline
	}
	if s.DrainingHold <= 0 {
		s.DrainingHold = DefaultDrainingHold
	}
	return s
}
