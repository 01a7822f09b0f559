package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Report holds the counts and times of a demo.
type Report struct {
	Seed            uint64             `json:"seed"`
	Seconds         float64            `json:"seconds"`
	Requests        int                `json:"requests"`
	Answered        int                `json:"answered"`
	RefusedNotRun   int                `json:"refused_not_run"`
	Unknown         int                `json:"unknown"`
	Lost            int                `json:"lost"`
	Duplicated      int                `json:"doubled"`
	MixedAnswers    int                `json:"mixed_answers"` // Answers that belong to another request.
	FalseNotRun     int                `json:"false_not_run"`
	FloorViolations int                `json:"floor_breaches"`
	CutOffByStop    int                `json:"cut_off_by_planned_stop"`
	ConfigReverts   int                `json:"config_reverts"`
	WorkToDraining  int                `json:"work_to_leaving"`    // Requests that a draining endpoint received after drainGrace.
	ConfigActiveMS  float64            `json:"config_in_force_ms"` // Longest time from the acceptance of a change until it was active on every instance.
	DetectionMS     map[string]float64 `json:"detection_ms"`       // By firm, until the gray endpoint gets less than a tenth of an equal share; -1 if it never does.
	FalseEjections  int                `json:"false_ejections"`    // Healthy endpoints that got no requests while others did.
	AddedMSP50      float64            `json:"added_ms_p50"`       // Latency of a lookup over a direct call, before the faults.
	AddedMSP99      float64            `json:"added_ms_p99"`       // Latency of a lookup over a direct call, before the faults.
	UpstreamStarts  int                `json:"upstream_starts"`
	StoreCalls      uint64             `json:"store_calls"`
	Violations      []string           `json:"broken,omitempty"` // IDs of requests for which a guarantee was violated.
}

// guarantees returns the counts that must be zero.
func (r Report) guarantees() []count {
	return []count{
		{"lost", r.Lost},
		{"doubled", r.Duplicated},
		{"mixed_answers", r.MixedAnswers},
		{"false_not_run", r.FalseNotRun},
		{"floor_breaches", r.FloorViolations},
		{"cut_off_by_planned_stop", r.CutOffByStop},
		{"config_reverts", r.ConfigReverts},
		{"work_to_leaving", r.WorkToDraining},
	}
}

// count is one named count.
type count struct {
	name  string
	value int
}

// Passed reports whether no guarantee was violated.
func (r Report) Passed() bool {
	for _, c := range r.guarantees() {
		if c.value != 0 {
			return false
		}
	}
	return true
}

// WriteJSON writes the report as one line.
func (r Report) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(r)
}

// WriteText writes the report as readable text.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%d requests in %.0f s: %d answered, %d rejected and not run, %d unknown\n",
		r.Requests, r.Seconds, r.Answered, r.RefusedNotRun, r.Unknown)
	fmt.Fprintln(&b, "\nViolations of guarantees (each must be 0)")
	for _, c := range r.guarantees() {
		fmt.Fprintf(&b, "  %-26s %d\n", c.name, c.value)
	}
	fmt.Fprintln(&b, "\nMeasured")
	for _, firm := range firmNames() {
		fmt.Fprintf(&b, "  detection, %-15s %.0f ms\n", firm, r.DetectionMS[firm])
	}
	fmt.Fprintf(&b, "  false ejections            %d\n", r.FalseEjections)
	fmt.Fprintf(&b, "  change active everywhere   %.0f ms\n", r.ConfigActiveMS)
	fmt.Fprintf(&b, "  added to a lookup          p50 %.2f ms, p99 %.2f ms\n", r.AddedMSP50, r.AddedMSP99)
	fmt.Fprintf(&b, "  platform calls             %d\n", r.StoreCalls)
	for _, id := range r.Violations {
		fmt.Fprintf(&b, "  violated by request: %s\n", id)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
