// Package result defines the numbered result codes for callers and operators.
//
// A code is sent to callers in the header "Damaskcove-Code" and written to logs. Table must
// equal the table in docs/RESULT-CODES.md, which a test checks.
package result

// Code is a numbered result. Codes are never renumbered or reused.
type Code uint16

// Execution reports whether an upstream executed the request that a code answers.
type Execution uint8

// Values of Execution.
const (
	Ran     Execution = iota + 1 // It was executed; the answer is the upstream's.
	NotRun                       // It was not executed and will not be.
	Unknown                      // It may have been executed.
	None                         // The code is not the outcome of a request to an upstream.
)

// String returns the value of the header "Damaskcove-Execution".
func (e Execution) String() string {
	switch e {
	case Ran:
		return "ran"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "none"
	}
}

// Entry is one row of the table of codes.
type Entry struct {
	Code      Code
	Name      string    // Stable name for logs.
	Status    int       // HTTP status of the response; 0 when the code is not sent in one.
	Execution Execution // Whether the request was executed.
	Text      string    // Explanation for operators, one sentence.
}
