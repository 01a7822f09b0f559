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

// Range and precision of the histograms.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	digits        = 3
)

// Quantiles are times of answers in milliseconds.
type Quantiles struct {
	Mean float64 `json:"mean_ms"`
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Report is what a run measured.
type Report struct {
	Path         string         `json:"path"` // "fleet" or "direct".
	Rate         float64        `json:"rate"` // Asked for, per second.
	Achieved     float64        `json:"achieved"`
	Seconds      float64        `json:"seconds"`
	Requests     int            `json:"requests"`
	Answered     int            `json:"answered"`
	NotRun       int            `json:"refused_not_run"`
	Unknown      int            `json:"unknown"`
	NotSent      int            `json:"not_sent"` // Too many were under way.
	ServerErrors int            `json:"server_errors"`
	Mixed        int            `json:"mixed_answers"`
	Codes        map[string]int `json:"codes"`
	Corrected    Quantiles      `json:"corrected"`   // From the drawn start.
	Uncorrected  Quantiles      `json:"uncorrected"` // From the real start.
	StartDelay   Quantiles      `json:"start_delay"` // From the drawn to the real start: the generator's own share.
}

// outcome is how one request ended.
type outcome struct {
	due, sent, done time.Time
	code            string
	answered        bool
	notRun          bool
	serverError     bool
	mixed           bool
}

// recorder gathers outcomes. It is safe for concurrent use.
type recorder struct {
	mu        sync.Mutex
	report    Report
	corrected *hdrhistogram.Histogram
	plain     *hdrhistogram.Histogram
	delay     *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &recorder{
		report:    Report{Codes: make(map[string]int)},
		corrected: histogram(),
		plain:     histogram(),
		delay:     histogram(),
	}
}

func (r *recorder) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.NotSent++
}

// add counts an outcome. Times are kept of answers only.
func (r *recorder) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Codes[o.code]++
	record(r.delay, o.sent.Sub(o.due))
	switch {
	case o.answered:
		r.report.Answered++
		record(r.corrected, o.done.Sub(o.due))
		record(r.plain, o.done.Sub(o.sent))
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
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func (r *recorder) finish(path string, rate float64, took time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.report
	out.Path = path
	out.Rate = rate
	out.Seconds = took.Seconds()
	out.Achieved = float64(out.Requests-out.NotSent) / took.Seconds()
	out.Corrected = quantiles(r.corrected)
	out.Uncorrected = quantiles(r.plain)
	out.StartDelay = quantiles(r.delay)
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
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "path\t%s\nrate asked for\t%.1f/s\nrate sent\t%.1f/s over %.1f s\n", r.Path, r.Rate, r.Achieved, r.Seconds)
	_, _ = fmt.Fprintf(t, "requests\t%d\nanswered\t%d\nrefused, not run\t%d\nunknown\t%d\nnot sent\t%d\nserver errors\t%d\nmixed answers\t%d\n",
		r.Requests, r.Answered, r.NotRun, r.Unknown, r.NotSent, r.ServerErrors, r.Mixed)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		_, _ = fmt.Fprintf(t, "code %s\t%d\n", code, r.Codes[code])
	}
	_, _ = fmt.Fprintln(t, "\ntime of answers, ms\tmean\tp50\tp90\tp99\tp99.9\tmax")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"from the drawn start", r.Corrected}, {"from the real start", r.Uncorrected}, {"delay of the start", r.StartDelay}} {
		_, _ = fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", row.name, row.q.Mean, row.q.P50, row.q.P90, row.q.P99, row.q.P999, row.q.Max)
	}
	return t.Flush()
}
