package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/operate"
	"github.com/damaskcove/damaskcove/internal/operator/query"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// Exit codes.
const (
	exitDone          = 0
	exitFailed        = 1
	exitUsage         = 2
	exitInvalidFile   = 3
	exitConflict      = 4
	exitUnavailable   = 5
	exitUnknown       = 6
	exitBehind        = 7
	exitNotAuthorized = 8
)

// commandError is an error with its exit code and result code.
type commandError struct {
	exit int
	code result.Code // 0 if there is none.
	err  error
}

func (e *commandError) Error() string { return e.err.Error() }
func (e *commandError) Unwrap() error { return e.err }

func usageError(err error) error {
	return &commandError{exit: exitUsage, err: err}
}

// settingsError marks an error of a settings file.
func settingsError(err error) error {
	return &commandError{exit: exitInvalidFile, code: result.CodeSettingsFault, err: err}
}

// reportError writes an error, with its result code if any, and returns the exit code.
func reportError(w io.Writer, err error) int {
	if err == nil {
		return exitDone
	}
	classified := classify(err)
	if entry, ok := result.Lookup(classified.code); ok {
		_, _ = fmt.Fprintf(w, "damaskctl: %d %s: %s\n%v\n", entry.Code, entry.Name, entry.Text, err)
		return classified.exit
	}
	_, _ = fmt.Fprintf(w, "damaskctl: %v\n", err)
	if classified.exit == exitUsage {
		_, _ = fmt.Fprintln(w, "Run \"damaskctl help\" for usage.")
	}
	return classified.exit
}

// classify returns an error with its exit code and result code.
func classify(err error) *commandError {
	var classified *commandError
	if errors.As(err, &classified) {
		return classified
	}
	var invalid *tomlfile.ValidationError
	switch {
	case errors.As(err, &invalid), errors.Is(err, rollout.ErrInvalid):
		return &commandError{exit: exitInvalidFile, code: result.CodeConfigFault, err: err}
	case errors.Is(err, operate.ErrConflict):
		return &commandError{exit: exitConflict, code: result.CodeConfigConflict, err: err}
	case errors.Is(err, rollout.ErrTooLarge), errors.Is(err, metastore.ErrTooLarge):
		return &commandError{exit: exitInvalidFile, code: result.CodeConfigTooLarge, err: err}
	case errors.Is(err, metastore.ErrUnknownResult):
		return &commandError{exit: exitUnknown, code: result.CodeStoreUnknownResult, err: err}
	case errors.Is(err, query.ErrNotAuthorized):
		return &commandError{exit: exitNotAuthorized, code: result.CodeNotAuthorized, err: err}
	case errors.Is(err, query.ErrBehind):
		return &commandError{exit: exitBehind, err: err}
	case errors.Is(err, query.ErrUnreachable):
		return &commandError{exit: exitUnavailable, err: err}
	case errors.Is(err, metastore.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return &commandError{exit: exitUnavailable, code: result.CodeStoreUnavailable, err: err}
	case strings.HasPrefix(err.Error(), "unknown command"):
		return &commandError{exit: exitUsage, err: err}
	default:
		return &commandError{exit: exitFailed, err: err}
	}
}
