package members

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/membership"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

// callTimeout bounds one call of the store.
const callTimeout = 10 * time.Second

// read reads the roster record and hands it to the machine.
func (d *Manager) read() {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	roster, _, err := d.load(ctx)
	d.o.Loop.Post(func(now time.Time) { d.run(now, d.machine.RosterRead(now, roster, err)) })
}

// write swaps the roster record for the next generation and hands the outcome to the machine.
func (d *Manager) write(next membership.Roster) {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	err := d.swap(ctx, next)
	if err != nil {
		d.o.Log.Warn("roster not written", "generation", next.Generation, "error", err.Error())
	}
	d.o.Loop.Post(func(now time.Time) { d.run(now, d.machine.RosterWritten(now, next, err)) })
}

func (d *Manager) load(ctx context.Context) (membership.Roster, metastore.Version, error) {
	value, err := d.store.Get(ctx, d.o.RosterKey)
	if errors.Is(err, metastore.ErrNotFound) {
		return membership.Roster{}, 0, nil
	}
	if err != nil {
		return membership.Roster{}, 0, fmt.Errorf("read roster %q: %w", d.o.RosterKey, err)
	}
	roster, err := membership.DecodeRoster(value.Data)
	return roster, value.Version, err
}

// swap writes the record if it holds the generation before next, or a lower one that the
// store has lost writes after. It returns membership.ErrConflict or membership.ErrUnknownResult.
func (d *Manager) swap(ctx context.Context, next membership.Roster) error {
	held, version, err := d.load(ctx)
	if err != nil {
		return err
	}
	if held.Generation >= next.Generation {
		return fmt.Errorf("%w: generation %d is stored, wrote %d", membership.ErrConflict, held.Generation, next.Generation)
	}
	data, err := membership.EncodeRoster(next)
	if err != nil {
		return err
	}
	_, err = d.store.CompareAndSwap(ctx, d.o.RosterKey, version, data, 0)
	switch {
	case errors.Is(err, metastore.ErrConflict):
		return fmt.Errorf("%w: generation %d: %w", membership.ErrConflict, next.Generation, err)
	case errors.Is(err, metastore.ErrUnknownResult), errors.Is(err, context.DeadlineExceeded):
		return fmt.Errorf("%w: generation %d: %w", membership.ErrUnknownResult, next.Generation, err)
	case err != nil:
		return fmt.Errorf("write roster of generation %d: %w", next.Generation, err)
	}
	return nil
}
