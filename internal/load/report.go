package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range (in microseconds) and precision of the histograms.
const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 3
)

// Quantiles summarizes durations, in milliseconds.
type Quantiles struct {
	Mean float64 `json:"mean_ms"`
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Report is the result of a run.
type Report struct {
	Path         string         `json:"path"`     // "fleet" or "direct".
	Rate         float64        `json:"rate"`     // Target rate, in requests per second.
	Achieved     float64        `json:"achieved"` // Requests sent per second.
	Seconds      float64        `json:"seconds"`
	Requests     int            `json:"requests"`
	Answered     int            `json:"answered"`
	NotRun       int            `json:"refused_not_run"` // Rejected without being executed.
	Unknown      int            `json:"unknown"`         // May have been executed.
	NotSent      int            `json:"not_sent"`        // Over Options.Outstanding.
	ServerErrors int            `json:"server_errors"`
	Mixed        int            `json:"mixed_answers"` // Answers that belong to another request.
	Codes        map[string]int `json:"codes"`
	Corrected    Quantiles      `json:"corrected"`   // Latency from the scheduled start.
	Uncorrected  Quantiles      `json:"uncorrected"` // Latency from the actual start.
	StartDelay   Quantiles      `json:"start_delay"` // From the scheduled to the actual start: the delay caused by the generator.
}

// outcome is the result of one request.
type outcome struct {
	scheduled, sent, done time.Time // Scheduled start, actual start and end.
	code                  string
	answered              bool
	notRun                bool
	serverError           bool
	mixed                 bool
}

// recorder aggregates outcomes into a report. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex
	report      Report
	corrected   *hdrhistogram.Histogram
	uncorrected *hdrhistogram.Histogram
	startDelay  *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &recorder{
		report:      Report{Codes: make(map[string]int)},
		corrected:   histogram(),
		uncorrected: histogram(),
		startDelay:  histogram(),
	}
}

func (r *recorder) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.NotSent++
}

// add counts an outcome. Only answered requests have their latency recorded.
func (r *recorder) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Codes[o.code]++
	record(r.startDelay, o.sent.Sub(o.scheduled))
	switch {
	case o.answered:
		r.report.Answered++
		record(r.corrected, o.done.Sub(o.scheduled))
		record(r.uncorrected, o.done.Sub(o.sent))
	case o.notRun:
		r.report.NotRun++
	default:
		r.report.Unknown++
	}
	if o.serverError {
		r.report.ServerErrors++
	}
	if o.mixed {
		r.report.Mixed++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (r *recorder) finish(path string, rate float64, duration time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.report
	out.Path = path
	out.Rate = rate
	out.Seconds = duration.Seconds()
	out.Achieved = float64(out.Requests-out.NotSent) / duration.Seconds()
	out.Corrected = quantiles(r.corrected)
	out.Uncorrected = quantiles(r.uncorrected)
	out.StartDelay = quantiles(r.startDelay)
	return out
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 { return float64(h.ValueAtPercentile(percent)) / 1000 }
	return Quantiles{
		Mean: h.Mean() / 1000,
		P50:  at(50),
		P90:  at(90),
		P99:  at(99),
		P999: at(99.9),
		Max:  float64(h.Max()) / 1000,
	}
}

// WriteTable writes the report as a table.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "path\t%s\ntarget rate\t%.1f/s\nsent\t%.1f/s over %.1f s\n", r.Path, r.Rate, r.Achieved, r.Seconds)
	_, _ = fmt.Fprintf(table, "requests\t%d\nanswered\t%d\nrejected, not run\t%d\nunknown\t%d\nnot sent\t%d\nserver errors\t%d\nmixed answers\t%d\n",
		r.Requests, r.Answered, r.NotRun, r.Unknown, r.NotSent, r.ServerErrors, r.Mixed)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		_, _ = fmt.Fprintf(table, "code %s\t%d\n", code, r.Codes[code])
	}
	_, _ = fmt.Fprintln(table, "\nlatency, ms\tmean\tp50\tp90\tp99\tp99.9\tmax")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"from the scheduled start", r.Corrected}, {"from the actual start", r.Uncorrected}, {"start delay", r.StartDelay}} {
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", row.name, row.q.Mean, row.q.P50, row.q.P90, row.q.P99, row.q.P999, row.q.Max)
	}
	return table.Flush()
}
