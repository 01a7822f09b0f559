package tomlfile

import (
	"fmt"
	"strings"
)

// FieldError is one invalid key of a file, or an error of the whole file.
type FieldError struct {
	File    string
	Key     string // Dotted, with indexes, such as "tickets.keys[1].secret"; empty for the whole file.
	Value   string // As written in the file; empty if there is none or it is secret.
	Problem string // What is wrong, including the bound that is exceeded.
}

// String returns the error as "file: key = value: problem".
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

// ValidationError holds every error that was found.
type ValidationError struct {
	Fields []FieldError
}

// Error returns the number of errors and then each of them on a line of its own.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Fields)+1)
	lines = append(lines, fmt.Sprintf("%d errors", len(e.Fields)))
	for _, f := range e.Fields {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Collector collects the errors of one file.
type Collector struct {
	File   string
	Fields []FieldError
}

// Add records an error. format and args describe the problem.
func (c *Collector) Add(key, value, format string, args ...any) {
	c.Fields = append(c.Fields, FieldError{File: c.File, Key: key, Value: value, Problem: fmt.Sprintf(format, args...)})
}

// Err returns a *ValidationError with the errors, or nil if there are none.
func (c *Collector) Err() error {
	if len(c.Fields) == 0 {
		return nil
	}
	return &ValidationError{Fields: c.Fields}
}
