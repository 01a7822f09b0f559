package rollout

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of this package.
var (
	// ErrMalformed means that a head, a shard or a message does not decode or is inconsistent.
	ErrMalformed = errors.New("configuration malformed")
	// ErrDigestMismatch means that a shard's content does not match its digest.
	ErrDigestMismatch = errors.New("shard does not match its digest")
	// ErrTooLarge means that a head or a shard exceeds MaxValueBytes.
	ErrTooLarge = errors.New("configuration value too large")
	// ErrAlreadyAccepted means that a change with the same ID was accepted before.
	ErrAlreadyAccepted = errors.New("change already accepted")
	// ErrInvalid is wrapped by every ValidationError.
	ErrInvalid = errors.New("configuration is invalid")
)

// ValidationError lists every invalid field of a proposed configuration.
type ValidationError struct {
	Fields []FieldError
}

// Error returns the number of invalid fields and then each of them on a line of its own.
func (e *ValidationError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v: %d", ErrInvalid, len(e.Fields))
	for _, f := range e.Fields {
		b.WriteString("\n" + f.String())
	}
	return b.String()
}

// Unwrap returns ErrInvalid.
func (e *ValidationError) Unwrap() error { return ErrInvalid }
