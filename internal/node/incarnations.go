package node

import (
	"context"
	"errors"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// RunIncarnations runs the instance, and runs it again with a new incarnation each time the
// fleet has declared it dead. It returns the error that ended the last incarnation, nil after
// a planned stop. onStart is called with each incarnation before it runs.
func RunIncarnations(ctx context.Context, o Options, onStart func(*Node)) error {
	var last uint64
	for {
		last = nextIncarnation(last, time.Now())
		o.Incarnation = fleet.Incarnation(last)
		err := runIncarnation(ctx, o, onStart)
		if !errors.Is(err, ErrRejoin) {
			return err
		}
		o.Log.Warn("instance was removed from the roster; restarting with a new incarnation", "error", err.Error())
	}
}

// runIncarnation runs one incarnation. Its calls to the platform end with it and not with
// ctx, since a planned stop needs them.
func runIncarnation(ctx context.Context, o Options, onStart func(*Node)) error {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n, err := New(lifetime, o)
	if err != nil {
		return err
	}
	onStart(n)
	return n.Run(ctx)
}

// nextIncarnation returns the wall clock's Unix milliseconds, or last+1 if that is larger.
func nextIncarnation(last uint64, now time.Time) uint64 {
	return max(last+1, uint64(max(now.UnixMilli(), 0)))
}
