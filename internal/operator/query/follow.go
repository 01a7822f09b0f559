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

// pollInterval is the time between two rounds of Follow.
const pollInterval = 100 * time.Millisecond

// statusAlive is api.Member.Status of an instance that is to follow.
const statusAlive = "alive"

// ErrBehind is what a BehindError wraps.
var ErrBehind = errors.New("instances are behind")

// Lag is a live instance that does not report the revision.
type Lag struct {
	Instance fleet.InstanceID `json:"instance"`
	Revision fleet.Revision   `json:"revision"` // As last reported; 0 when unknown.
}

// BehindError says which instances did not report the revision in time.
type BehindError struct {
	Revision fleet.Revision
	Live     int // Live instances known.
	Behind   []Lag
	Cause    error // Of the last round in which no instance answered.
}

// Error names each instance that is behind.
func (e *BehindError) Error() string {
	if e.Live == 0 {
		return fmt.Sprintf("%v: no instance answered: %v", ErrBehind, e.Cause)
	}
	names := make([]string, 0, len(e.Behind))
	for _, lag := range e.Behind {
		names = append(names, fmt.Sprintf("%s at revision %d", lag.Instance, lag.Revision))
	}
	return fmt.Sprintf("%v revision %d: %d of %d: %s", ErrBehind, e.Revision, len(e.Behind), e.Live, strings.Join(names, ", "))
}

// Unwrap returns ErrBehind.
func (e *BehindError) Unwrap() error { return ErrBehind }

// Follow asks the instances until every live one reports at least the revision, or ctx ends. It
// returns the number of live instances, or a *BehindError, or ErrNotAuthorized. An instance that
// none of the clients asks counts by the revision that the others last heard of it.
func Follow(ctx context.Context, clients []*Client, revision fleet.Revision) (int, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		view := ask(ctx, clients)
		if errors.Is(view.err, ErrNotAuthorized) {
			return 0, view.err
		}
		behind := view.behind(revision)
		if len(view.revisions) > 0 && len(behind) == 0 {
			return len(view.revisions), nil
		}
		select {
		case <-ctx.Done():
			return 0, &BehindError{Revision: revision, Live: len(view.revisions), Behind: behind, Cause: view.err}
		case <-ticker.C:
		}
	}
}

// view is what one round of questions told.
type view struct {
	revisions map[fleet.InstanceID]fleet.Revision // Of live instances.
	err       error                               // The first failure.
}

type answer struct {
	status api.Status
	err    error
}

func ask(ctx context.Context, clients []*Client) view {
	answers := iter.Map(clients, func(c **Client) answer {
		// The last round is let finish after ctx has ended: it says who is behind.
		status, err := (*c).Status(context.WithoutCancel(ctx))
		return answer{status: status, err: err}
	})
	v := view{revisions: make(map[fleet.InstanceID]fleet.Revision)}
	for _, a := range answers {
		if a.err != nil {
			v.err = cmpErr(v.err, a.err)
			continue
		}
		v.add(a.status)
	}
	return v
}

// cmpErr keeps the first failure, unless a later one says that the token was refused.
func cmpErr(first, next error) error {
	if first == nil || errors.Is(next, ErrNotAuthorized) {
		return next
	}
	return first
}

func (v view) add(s api.Status) {
	if s.Phase != api.PhaseStopping {
		v.raise(s.Self.Ref.ID, s.Revision)
	}
	for _, member := range s.Members {
		if member.Status == statusAlive {
			v.raise(member.Instance.Ref.ID, member.Revision)
		}
	}
}

func (v view) raise(id fleet.InstanceID, revision fleet.Revision) {
	v.revisions[id] = max(v.revisions[id], revision)
}

func (v view) behind(revision fleet.Revision) []Lag {
	var out []Lag
	for id, has := range v.revisions {
		if has < revision {
			out = append(out, Lag{Instance: id, Revision: has})
		}
	}
	slices.SortFunc(out, func(a, b Lag) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return out
}
