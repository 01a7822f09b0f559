package client

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// DiscoverPath is the path at which every entry answers discovery.
const DiscoverPath = "/.damaskcove/discover"

// OutcomePath is the path at which every entry tells what came of a key. The key is
// sent in the header HeaderKey.
const OutcomePath = "/.damaskcove/outcome"

// Query parameters of DiscoverPath.
const (
	ParamService = "service" // Required.
	ParamAccount = "account" // Required.
	ParamZone    = "zone"    // The caller's own availability zone, or nearest; optional.
)

// Headers between callers and entries.
const (
	HeaderAccount   = "Damaskcove-Account"   // Request: the client account.
	HeaderService   = "Damaskcove-Service"   // Request: the service; optional when one route alone takes the path.
	HeaderKey       = "Idempotency-Key"      // Request: "<ticket>.<unique part>".
	HeaderDeadline  = "Damaskcove-Deadline"  // Request: milliseconds that the caller still waits.
	HeaderCode      = "Damaskcove-Code"      // Answer: numbered result code.
	HeaderExecution = "Damaskcove-Execution" // Answer: "ran", "not-run" or "unknown".
)

// Values of HeaderExecution.
const (
	ExecutionRan     = "ran"
	ExecutionNotRun  = "not-run"
	ExecutionUnknown = "unknown"
)

// KeySeparator stands between the ticket and the unique part of an idempotency key.
const KeySeparator = "."

// Entry is one instance that a caller may use.
type Entry struct {
	Address string     `json:"address"` // IP number and port.
	Zone    fleet.Zone `json:"zone"`
}

// Discovery is the answer at DiscoverPath.
type Discovery struct {
	Entries  []Entry        `json:"entries"`    // Best first.
	MaxAgeMS int64          `json:"max_age_ms"` // Milliseconds for which the answer may be used.
	Ticket   string         `json:"ticket"`     // First part of the caller's idempotency keys; changes with each answer.
	Revision fleet.Revision `json:"revision"`   // Configuration that the answer came from.
}

// MaxAge returns the time for which the answer may be used.
func (d Discovery) MaxAge() time.Duration {
	return time.Duration(d.MaxAgeMS) * time.Millisecond
}
