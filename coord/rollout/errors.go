package rollout

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of this package.
var (
	// ErrMalformed says that a head, a shard or a message does not decode or contradicts itself.
	ErrMalformed = errors.New("configuration malformed")
	// ErrDigest says that a shard's content does not match its digest.
	ErrDigest = errors.New("shard does not match its digest")
	// ErrTooLarge says that a head or a shard is over MaxValueBytes.
	ErrTooLarge = errors.New("configuration value too large")
	// ErrAccepted says that a change with the same ID was accepted before.
	ErrAccepted = errors.New("change accepted before")
	// ErrFaults is what a FaultError wraps.
	ErrFaults = errors.New("configuration has faults")
)

// FaultError lists every fault of a proposed configuration.
type FaultError struct {
	Faults []Fault
}

// Error returns all faults, one a line.
func (e *FaultError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v: %d", ErrFaults, len(e.Faults))
	for _, f := range e.Faults {
		b.WriteString("\n" + f.String())
	}
	return b.String()
}

// Unwrap returns ErrFaults.
func (e *FaultError) Unwrap() error { return ErrFaults }
