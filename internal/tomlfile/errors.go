package tomlfile

import (
	"fmt"
	"strings"
)

// FieldError is one thing wrong with a file.
type FieldError struct {
	File    string
	Key     string // Dotted, with indexes, as "tickets.keys[1].secret"; empty for the whole file.
	Value   string // As written; empty when there is none, or when it is secret.
	Problem string // What is wrong, with the bound.
}

// String returns the fault as "file: key = value: problem".
func (f FieldError) String() string {
	text := f.File
	if f.Key != "" {
		text += ": " + f.Key
		if f.Value != "" {
			text += " = " + f.Value
		}
	}
	return text + ": " + f.Problem
}

// ValidationError holds every fault that was found.
type ValidationError struct {
	Fields []FieldError
}

// Error lists the faults, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Fields)+1)
	lines = append(lines, fmt.Sprintf("%d faults", len(e.Fields)))
	for _, f := range e.Fields {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Collector gathers the faults of one file.
type Collector struct {
	File   string
	Fields []FieldError
}

// Add records a fault.
func (c *Collector) Add(key, value, format string, args ...any) {
	c.Fields = append(c.Fields, FieldError{File: c.File, Key: key, Value: value, Problem: fmt.Sprintf(format, args...)})
}

// Err returns an *Error with the faults, or nil without any.
func (c *Collector) Err() error {
	if len(c.Fields) == 0 {
		return nil
	}
	return &ValidationError{Fields: c.Fields}
}
