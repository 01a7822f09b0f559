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
	DefaultLeavingHold    = 10 * time.Second
)

// Settings are the bounds of a Dispatcher. Zero values take the defaults.
type Settings struct {
	MaxAnswerBytes int           // Bound of an answer's body.
	DialTimeout    time.Duration // Bound on opening a connection.
	SourceIP       string        // IP number that connections come from; empty for the system's choice.
	IdleTimeout    time.Duration // Time after which an idle connection is closed.
	Deadline       time.Duration // Given to requests that come without a deadline.
	LeavingHold    time.Duration // Time for which an endpoint that said it is leaving gets no work, whatever the targets say.
	Seed           uint64        // Of the random choices; zero draws one.
}

// Hooks are called by a Dispatcher, from several goroutines at once. They must not block. Nil hooks are skipped.
type Hooks struct {
	// Observe is told of each finished attempt that says something of its endpoint. The
	// latency of an attempt that was cancelled because its hedge answered first is the
	// time it had run for: a lower bound.
	Observe func(service fleet.Service, a health.Attempt)
	// Leaving is told when an upstream's answer says that it is leaving.
	Leaving func(service fleet.Service, endpoint fleet.Endpoint)
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
	if s.LeavingHold <= 0 {
		s.LeavingHold = DefaultLeavingHold
	}
	return s
}
