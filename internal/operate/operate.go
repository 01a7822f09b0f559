// Package operate reads and changes the fleet's configuration in the platform's store, for
// the operators' tool.
//
// A change is accepted when the compare-and-swap of the head succeeds, and at most once: a
// writer that got no reply looks for its change's ID in the head. If another operator has
// changed the same template in the meantime, the writer gets a ConflictError with the differences.
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

// ErrConflict is wrapped by ConflictError.
var ErrConflict = errors.New("configuration changed by another operator")

// ErrNoChange means that a change is empty.
var ErrNoChange = errors.New("change contains no template")

// ConflictError means that another operator changed a template that the change contains too.
// Nothing was written.
type ConflictError struct {
	Base        fleet.Revision       // Revision that the change is based on.
	Current     fleet.Revision       // Revision in the store.
	Differences []rollout.Difference // What others changed in the templates of the change.
}

// Error returns the two revisions, and then each difference on a line of its own.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v: change is based on revision %d, store is at %d", ErrConflict, e.Base, e.Current)
	for _, d := range e.Differences {
		b.WriteString("\n" + d.String())
	}
	return b.String()
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Accepted is the result of a successful Apply.
type Accepted struct {
	Revision        fleet.Revision
	Config          *rollout.Config // After the change.
	AlreadyAccepted bool            // The change was accepted by an earlier call.
}

// minBackoff and maxBackoff bound the delay before a failed attempt is retried.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Load reads the configuration. It returns nil if there is none yet.
func Load(ctx context.Context, store metastore.Store, fleetName string) (*rollout.Config, error) {
	s := session{store: store, keys: storekeys.Keys{Fleet: fleetName}}
	state, err := s.load(ctx)
	return state.config, err
}

// Apply makes a change and retries until ctx ends. changeID identifies the change and must be
// unique to it. base is the configuration that the change is based on; nil means the one
// that the store holds at the first attempt. The error is a rollout.ValidationError, a
// ConflictError, ErrNoChange, rollout.ErrTooLarge, or the last error of the store.
func Apply(ctx context.Context, store metastore.Store, fleetName string, base *rollout.Config, change rollout.Change, changeID string) (Accepted, error) {
	change.ID = changeID
	if change.Empty() {
		return Accepted{}, ErrNoChange
	}
	s := session{store: store, keys: storekeys.Keys{Fleet: fleetName}}
	backoff := minBackoff
	for {
		accepted, current, err := s.attempt(ctx, base, change)
		if err == nil || !isRetryable(err) {
			return accepted, err
		}
		if base == nil {
			base = current
		}
		if !pause(ctx, backoff) {
			return Accepted{}, fmt.Errorf("change %q: %w", changeID, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isRetryable reports whether another attempt may succeed. An attempt starts by reading the head,
// which resolves an unknown result and a failed compare-and-swap.
func isRetryable(err error) bool {
	var invalid *rollout.ValidationError
	var conflict *ConflictError
	switch {
	case errors.As(err, &invalid), errors.As(err, &conflict):
		return false
	case errors.Is(err, rollout.ErrTooLarge), errors.Is(err, metastore.ErrTooLarge):
		return false
	case errors.Is(err, rollout.ErrMalformed), errors.Is(err, rollout.ErrDigestMismatch):
		return false
	default:
		return true
	}
}

// pause waits between d/2 and d. It returns false if ctx ends first.
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

// attempt reads the head, proposes the change and swaps the head, once. It also returns the
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

// checkConflict returns a ConflictError if a template of the change differs between base and current.
func checkConflict(base, current *rollout.Config, change rollout.Change) error {
	if base == nil || current == nil || base.Revision == current.Revision {
		return nil
	}
	changed := make(map[string]bool)
	for _, name := range change.TemplateNames() {
		changed[name] = true
	}
	var theirs []rollout.Difference
	for _, d := range rollout.Diff(base, current) {
		if changed[d.Template] {
			theirs = append(theirs, d)
		}
	}
	if len(theirs) == 0 {
		return nil
	}
	return &ConflictError{Base: base.Revision, Current: current.Revision, Differences: theirs}
}
