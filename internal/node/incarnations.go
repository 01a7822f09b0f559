package node

import (
	"context"
	"errors"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// RunIncarnations runs one life of an instance after another: the next begins when the fleet
// took the last for dead. It returns what ended the last one, nil after a planned stop.
// started is told of each life before it runs.
func RunIncarnations(ctx context.Context, o Options, started func(*Node)) error {
	var last uint64
	for {
		last = nextIncarnation(last, time.Now())
		o.Incarnation = fleet.Incarnation(last)
		err := runLife(ctx, o, started)
		if !errors.Is(err, ErrRejoin) {
			return err
		}
		o.Log.Warn("instance starts again as another life", "error", err.Error())
	}
}

// runLife runs one life. Its calls of the platform end with it, and not with ctx, since a
// planned stop needs them.
func runLife(ctx context.Context, o Options, started func(*Node)) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	n, err := New(life, o)
	if err != nil {
		return err
	}
	started(n)
	return n.Run(ctx)
}

// nextIncarnation returns a number above last, from the wall clock where it is ahead.
func nextIncarnation(last uint64, now time.Time) uint64 {
	return max(last+1, uint64(max(now.UnixMilli(), 0)))
}
