package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Findings []Finding
	Records  Records
	Timeline []string
	Played   []int         // Numbers of the drawn faults that were played.
	Faults   []string      // Names of the drawn faults, by number.
	Lag      time.Duration // Longest delay of a timer of the run itself: a measure of the machine's load.
}

// Held reports whether no promise was broken.
func (r *Report) Held() bool { return len(r.Findings) == 0 }

// Summary is the outcome of a run without its records.
type Summary struct {
	Seed     uint64        `json:"seed"`
	Faults   []string      `json:"faults"` // That were played, as number:name.
	Attempts int           `json:"attempts"`
	Direct   int           `json:"direct"` // Checks of single instances, part of the attempts.
	Served   int           `json:"served"`
	Starved  int           `json:"starved"`   // Times the run's own timers were late.
	LagMS    int64         `json:"lag_ms"`    // Longest of these delays, in milliseconds.
	MemoryMB int64         `json:"memory_mb"` // Most that a process used.
	Broken   []RuleSummary `json:"broken"`
}

// RuleSummary sums up the findings of one rule.
type RuleSummary struct {
	Rule     Rule   `json:"rule"`
	Count    int    `json:"count"`
	Machines int    `json:"machines"`
	BeyondMS int64  `json:"beyond_ms"` // Farthest beyond the rule's bound, in milliseconds.
	First    string `json:"first"`
}

// Summary sums a run up.
func (r *Report) Summary() Summary {
	s := Summary{Seed: r.Seed, Attempts: len(r.Records.Attempts), LagMS: r.Lag.Milliseconds(), Faults: []string{}, Broken: []RuleSummary{}}
	for _, bytes := range r.Records.Memory {
		s.MemoryMB = max(s.MemoryMB, bytes>>20)
	}
	for _, k := range r.Played {
		s.Faults = append(s.Faults, fmt.Sprintf("%d:%s", k, r.Faults[k]))
	}
	for _, a := range r.Records.Attempts {
		if a.Status == http.StatusOK {
			s.Served++
		}
		if a.Direct {
			s.Direct++
		}
	}
	for _, w := range r.Records.Windows {
		if w.Kind == WindowStarved {
			s.Starved++
		}
	}
	machines := map[Rule][]string{}
	for _, f := range r.Findings {
		k := slices.IndexFunc(s.Broken, func(b RuleSummary) bool { return b.Rule == f.Rule })
		if k < 0 {
			k = len(s.Broken)
			s.Broken = append(s.Broken, RuleSummary{Rule: f.Rule, First: f.String()})
		}
		b := &s.Broken[k]
		b.Count++
		b.BeyondMS = max(b.BeyondMS, f.Beyond.Milliseconds())
		if !slices.Contains(machines[f.Rule], f.Machine) {
			machines[f.Rule] = append(machines[f.Rule], f.Machine)
			b.Machines++
		}
	}
	return s
}

// String returns a finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s %s %s beyond %.3f s: %s", f.At.UTC().Format(timeFormat), f.Rule, f.Machine, f.Request, f.Beyond.Seconds(), f.Text)
}

// Verdict is "held", or the rules that were broken, with the number of cases.
func (r *Report) Verdict() string {
	if r.Held() {
		return "held"
	}
	var parts []string
	for _, b := range r.Summary().Broken {
		parts = append(parts, fmt.Sprintf("%s %d at %d machines (up to %.1f s beyond the bound)", b.Rule, b.Count, b.Machines, float64(b.BeyondMS)/1000))
	}
	return strings.Join(parts, "; ")
}

// logLines is how many log lines of the machine concerned a text report shows for the first finding of a rule.
const logLines = 5

// WriteText writes a line about the run and, if a promise was broken, the first case of each rule with
// the last lines that the machine concerned had logged.
func (r *Report) WriteText(w io.Writer) error {
	s := r.Summary()
	_, err := fmt.Fprintf(w, "seed %d: %d attempts (%d direct), %d served, timers late %d times (up to %d ms); faults %s; %s\n",
		s.Seed, s.Attempts, s.Direct, s.Served, s.Starved, s.LagMS, strings.Join(s.Faults, " "), r.Verdict())
	if err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	for _, b := range s.Broken {
		lines := append([]string{"first " + string(b.Rule) + ": " + b.First}, r.logBefore(b.Rule)...)
		if _, err := fmt.Fprintln(w, strings.Join(lines, "\n  ")); err != nil {
			return fmt.Errorf("write the report: %w", err)
		}
	}
	return nil
}

// WriteJSON writes the summary as one line.
func (r *Report) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(r.Summary()); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}

// logBefore returns the last lines that the machine of a rule's first finding had logged by the finding's time.
func (r *Report) logBefore(rule Rule) []string {
	k := slices.IndexFunc(r.Findings, func(f Finding) bool { return f.Rule == rule })
	f := r.Findings[k]
	var lines []string
	for _, line := range r.Records.Logs[f.Machine] {
		var entry struct {
			Time time.Time `json:"time"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Time.After(f.At.Add(f.Took)) {
			break
		}
		lines = append(lines, line)
	}
	return lines[max(0, len(lines)-logLines):]
}

// Save writes the report into a folder: findings.txt, timeline.txt, summary.json and records.json.
func (r *Report) Save(folder string) error {
	var findings strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintln(&findings, f)
	}
	var summary strings.Builder
	if err := r.WriteJSON(&summary); err != nil {
		return err
	}
	records, err := json.Marshal(r.Records)
	if err != nil {
		return fmt.Errorf("encode the records: %w", err)
	}
	for name, data := range map[string][]byte{
		"findings.txt": []byte(findings.String()),
		"timeline.txt": []byte(strings.Join(r.Timeline, "\n") + "\n"),
		"summary.json": []byte(summary.String()),
		"records.json": records,
	} {
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
			return fmt.Errorf("write the report: %w", err)
		}
	}
	return nil
}
