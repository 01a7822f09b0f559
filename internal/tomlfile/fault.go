package tomlfile

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File    string
	Key     string // Dotted, with indexes, as "tickets.keys[1].secret"; empty for the whole file.
	Value   string // As written; empty when there is none, or when it is secret.
	Problem string // What is wrong, with the bound.
}

// String returns the fault as "file: key = value: problem".
func (f Fault) String() string {
	text := f.File
	if f.Key != "" {
		text += ": " + f.Key
		if f.Value != "" {
			text += " = " + f.Value
		}
	}
	return text + ": " + f.Problem
}

// Error holds every fault that was found.
type Error struct {
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%d faults", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Collector gathers the faults of one file.
type Collector struct {
	File   string
	Faults []Fault
}

// Add records a fault.
func (c *Collector) Add(key, value, format string, args ...any) {
	c.Faults = append(c.Faults, Fault{File: c.File, Key: key, Value: value, Problem: fmt.Sprintf(format, args...)})
}

// Err returns an *Error with the faults, or nil without any.
func (c *Collector) Err() error {
	if len(c.Faults) == 0 {
		return nil
	}
	return &Error{Faults: c.Faults}
}
