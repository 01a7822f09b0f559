package client

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// DiscoverPath is the path of discovery on every entry.
const DiscoverPath = "/.damaskcove/discover"

// OutcomePath is the path on every entry that returns the outcome of an idempotency key. The key
// is sent in the header HeaderKey.
const OutcomePath = "/.damaskcove/outcome"

// Query parameters of DiscoverPath.
const (
	ParamService = "service" // Required.
	ParamAccount = "account" // Required.
	ParamZone    = "zone"    // The caller's availability zone, or the nearest one; optional.
)

// Headers between callers and entries.
const (
	HeaderAccount   = "Damaskcove-Account"   // Request: the client account.
	HeaderService   = "Damaskcove-Service"   // Request: the service; optional if only one route matches the path.
	HeaderKey       = "Idempotency-Key"      // Request: "<ticket>.<unique part>".
	HeaderDeadline  = "Damaskcove-Deadline"  // Request: milliseconds until the caller's deadline.
	HeaderCode      = "Damaskcove-Code"      // Answer: numbered result code.
	HeaderExecution = "Damaskcove-Execution" // Answer: "ran", "not-run" or "unknown".
)

// Values of HeaderExecution.
const (
	ExecutionRan     = "ran"
	ExecutionNotRun  = "not-run"
	ExecutionUnknown = "unknown"
)

// KeySeparator separates the ticket from the unique part of an idempotency key.
const KeySeparator = "."

// Entry is one instance that a caller may send requests to.
type Entry struct {
	Address string     `json:"address"` // IP address and port.
	Zone    fleet.Zone `json:"zone"`
}

// Discovery is the response of DiscoverPath.
type Discovery struct {
	Entries  []Entry        `json:"entries"`    // Best first.
	MaxAgeMS int64          `json:"max_age_ms"` // Milliseconds for which the response may be cached.
	Ticket   string         `json:"ticket"`     // First part of the caller's idempotency keys; differs in each response.
	Revision fleet.Revision `json:"revision"`   // Revision of the configuration that the response is based on.
}

// MaxAge returns the time for which the response may be cached.
func (d Discovery) MaxAge() time.Duration {
	return time.Duration(d.MaxAgeMS) * time.Millisecond
}
