// Package operate changes and reads the fleet's configuration in the platform's store, for
// the operators' tool.
//
// A change is accepted when the compare-and-swap of the head succeeds, and never twice: a
// writer that lost the reply looks for its change's ID in the head. When another operator
// has changed the same template in the meantime, the writer is told what that was.
package operate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/storekeys"
)

// ErrConflict is what a ConflictError wraps.
var ErrConflict = errors.New("configuration changed by another operator")

// ErrNoChange says that a change touches no template.
var ErrNoChange = errors.New("change touches no template")

// ConflictError says that another operator changed a template that the change touches too.
// Nothing was written.
type ConflictError struct {
	Base        fleet.Revision       // Revision that the change was made from.
	Current     fleet.Revision       // Revision in the store.
	Differences []rollout.Difference // What others changed in templates that the change touches.
}

// Error names the revisions and lists the differences, one a line.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v: from revision %d, now %d", ErrConflict, e.Base, e.Current)
	for _, d := range e.Differences {
		b.WriteString("\n" + d.String())
	}
	return b.String()
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Accepted says how a change was accepted.
type Accepted struct {
	Revision        fleet.Revision
	Config          *rollout.Config // After the change.
	AlreadyAccepted bool            // It had been accepted by an earlier call.
}

// minBackoff and maxBackoff bound the time before a failed call of the store is repeated.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Load reads the configuration. It is nil when there is none yet.
func Load(ctx context.Context, store metastore.Store, fleetName string) (*rollout.Config, error) {
	s := session{store: store, keys: storekeys.Keys{Fleet: fleetName}}
	state, err := s.load(ctx)
	return state.config, err
}

// Apply makes a change under changeID, which must be unique to it, and repeats calls that
// fail until ctx ends. base is the configuration that the operator made the change from;
// nil stands for the one that the store holds now. It returns a rollout.ValidationError, a
// ConflictError, ErrNoChange, rollout.ErrTooLarge or what the store said last.
func Apply(ctx context.Context, store metastore.Store, fleetName string, base *rollout.Config, change rollout.Change, changeID string) (Accepted, error) {
	change.ID = changeID
	if change.Empty() {
		return Accepted{}, ErrNoChange
	}
	s := session{store: store, keys: storekeys.Keys{Fleet: fleetName}}
	backoff := minBackoff
	for {
		accepted, seen, err := s.attempt(ctx, base, change)
		if err == nil || !isRetryable(err) {
			return accepted, err
		}
		if base == nil {
			base = seen
		}
		if !pause(ctx, backoff) {
			return Accepted{}, fmt.Errorf("change %q: %w", changeID, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isRetryable reports whether a call may succeed when it is repeated. A lost reply and a
// conflict are settled by reading the head again.
func isRetryable(err error) bool {
	var faults *rollout.ValidationError
	var conflict *ConflictError
	switch {
	case errors.As(err, &faults), errors.As(err, &conflict):
		return false
	case errors.Is(err, rollout.ErrTooLarge), errors.Is(err, metastore.ErrTooLarge):
		return false
	case errors.Is(err, rollout.ErrMalformed), errors.Is(err, rollout.ErrDigestMismatch):
		return false
	default:
		return true
	}
}

// pause waits about d and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt reads the head, proposes the change and swaps the head, once. It returns the
// configuration that it read.
func (s session) attempt(ctx context.Context, base *rollout.Config, change rollout.Change) (Accepted, *rollout.Config, error) {
	state, err := s.load(ctx)
	if err != nil {
		return Accepted{}, nil, err
	}
	if r, ok := state.head.RevisionOf(change.ID); ok {
		return Accepted{Revision: r, Config: state.config, AlreadyAccepted: true}, state.config, nil
	}
	if err := checkConflict(base, state.config, change); err != nil {
		return Accepted{}, state.config, err
	}
	next, shards, err := rollout.Propose(state.head, state.config, change)
	if err != nil {
		return Accepted{}, state.config, err
	}
	if err := s.commit(ctx, state, next, shards); err != nil {
		return Accepted{}, state.config, err
	}
	s.retire(ctx, rollout.RetiredShards(state.head, next))
	return Accepted{Revision: next.Revision, Config: state.config.With(change, next.Revision)}, state.config, nil
}

// checkConflict returns a ConflictError when a template that the change touches differs between
// base and current.
func checkConflict(base, current *rollout.Config, change rollout.Change) error {
	if base == nil || current == nil || base.Revision == current.Revision {
		return nil
	}
	touched := make(map[string]bool)
	for _, name := range change.TemplateNames() {
		touched[name] = true
	}
	var theirs []rollout.Difference
	for _, d := range rollout.Diff(base, current) {
		if touched[d.Template] {
			theirs = append(theirs, d)
		}
	}
	if len(theirs) == 0 {
		return nil
	}
	return &ConflictError{Base: base.Revision, Current: current.Revision, Differences: theirs}
}
