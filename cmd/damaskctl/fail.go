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
	exitFaults        = 3
	exitConflict      = 4
	exitUnavailable   = 5
	exitUnknown       = 6
	exitBehind        = 7
	exitNotAuthorized = 8
)

// failure is an error with the exit code and the result code that go with it.
type failure struct {
	exit int
	code result.Code // 0 when there is none.
	err  error
}

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

func usageError(err error) error {
	return &failure{exit: exitUsage, err: err}
}

// settingsError marks faults of a settings file.
func settingsError(err error) error {
	return &failure{exit: exitFaults, code: result.CodeSettingsFault, err: err}
}

// report writes what went wrong and returns the exit code.
func report(w io.Writer, err error) int {
	if err == nil {
		return exitDone
	}
	f := classify(err)
	if entry, ok := result.Lookup(f.code); ok {
		_, _ = fmt.Fprintf(w, "damaskctl: %d %s: %s\n%v\n", entry.Code, entry.Name, entry.Text, err)
		return f.exit
	}
	_, _ = fmt.Fprintf(w, "damaskctl: %v\n", err)
	if f.exit == exitUsage {
		_, _ = fmt.Fprintln(w, "See damaskctl help.")
	}
	return f.exit
}

// classify finds the codes of an error.
func classify(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var faults *tomlfile.ValidationError
	switch {
	case errors.As(err, &faults), errors.Is(err, rollout.ErrInvalid):
		return &failure{exit: exitFaults, code: result.CodeConfigFault, err: err}
	case errors.Is(err, operate.ErrConflict):
		return &failure{exit: exitConflict, code: result.CodeConfigConflict, err: err}
	case errors.Is(err, rollout.ErrTooLarge), errors.Is(err, metastore.ErrTooLarge):
		return &failure{exit: exitFaults, code: result.CodeConfigTooLarge, err: err}
	case errors.Is(err, metastore.ErrUnknownResult):
		return &failure{exit: exitUnknown, code: result.CodeStoreUnknownResult, err: err}
	case errors.Is(err, query.ErrNotAuthorized):
		return &failure{exit: exitNotAuthorized, code: result.CodeNotAuthorized, err: err}
	case errors.Is(err, query.ErrBehind):
		return &failure{exit: exitBehind, err: err}
	case errors.Is(err, query.ErrUnreachable):
		return &failure{exit: exitUnavailable, err: err}
	case errors.Is(err, metastore.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return &failure{exit: exitUnavailable, code: result.CodeStoreUnavailable, err: err}
	case strings.HasPrefix(err.Error(), "unknown command"):
		return &failure{exit: exitUsage, err: err}
	default:
		return &failure{exit: exitFailed, err: err}
	}
}
