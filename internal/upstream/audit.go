package upstream

import "sort"

// Outcome is what a caller was told of its request.
type Outcome uint8

// What a caller may have been told.
const (
	OutcomeNone     Outcome = iota // No answer, and no code: a broken promise by itself.
	OutcomeAnswered                // An upstream's answer.
	OutcomeNotRun                  // It did not run and will not.
	OutcomeUnknown                 // It may have run.
)

// CallerResult is one request as its caller saw it, after its last attempt.
type CallerResult struct {
	ID            string
	NonIdempotent bool // The request is not idempotent.
	Outcome       Outcome
}

// Audit is the comparison of what callers were told with what endpoints recorded.
type Audit struct {
	Requests    int      `json:"requests"`
	Answered    int      `json:"answered"`
	NotRun      int      `json:"not_run"`
	Unknown     int      `json:"unknown"`
	Lost        int      `json:"lost"`          // Told nothing, or told answered while nothing ran.
	Duplicated  int      `json:"doubled"`       // Orders that started more than once.
	FalseNotRun int      `json:"false_not_run"` // Told not run, and started.
	Violations  []string `json:"broken"`        // IDs of the last three, sorted.
}

// Audit compares beliefs with the records. It must be called when no request is under
// way any more. Lookups are judged by what they were told alone, unless lookups are recorded.
func (r *Recorder) Audit(beliefs []CallerResult) Audit {
	a := Audit{Requests: len(beliefs), Violations: []string{}}
	for _, b := range beliefs {
		a.add(b, r.Starts(b.ID), b.NonIdempotent || r.lookups)
	}
	sort.Strings(a.Violations)
	return a
}

func (a *Audit) add(b CallerResult, starts int, recorded bool) {
	broken := false
	switch b.Outcome {
	case OutcomeNone:
		a.Lost++
		broken = true
	case OutcomeAnswered:
		a.Answered++
		if recorded && starts == 0 {
			a.Lost++
			broken = true
		}
	case OutcomeNotRun:
		a.NotRun++
		if recorded && starts > 0 {
			a.FalseNotRun++
			broken = true
		}
	case OutcomeUnknown:
		a.Unknown++
	}
	if b.NonIdempotent && starts > 1 {
		a.Duplicated++
		broken = true
	}
	if broken {
		a.Violations = append(a.Violations, b.ID)
	}
}
