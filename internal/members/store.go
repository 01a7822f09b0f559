package members

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/damaskcove/damaskcove/coord/membership"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

// callTimeout bounds one read, or one read and write, of the roster record.
const callTimeout = 10 * time.Second

// read reads the roster record and posts the result to the control goroutine.
func (m *Manager) read() {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	roster, _, err := m.load(ctx)
	m.options.Loop.Post(func(now time.Time) { m.run(now, m.machine.RosterRead(now, roster, err)) })
}

// write replaces the roster record by the next generation and posts the result to the control goroutine.
func (m *Manager) write(next membership.Roster) {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	err := m.swap(ctx, next)
	if err != nil {
		m.options.Log.Warn("roster not written", "generation", next.Generation, "error", err.Error())
	}
	m.options.Loop.Post(func(now time.Time) { m.run(now, m.machine.RosterWritten(now, next, err)) })
}

func (m *Manager) load(ctx context.Context) (membership.Roster, metastore.Version, error) {
	value, err := m.store.Get(ctx, m.options.RosterKey)
	if errors.Is(err, metastore.ErrNotFound) {
		return membership.Roster{}, 0, nil
	}
	if err != nil {
		return membership.Roster{}, 0, fmt.Errorf("read roster %q: %w", m.options.RosterKey, err)
	}
	roster, err := membership.DecodeRoster(value.Data)
	return roster, value.Version, err
}

// swap writes next if the record has a lower generation: the one before next, or an earlier one
// if the store lost writes. It returns membership.ErrConflict or membership.ErrUnknownResult.
func (m *Manager) swap(ctx context.Context, next membership.Roster) error {
	stored, version, err := m.load(ctx)
	if err != nil {
		return err
	}
	if stored.Generation >= next.Generation {
		return fmt.Errorf("%w: stored generation is %d, cannot write %d", membership.ErrConflict, stored.Generation, next.Generation)
	}
	data, err := membership.EncodeRoster(next)
	if err != nil {
		return err
	}
	_, err = m.store.CompareAndSwap(ctx, m.options.RosterKey, version, data, 0)
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
