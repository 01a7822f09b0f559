// Package exchange defines the request and answer types that pass between the entry, the claims, the
// relays and the dispatcher of an instance, and between instances.
//
// Both types own their bytes: nothing in them points into a buffer of the HTTP libraries.
package exchange

import (
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
)

// Header is one header field. Lists of them keep the order and repeated fields.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is a caller's request without hop-by-hop headers.
type Request struct {
	Service     fleet.Service `cbor:"1,keyasint"`
	Account     fleet.Account `cbor:"2,keyasint"`
	Method      string        `cbor:"3,keyasint"`
	URI         string        `cbor:"4,keyasint"` // Path and query, unchanged from the caller's request.
	Headers     []Header      `cbor:"5,keyasint,omitempty"`
	Body        []byte        `cbor:"6,keyasint,omitempty"`
	Idempotent  bool          `cbor:"7,keyasint"`
	Key         string        `cbor:"8,keyasint,omitempty"` // Idempotency-Key header, unchanged; empty if there is none.
	TraceParent string        `cbor:"9,keyasint,omitempty"` // W3C trace context of the previous hop.
	// Remaining is the time until the deadline when the request was sent to another instance. The
	// receiver sets Deadline from it by its own clock.
	Remaining time.Duration `cbor:"10,keyasint"`
	Deadline  time.Time     `cbor:"-"`
}

// Answer is the answer that the caller receives.
type Answer struct {
	Status    int              `cbor:"1,keyasint"`
	Headers   []Header         `cbor:"2,keyasint,omitempty"`
	Body      []byte           `cbor:"3,keyasint,omitempty"`
	Code      result.Code      `cbor:"4,keyasint"`
	Execution result.Execution `cbor:"5,keyasint"`
}

// Rejection returns the answer for a result code, with the status and execution from the table of
// codes. The body is one line of text that ends with detail.
func Rejection(code result.Code, detail string) Answer {
	entry, ok := result.Lookup(code)
	if !ok {
		entry = result.Entry{Code: code, Name: "unlisted", Status: 500, Execution: result.Unknown, Text: "Unlisted code."}
	}
	body := entry.Name + ": " + entry.Text
	if detail != "" {
		body += " " + detail
	}
	return Answer{
		Status:    entry.Status,
		Headers:   []Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
		Body:      []byte(body + "\n"),
		Code:      code,
		Execution: entry.Execution,
	}
}

// AttemptRejection returns the answer that rejects one attempt of a keyed request before its claim. Other
// attempts with the key may have run, so an execution of "not-run" becomes "unknown".
func AttemptRejection(code result.Code, detail string) Answer {
	a := Rejection(code, detail)
	if a.Execution == result.NotRun {
		a.Execution = result.Unknown
	}
	return a
}

// RejectAttempt returns the answer that rejects the request before it was claimed or sent: an
// AttemptRejection if it has an idempotency key and Idempotent is not set, a Rejection otherwise.
func (r Request) RejectAttempt(code result.Code, detail string) Answer {
	if r.Key != "" && !r.Idempotent {
		return AttemptRejection(code, detail)
	}
	return Rejection(code, detail)
}
