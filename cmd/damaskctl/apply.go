package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/edit"
	"github.com/damaskcove/damaskcove/internal/metastore"
	"github.com/damaskcove/damaskcove/internal/operate"
	"github.com/damaskcove/damaskcove/internal/operator/query"
	"github.com/damaskcove/damaskcove/internal/template"
)

// applyFlags are the flags of apply.
type applyFlags struct {
	store     storeFlags
	operators operatorFlags
	changeID  string
	author    string
	rebase    bool
	wait      bool
	all       bool
}

const applyHelp = `apply makes what you changed in the templates the configuration of the fleet. The change is accepted
as a whole, or not at all. It touches only the templates that you changed since you last
applied them, which the file beside them (.damaskctl-base.json.gz) keeps.

When another operator has changed the same template in the meantime, nothing is written and
you are told what they changed. Take that into your templates, look at "damaskctl diff",
and apply with --rebase, which compares with the store in place of what you last knew.

A lost reply of the store is settled by the change's ID. If apply ends with exit code 6, run it again
with the --change-id that it printed: the change is not made twice.

With --wait it returns when every live instance reports the revision, or says who is behind.`

func newApply() *cobra.Command {
	var f applyFlags
	c := &cobra.Command{
		Use:   "apply TEMPLATES",
		Short: "Change the fleet's configuration to the templates",
		Long:  applyHelp,
		Example: "  damaskctl apply examples/qalqan --platform 192.0.2.1:7070\n" +
			"  damaskctl apply examples/qalqan --platform 192.0.2.1:7070 --wait --operator 192.0.2.11:8082 --token-file token",
		Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return apply(c.Context(), c.OutOrStdout(), f, args[0])
		},
	}
	f.store.add(c)
	f.operators.add(c)
	c.Flags().StringVar(&f.changeID, "change-id", "", "ID of the change, to repeat an apply whose result is unknown")
	c.Flags().StringVar(&f.author, "author", "", "your name, for other operators to see")
	c.Flags().BoolVar(&f.rebase, "rebase", false, "compare with the store in place of what was last applied from here")
	c.Flags().BoolVar(&f.all, "all", false, "show every difference")
	c.Flags().BoolVar(&f.wait, "wait", false, "wait until every live instance reports the revision")
	return c
}

func apply(ctx context.Context, w io.Writer, f applyFlags, path string) error {
	set, err := template.Load(path)
	if err != nil {
		return err
	}
	var clients []*query.Client
	if f.wait {
		if clients, err = f.operators.open(); err != nil {
			return err
		}
	}
	store, ctx, cancel, err := f.store.open(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	if f.changeID == "" {
		f.changeID = rand.Text()
	}
	accepted, err := applySet(ctx, w, store, f, path, set)
	if err != nil || !f.wait {
		return err
	}
	live, err := query.WaitForRevision(ctx, clients, revisionOf(accepted))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "in force on all %d live instances\n", live)
	return nil
}

// applySet makes the change and returns the configuration after it.
func applySet(ctx context.Context, w io.Writer, store metastore.Store, f applyFlags, path string, set *template.Set) (*rollout.Config, error) {
	wanted := set.Config()
	current, err := operate.Load(ctx, store, set.Fleet)
	if err != nil {
		return nil, err
	}
	base, err := loadBase(path, current, f.rebase)
	if err != nil {
		return nil, err
	}
	change := edit.ChangeBetween(base, wanted)
	change.Author = f.author
	writeDifferences(w, "changes", rollout.Diff(base, wanted), f.all)
	if change.Empty() {
		_, _ = fmt.Fprintf(w, "nothing to change at revision %d\n", revisionOf(current))
		return current, writeBase(path, wanted, current)
	}
	_, _ = fmt.Fprintf(w, "change ID: %s\n", f.changeID)
	noted := &unknownWriteRecorder{Store: store}
	accepted, err := operate.Apply(ctx, noted, set.Fleet, base, change, f.changeID)
	if err != nil {
		return nil, noted.wrapError(err, f.changeID)
	}
	_, _ = fmt.Fprintf(w, "accepted as revision %d\n", accepted.Revision)
	return accepted.Config, writeBase(path, wanted, accepted.Config)
}

// writeBase keeps the templates as the base of the next apply.
func writeBase(path string, applied, accepted *rollout.Config) error {
	if accepted == nil {
		return nil
	}
	return edit.WriteBase(edit.BaseFile(path), applied, accepted)
}

// errNoBase says that it is not known what the operator started from.
var errNoBase = errors.New("the store holds a configuration, and nothing was applied from here before")

// loadBase returns the configuration that the operator started from.
func loadBase(path string, current *rollout.Config, rebase bool) (*rollout.Config, error) {
	if rebase {
		return current, nil
	}
	base, err := edit.ReadBase(edit.BaseFile(path))
	if err != nil {
		return nil, err
	}
	if base == nil && current != nil {
		return nil, &commandError{exit: exitConflict, err: fmt.Errorf("%w: look at \"damaskctl diff %s\" and apply with --rebase", errNoBase, path)}
	}
	return base, nil
}

// unknownWriteRecorder notes that the result of a write is unknown: a later read that fails tells nothing of it.
type unknownWriteRecorder struct {
	metastore.Store
	unknownWrite bool
}

func (s *unknownWriteRecorder) CompareAndSwap(ctx context.Context, key string, expected metastore.Version, data []byte, lease metastore.LeaseID) (metastore.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, key, expected, data, lease)
	if errors.Is(err, metastore.ErrUnknownResult) {
		s.unknownWrite = true
	}
	return version, err
}

// wrapError returns the error of an apply; with an unknown write before, only a conflict or a fault says
// that nothing was changed.
func (s *unknownWriteRecorder) wrapError(err error, changeID string) error {
	if !s.unknownWrite || errors.Is(err, operate.ErrConflict) || errors.Is(err, rollout.ErrInvalid) {
		return err
	}
	return fmt.Errorf("%w: the change may have been accepted; run again with --change-id %s: %w", metastore.ErrUnknownResult, changeID, err)
}
