package upstream

import (
	"net/http"
	"strconv"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// LoadReport is the body of an answer at PathLoad.
type LoadReport struct {
	Load     float64             `json:"load"` // Share of the slots in use, 0 to 1.
	InFlight int                 `json:"in_flight"`
	Slots    int                 `json:"slots"`
	State    fleet.UpstreamState `json:"state"`
}

// loadHistory keeps past numbers of slots in use, for reports that lag. It is not safe for concurrent
// use.
type loadHistory struct {
	samples []loadSample // Oldest first; never empty.
}

type loadSample struct {
	at       time.Time
	inFlight int
}

func newLoadHistory(now time.Time) *loadHistory {
	return &loadHistory{samples: []loadSample{{at: now}}}
}

func (h *loadHistory) add(now time.Time, inFlight int, keep time.Duration) {
	h.trim(now.Add(-keep))
	h.samples = append(h.samples, loadSample{at: now, inFlight: inFlight})
}

func (h *loadHistory) at(t time.Time) int {
	h.trim(t)
	return h.samples[0].inFlight
}

// trim removes the samples that a newer one had replaced at t.
func (h *loadHistory) trim(t time.Time) {
	n := 0
	for n+1 < len(h.samples) && !h.samples[n+1].at.After(t) {
		n++
	}
	h.samples = h.samples[n:]
}

// probe answers PathHealth and PathLoad with the state of Spec.Lag ago, or with what the faults report.
func (e *Endpoint) probe(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.stats.Probes++
	faults := e.faults
	e.mu.Unlock()
	if e.spec.ProbeTime > 0 {
		sleep(r.Context(), e.spec.ProbeTime)
	}
	if r.URL.Path == PathHealth {
		e.answerHealth(w, faults)
		return
	}
	e.answerLoad(w, faults)
}

func (e *Endpoint) answerHealth(w http.ResponseWriter, f Faults) {
	e.mu.Lock()
	drained := !e.drainingSince.IsZero() && time.Since(e.drainingSince) >= e.spec.Lag
	e.mu.Unlock()
	down := f.Health == HealthDown || (f.Health == HealthTrue && drained)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Endpoint) answerLoad(w http.ResponseWriter, f Faults) {
	now := time.Now()
	e.mu.Lock()
	report := LoadReport{InFlight: e.load.at(now.Add(-e.spec.Lag)), Slots: e.spec.Slots, State: e.stateLocked(now)}
	e.mu.Unlock()
	report.Load = e.loadShare(report.InFlight, f)
	writeJSON(w, report)
}

func (e *Endpoint) loadShare(inFlight int, f Faults) float64 {
	if f.Load != nil {
		return *f.Load
	}
	return float64(inFlight) / float64(e.spec.Slots)
}

func formatLoad(load float64) string {
	return strconv.FormatFloat(load, 'f', 3, 64)
}
