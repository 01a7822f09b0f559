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

const applyHelp = `apply changes the configuration of the fleet to match your edits of the templates. The change is
accepted as a whole, or not at all. It contains only the templates that you edited since you last
applied them; what was applied is stored in a file beside them (.damaskctl-base.json.gz).

If another operator has changed the same template in the meantime, apply writes nothing and
prints what they changed. Merge that into your templates, check with "damaskctl diff",
and apply with --rebase, which compares with the store instead of what you last applied.

The change's ID makes apply safe to repeat when a reply of the store is lost. If apply ends with exit
code 6, run it again with the --change-id that it printed: the change is not made twice.

With --wait, apply returns when every live instance reports the revision, or lists those that are behind.`

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
	c.Flags().StringVar(&f.changeID, "change-id", "", "ID of the change, to retry an apply whose result is unknown")
	c.Flags().StringVar(&f.author, "author", "", "your name, for other operators to see")
	c.Flags().BoolVar(&f.rebase, "rebase", false, "compare with the store instead of what was last applied from here")
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
	_, _ = fmt.Fprintf(w, "active on all %d live instances\n", live)
	return nil
}

// applySet makes the change and returns the configuration after it.
func applySet(ctx context.Context, w io.Writer, store metastore.Store, f applyFlags, path string, set *template.Set) (*rollout.Config, error) {
	desired := set.Config()
	current, err := operate.Load(ctx, store, set.Fleet)
	if err != nil {
		return nil, err
	}
	base, err := loadBase(path, current, f.rebase)
	if err != nil {
		return nil, err
	}
	change := edit.ChangeBetween(base, desired)
	change.Author = f.author
	writeDifferences(w, "changes", rollout.Diff(base, desired), f.all)
	if change.Empty() {
		_, _ = fmt.Fprintf(w, "nothing to change at revision %d\n", revisionOf(current))
		return current, writeBase(path, desired, current)
	}
	_, _ = fmt.Fprintf(w, "change ID: %s\n", f.changeID)
	recorder := &unknownWriteRecorder{Store: store}
	accepted, err := operate.Apply(ctx, recorder, set.Fleet, base, change, f.changeID)
	if err != nil {
		return nil, recorder.wrapError(err, f.changeID)
	}
	_, _ = fmt.Fprintf(w, "accepted as revision %d\n", accepted.Revision)
	return accepted.Config, writeBase(path, desired, accepted.Config)
}

// writeBase stores the templates as the base of the next apply.
func writeBase(path string, applied, accepted *rollout.Config) error {
	if accepted == nil {
		return nil
	}
	return edit.WriteBase(edit.BaseFile(path), applied, accepted)
}

// errNoBase means that the templates have no base to compute a change from.
var errNoBase = errors.New("the store has a configuration, but no templates were applied from here before")

// loadBase returns the configuration that the operator's edits are based on.
func loadBase(path string, current *rollout.Config, rebase bool) (*rollout.Config, error) {
	if rebase {
		return current, nil
	}
	base, err := edit.ReadBase(edit.BaseFile(path))
	if err != nil {
		return nil, err
	}
	if base == nil && current != nil {
		return nil, &commandError{exit: exitConflict, err: fmt.Errorf("%w: check with \"damaskctl diff %s\" and apply with --rebase", errNoBase, path)}
	}
	return base, nil
}

// unknownWriteRecorder records whether a write had an unknown result, since the error of a later
// failed read does not reveal that.
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

// wrapError returns the error of an apply. After a write with an unknown result, it marks every
// error except a conflict or an invalid change as unknown: only those two show that nothing was changed.
func (s *unknownWriteRecorder) wrapError(err error, changeID string) error {
	if !s.unknownWrite || errors.Is(err, operate.ErrConflict) || errors.Is(err, rollout.ErrInvalid) {
		return err
	}
	return fmt.Errorf("%w: the change may have been accepted; run again with --change-id %s: %w", metastore.ErrUnknownResult, changeID, err)
}
