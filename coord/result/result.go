// Package result holds the numbered result codes that callers and operators see.
//
// A code is sent to callers in the header "Damaskcove-Code" and written in logs. The
// table in docs/RESULT-CODES.md lists them; a test keeps the two equal.
package result

// Code is a numbered result. Codes are never renumbered or reused.
type Code uint16

// Execution says whether the request that a code answers was run by an upstream.
type Execution uint8

// What a code says about the execution of the request.
const (
	Ran     Execution = iota + 1 // It ran; the answer is the upstream's.
	NotRun                       // It did not run and will not.
	Unknown                      // It may have run.
	None                         // The code does not answer a request to an upstream.
)

// String returns the word that callers see in the header "Damaskcove-Execution".
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
	Name      string    // Stable name, for logs.
	Status    int       // HTTP status sent with it; 0 when it is not sent to callers.
	Execution Execution // What the caller may conclude.
	Text      string    // One sentence for operators.
}
