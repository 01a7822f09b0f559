package gateway

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damaskcove/damaskcove/coord/result"
)

// Range of the latency histogram, in milliseconds, and its significant digits.
const (
	histogramMin    = 1
	histogramMax    = 60_000
	histogramDigits = 2
)

// metrics counts answers by code, and measures their latency. It is safe for concurrent use.
type metrics struct {
	mu      sync.Mutex
	byCode  map[result.Code]int64
	latency *hdrhistogram.Histogram // Milliseconds.

	credentials atomic.Int64 // Requests that carried a credential.
	withAccount atomic.Int64 // Requests that were sent to an upstream for a client account.

	cutOff atomic.Int64 // Requests without a complete answer at the end of a planned stop.
}

func newMetrics() *metrics {
	return &metrics{byCode: make(map[result.Code]int64), latency: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

func (m *metrics) recordAnswer(code result.Code, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byCode[code]++
	// Longer latencies count as the maximum; those requests also show by their codes.
	_ = m.latency.RecordValue(min(max(took.Milliseconds(), histogramMin), histogramMax))
}

// answers returns the number of answers with a code.
func (m *metrics) answers(code result.Code) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byCode[code]
}

// quantiles are the reported percentiles of the latency.
var quantiles = []float64{50, 90, 99, 99.9}

// text returns the metrics, one "name value" per line, followed by gauges.
func (m *metrics) text(gauges map[string]int64) string {
	var b strings.Builder
	m.mu.Lock()
	for _, e := range result.Table {
		if n := m.byCode[e.Code]; n > 0 {
			fmt.Fprintf(&b, "answers_%s %d\n", strings.ReplaceAll(e.Name, "-", "_"), n)
		}
	}
	for _, q := range quantiles {
		fmt.Fprintf(&b, "answer_ms_p%g %d\n", q, m.latency.ValueAtQuantile(q))
	}
	m.mu.Unlock()
	for name, v := range gauges {
		fmt.Fprintf(&b, "%s %d\n", name, v)
	}
	return b.String()
}
