package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Report is what the demo counted.
type Report struct {
	Seed            uint64             `json:"seed"`
	Seconds         float64            `json:"seconds"`
	Requests        int                `json:"requests"`
	Answered        int                `json:"answered"`
	RefusedNotRun   int                `json:"refused_not_run"`
	Unknown         int                `json:"unknown"`
	Lost            int                `json:"lost"`
	Doubled         int                `json:"doubled"`
	MixedAnswers    int                `json:"mixed_answers"`
	FalseNotRun     int                `json:"false_not_run"`
	FloorBreaches   int                `json:"floor_breaches"`
	CutOffByStop    int                `json:"cut_off_by_planned_stop"`
	ConfigReverts   int                `json:"config_reverts"`
	WorkToLeaving   int                `json:"work_to_leaving"`    // Received by a leaving endpoint after leavingGrace.
	ConfigInForceMS float64            `json:"config_in_force_ms"` // Longest of the demo's changes.
	DetectionMS     map[string]float64 `json:"detection_ms"`       // By firm, until the endpoint gets under a tenth of an equal share; -1 when it never does.
	FalseEjections  int                `json:"false_ejections"`    // Healthy endpoints that got no work while the others did.
	AddedMSP50      float64            `json:"added_ms_p50"`       // Of a lookup, over a direct call, before the faults.
	AddedMSP99      float64            `json:"added_ms_p99"`       // Of a lookup, over a direct call, before the faults.
	UpstreamStarts  int                `json:"upstream_starts"`
	StoreCalls      uint64             `json:"store_calls"`
	Broken          []string           `json:"broken,omitempty"` // IDs of requests for which a promise was broken.
}

// Promises lists the counts that must be zero.
func (r Report) promises() []count {
	return []count{
		{"lost", r.Lost},
		{"doubled", r.Doubled},
		{"mixed_answers", r.MixedAnswers},
		{"false_not_run", r.FalseNotRun},
		{"floor_breaches", r.FloorBreaches},
		{"cut_off_by_planned_stop", r.CutOffByStop},
		{"config_reverts", r.ConfigReverts},
		{"work_to_leaving", r.WorkToLeaving},
	}
}

// count is one named count.
type count struct {
	name  string
	value int
}

// Kept reports whether every promise was kept.
func (r Report) Kept() bool {
	for _, c := range r.promises() {
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

// WriteText writes the report for people.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%d requests in %.0f s: %d answered, %d refused and not run, %d unknown\n",
		r.Requests, r.Seconds, r.Answered, r.RefusedNotRun, r.Unknown)
	fmt.Fprintln(&b, "\nPromises (each must be 0)")
	for _, c := range r.promises() {
		fmt.Fprintf(&b, "  %-26s %d\n", c.name, c.value)
	}
	fmt.Fprintln(&b, "\nMeasured")
	for _, firm := range firmNames() {
		fmt.Fprintf(&b, "  detection, %-15s %.0f ms\n", firm, r.DetectionMS[firm])
	}
	fmt.Fprintf(&b, "  false ejections            %d\n", r.FalseEjections)
	fmt.Fprintf(&b, "  change in force everywhere %.0f ms\n", r.ConfigInForceMS)
	fmt.Fprintf(&b, "  added to a lookup          p50 %.2f ms, p99 %.2f ms\n", r.AddedMSP50, r.AddedMSP99)
	fmt.Fprintf(&b, "  calls of the platform      %d\n", r.StoreCalls)
	for _, id := range r.Broken {
		fmt.Fprintf(&b, "  broken: %s\n", id)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
