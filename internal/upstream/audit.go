package upstream

import "sort"

// Outcome is the result of a request as its caller received it.
type Outcome uint8

// Values of Outcome.
const (
	OutcomeNone     Outcome = iota // Neither an answer nor a result code, which is a violation by itself.
	OutcomeAnswered                // An upstream's answer.
	OutcomeNotRun                  // A result code that says it did not run and will not.
	OutcomeUnknown                 // A result code that says it may have run.
)

// CallerResult is the result of one request as its caller received it, after its last attempt.
type CallerResult struct {
	ID            string
	NonIdempotent bool
	Outcome       Outcome
}

// Audit is the comparison of callers' results with the endpoints' records.
type Audit struct {
	Requests    int      `json:"requests"`
	Answered    int      `json:"answered"`
	NotRun      int      `json:"not_run"`
	Unknown     int      `json:"unknown"`
	Lost        int      `json:"lost"`          // OutcomeNone, or OutcomeAnswered without a start.
	Duplicated  int      `json:"doubled"`       // Non-idempotent requests that started more than once.
	FalseNotRun int      `json:"false_not_run"` // OutcomeNotRun, but started.
	Violations  []string `json:"broken"`        // IDs of lost, duplicated and falsely not-run requests, sorted.
}

// Audit compares callers' results with the records. It must be called after all requests have ended.
// Starts of idempotent requests are compared only if they are recorded.
func (r *Recorder) Audit(results []CallerResult) Audit {
	a := Audit{Requests: len(results), Violations: []string{}}
	for _, result := range results {
		a.add(result, r.Starts(result.ID), result.NonIdempotent || r.recordIdempotent)
	}
	sort.Strings(a.Violations)
	return a
}

func (a *Audit) add(result CallerResult, starts int, recorded bool) {
	violated := false
	switch result.Outcome {
	case OutcomeNone:
		a.Lost++
		violated = true
	case OutcomeAnswered:
		a.Answered++
		if recorded && starts == 0 {
			a.Lost++
			violated = true
		}
	case OutcomeNotRun:
		a.NotRun++
		if recorded && starts > 0 {
			a.FalseNotRun++
			violated = true
		}
	case OutcomeUnknown:
		a.Unknown++
	}
	if result.NonIdempotent && starts > 1 {
		a.Duplicated++
		violated = true
	}
	if violated {
		a.Violations = append(a.Violations, result.ID)
	}
}
