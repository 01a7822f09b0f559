package upstream

import "sort"

// Told is what a caller was told of its request.
type Told uint8

// What a caller may have been told.
const (
	ToldNothing  Told = iota // No answer, and no code: a broken promise by itself.
	ToldAnswered             // An upstream's answer.
	ToldNotRun               // It did not run and will not.
	ToldUnknown              // It may have run.
)

// Belief is one request as its caller saw it, after its last attempt.
type Belief struct {
	ID    string
	Order bool // The request is not idempotent.
	Told  Told
}

// Audit is the comparison of what callers were told with what endpoints recorded.
type Audit struct {
	Requests    int      `json:"requests"`
	Answered    int      `json:"answered"`
	NotRun      int      `json:"not_run"`
	Unknown     int      `json:"unknown"`
	Lost        int      `json:"lost"`          // Told nothing, or told answered while nothing ran.
	Doubled     int      `json:"doubled"`       // Orders that started more than once.
	FalseNotRun int      `json:"false_not_run"` // Told not run, and started.
	Broken      []string `json:"broken"`        // IDs of the last three, sorted.
}

// Audit compares beliefs with the records. It must be called when no request is under
// way any more. Lookups are judged by what they were told alone, unless lookups are recorded.
func (r *Recorder) Audit(beliefs []Belief) Audit {
	a := Audit{Requests: len(beliefs), Broken: []string{}}
	for _, b := range beliefs {
		a.add(b, r.Starts(b.ID), b.Order || r.lookups)
	}
	sort.Strings(a.Broken)
	return a
}

func (a *Audit) add(b Belief, starts int, recorded bool) {
	broken := false
	switch b.Told {
	case ToldNothing:
		a.Lost++
		broken = true
	case ToldAnswered:
		a.Answered++
		if recorded && starts == 0 {
			a.Lost++
			broken = true
		}
	case ToldNotRun:
		a.NotRun++
		if recorded && starts > 0 {
			a.FalseNotRun++
			broken = true
		}
	case ToldUnknown:
		a.Unknown++
	}
	if b.Order && starts > 1 {
		a.Doubled++
		broken = true
	}
	if broken {
		a.Broken = append(a.Broken, b.ID)
	}
}
