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

// Limits of WaitForRevision.
const (
	pollInterval        = 200 * time.Millisecond // Time between two polls.
	maxParallelRequests = 64                     // Concurrent requests.
)

// Values of api.Member.Status of live instances.
const (
	statusAlive   = "alive"
	statusSuspect = "suspect"
)

// ErrBehind is wrapped by BehindError.
var ErrBehind = errors.New("instances are behind")

// BehindInstance is a live instance on which the revision is not active yet.
type BehindInstance struct {
	Instance fleet.InstanceID `json:"instance"`
	Revision fleet.Revision   `json:"revision"` // Last reported revision; 0 if none.
	Cause    string           `json:"cause"`    // Why the request to it failed; empty if it succeeded.
}

// BehindError lists the instances that did not report the revision in time.
type BehindError struct {
	Revision fleet.Revision
	Live     int // Number of live instances.
	Behind   []BehindInstance
	Cause    error // First error of requesting the live instances; nil if none.
}

// Error lists the instances that are behind.
func (e *BehindError) Error() string {
	if e.Live == 0 {
		return fmt.Sprintf("%v: no instance responded: %v", ErrBehind, e.Cause)
	}
	names := make([]string, 0, len(e.Behind))
	for _, lag := range e.Behind {
		name := fmt.Sprintf("%s at revision %d", lag.Instance, lag.Revision)
		if lag.Cause != "" {
			name += " (" + lag.Cause + ")"
		}
		names = append(names, name)
	}
	return fmt.Sprintf("%v revision %d: %d of %d live instances: %s", ErrBehind, e.Revision, len(e.Behind), e.Live, strings.Join(names, ", "))
}

// Unwrap returns ErrBehind.
func (e *BehindError) Unwrap() error { return ErrBehind }

// WaitForRevision waits until the active revision of every live instance is at least revision, or
// ctx ends. It asks the instances of the clients in first which instances are live, then polls each
// live instance itself. It returns the number of live instances. The error is a *BehindError or ErrNotAuthorized.
func WaitForRevision(ctx context.Context, first []*Client, revision fleet.Revision) (int, error) {
	w := waiter{first: first, revision: revision, reported: make(map[fleet.Ref]fleet.Revision)}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		// A poll that has started continues after ctx ends, because it finds out who is behind.
		live, err := w.liveInstances(context.WithoutCancel(ctx))
		if errors.Is(err, ErrNotAuthorized) {
			return 0, err
		}
		behind := w.poll(context.WithoutCancel(ctx), live)
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

// waiter waits for one revision.
type waiter struct {
	first    []*Client
	revision fleet.Revision
	reported map[fleet.Ref]fleet.Revision // Highest revision reported by each instance.
}

// liveInstances returns the instances that at least one instance of the clients in first reports as
// alive or suspect, and those reporting instances themselves unless they are stopping.
func (w *waiter) liveInstances(ctx context.Context) ([]fleet.Instance, error) {
	type answer struct {
		status api.Status
		err    error
	}
	answers := iter.Map(w.first, func(c **Client) answer {
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
		w.record(a.status.Self.Ref, a.status.Revision)
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

// firstError returns first, unless next is ErrNotAuthorized.
func firstError(first, next error) error {
	if first == nil || errors.Is(next, ErrNotAuthorized) {
		return next
	}
	return first
}

func (w *waiter) record(ref fleet.Ref, revision fleet.Revision) {
	w.reported[ref] = max(w.reported[ref], revision)
}

// poll requests the active revision from each live instance that is behind, and returns those that still are.
func (w *waiter) poll(ctx context.Context, live []fleet.Instance) []BehindInstance {
	var due []fleet.Instance
	for _, instance := range live {
		if w.reported[instance.Ref] < w.revision {
			due = append(due, instance)
		}
	}
	type answer struct {
		active api.ActiveConfig
		err    error
	}
	mapper := iter.Mapper[fleet.Instance, answer]{MaxGoroutines: maxParallelRequests}
	answers := mapper.Map(due, func(instance *fleet.Instance) answer {
		active, err := w.request(ctx, *instance)
		return answer{active, err}
	})
	var behind []BehindInstance
	for i, a := range answers {
		ref := due[i].Ref
		cause := ""
		switch {
		case a.err != nil:
			cause = a.err.Error()
		case a.active.Self == ref:
			w.record(ref, a.active.Revision)
		default:
			cause = fmt.Sprintf("its address now belongs to %v", a.active.Self)
		}
		if w.reported[ref] < w.revision {
			behind = append(behind, BehindInstance{Instance: ref.ID, Revision: w.reported[ref], Cause: cause})
		}
	}
	return behind
}

// errNoOperatorAddr means that an instance does not advertise an operator address.
var errNoOperatorAddr = errors.New("its operator address is unknown")

func (w *waiter) request(ctx context.Context, instance fleet.Instance) (api.ActiveConfig, error) {
	if instance.OperatorAddr == "" {
		return api.ActiveConfig{}, errNoOperatorAddr
	}
	c, err := New(instance.OperatorAddr, w.first[0].token)
	if err != nil {
		return api.ActiveConfig{}, err
	}
	defer c.http.CloseIdleConnections()
	return c.ActiveConfig(ctx)
}
