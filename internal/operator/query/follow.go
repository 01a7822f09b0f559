package query

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/operator/api"
)

// Bounds of Follow.
const (
	pollInterval        = 200 * time.Millisecond // Between two rounds.
	maxParallelRequests = 64                     // Instances asked at once.
)

// Values of api.Member.Status that Follow reads.
const (
	statusAlive   = "alive"
	statusSuspect = "suspect"
)

// ErrBehind is what a BehindError wraps.
var ErrBehind = errors.New("instances are behind")

// BehindInstance is a live instance that has not reported the revision.
type BehindInstance struct {
	Instance fleet.InstanceID `json:"instance"`
	Revision fleet.Revision   `json:"revision"` // As last reported; 0 when it never was.
	Cause    string           `json:"cause"`    // Why it could not be asked; empty when it answered.
}

// BehindError says which instances did not report the revision in time.
type BehindError struct {
	Revision fleet.Revision
	Live     int // Live instances known.
	Behind   []BehindInstance
	Cause    error // When no instance told who the others are.
}

// Error names each instance that is behind.
func (e *BehindError) Error() string {
	if e.Live == 0 {
		return fmt.Sprintf("%v: no instance answered: %v", ErrBehind, e.Cause)
	}
	names := make([]string, 0, len(e.Behind))
	for _, lag := range e.Behind {
		name := fmt.Sprintf("%s at revision %d", lag.Instance, lag.Revision)
		if lag.Cause != "" {
			name += " (" + lag.Cause + ")"
		}
		names = append(names, name)
	}
	return fmt.Sprintf("%v revision %d: %d of %d: %s", ErrBehind, e.Revision, len(e.Behind), e.Live, strings.Join(names, ", "))
}

// Unwrap returns ErrBehind.
func (e *BehindError) Unwrap() error { return ErrBehind }

// WaitForRevision waits until every live instance has at least the revision in force, or ctx ends. The
// first clients tell who is live; then each live instance is asked itself. It returns the number
// of live instances, or a *BehindError, or ErrNotAuthorized.
func WaitForRevision(ctx context.Context, first []*Client, revision fleet.Revision) (int, error) {
	f := waiter{first: first, revision: revision, reported: make(map[fleet.Ref]fleet.Revision)}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		// A round that has begun is let finish after ctx has ended: it says who is behind.
		live, err := f.liveInstances(context.WithoutCancel(ctx))
		if errors.Is(err, ErrNotAuthorized) {
			return 0, err
		}
		behind := f.poll(context.WithoutCancel(ctx), live)
		if len(live) > 0 && len(behind) == 0 {
			return len(live), nil
		}
		select {
		case <-ctx.Done():
			return 0, &BehindError{Revision: revision, Live: len(live), Behind: behind, Cause: err}
		case <-ticker.C:
		}
	}
}

// waiter follows one revision.
type waiter struct {
	first    []*Client
	revision fleet.Revision
	reported map[fleet.Ref]fleet.Revision // Highest revision that each instance has reported.
}

// liveInstances returns the live instances that the first clients know of. An instance that all of them
// think dead or leaving does not count.
func (f *waiter) liveInstances(ctx context.Context) ([]fleet.Instance, error) {
	type answer struct {
		status api.Status
		err    error
	}
	answers := iter.Map(f.first, func(c **Client) answer {
		status, err := (*c).Status(ctx)
		return answer{status, err}
	})
	live := make(map[fleet.Ref]fleet.Instance)
	var failed error
	for _, a := range answers {
		if a.err != nil {
			failed = firstError(failed, a.err)
			continue
		}
		f.record(a.status.Self.Ref, a.status.Revision)
		if a.status.Phase != api.PhaseStopping {
			live[a.status.Self.Ref] = a.status.Self
		}
		for _, m := range a.status.Members {
			if m.Status == statusAlive || m.Status == statusSuspect {
				live[m.Instance.Ref] = m.Instance
			}
		}
	}
	out := make([]fleet.Instance, 0, len(live))
	for _, instance := range live {
		out = append(out, instance)
	}
	slices.SortFunc(out, func(a, b fleet.Instance) int { return strings.Compare(string(a.Ref.ID), string(b.Ref.ID)) })
	return out, failed
}

// firstError keeps the first failure, unless a later one says that the token was refused.
func firstError(first, next error) error {
	if first == nil || errors.Is(next, ErrNotAuthorized) {
		return next
	}
	return first
}

func (f *waiter) record(ref fleet.Ref, revision fleet.Revision) {
	f.reported[ref] = max(f.reported[ref], revision)
}

// poll asks each live instance that is behind, and returns those that still are.
func (f *waiter) poll(ctx context.Context, live []fleet.Instance) []BehindInstance {
	var due []fleet.Instance
	for _, instance := range live {
		if f.reported[instance.Ref] < f.revision {
			due = append(due, instance)
		}
	}
	type answer struct {
		inForce api.ActiveConfig
		err     error
	}
	mapper := iter.Mapper[fleet.Instance, answer]{MaxGoroutines: maxParallelRequests}
	answers := mapper.Map(due, func(instance *fleet.Instance) answer {
		inForce, err := f.request(ctx, *instance)
		return answer{inForce, err}
	})
	var behind []BehindInstance
	for i, a := range answers {
		ref := due[i].Ref
		cause := ""
		switch {
		case a.err != nil:
			cause = a.err.Error()
		case a.inForce.Self == ref:
			f.record(ref, a.inForce.Revision)
		default:
			cause = fmt.Sprintf("its address is now %v's", a.inForce.Self)
		}
		if f.reported[ref] < f.revision {
			behind = append(behind, BehindInstance{Instance: ref.ID, Revision: f.reported[ref], Cause: cause})
		}
	}
	return behind
}

// errNoOperatorAddr says that an instance does not tell where it can be asked.
var errNoOperatorAddr = errors.New("its operator address is not known")

func (f *waiter) request(ctx context.Context, instance fleet.Instance) (api.ActiveConfig, error) {
	if instance.OperatorAddr == "" {
		return api.ActiveConfig{}, errNoOperatorAddr
	}
	c, err := New(instance.OperatorAddr, f.first[0].token)
	if err != nil {
		return api.ActiveConfig{}, err
	}
	defer c.http.CloseIdleConnections()
	return c.ActiveConfig(ctx)
}
