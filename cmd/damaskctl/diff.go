package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/edit"
	"github.com/damaskcove/damaskcove/internal/operate"
	"github.com/damaskcove/damaskcove/internal/template"
)

func newDiff() *cobra.Command {
	var store storeFlags
	var all bool
	c := &cobra.Command{
		Use:   "diff TEMPLATES",
		Short: "Show what apply would change, and what others have changed",
		Long: `diff compares the templates with the configuration in the store. It shows what you
edited since you last applied them, and what others have changed since. It writes nothing.`,
		Example: "  damaskctl diff examples/qalqan --platform 192.0.2.1:7070",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, err := template.Load(args[0])
			if err != nil {
				return err
			}
			platform, ctx, cancel, err := store.open(c.Context())
			if err != nil {
				return err
			}
			defer cancel()
			current, err := operate.Load(ctx, platform, set.Fleet)
			if err != nil {
				return err
			}
			base, err := edit.ReadBase(edit.BaseFile(args[0]))
			if err != nil {
				return err
			}
			writeDiff(c.OutOrStdout(), base, current, set.Config(), all)
			return nil
		},
	}
	store.add(c)
	c.Flags().BoolVar(&all, "all", false, "show every difference")
	return c
}

func writeDiff(w io.Writer, base, current, desired *rollout.Config, all bool) {
	_, _ = fmt.Fprintf(w, "store: revision %d\n", revisionOf(current))
	if base == nil {
		_, _ = fmt.Fprintln(w, "templates: not applied from here before; comparing with the store")
		writeDifferences(w, "would change", rollout.Diff(current, desired), all)
		return
	}
	writeDifferences(w, "changed here", rollout.Diff(base, desired), all)
	writeDifferences(w, "changed by others", rollout.Diff(base, current), all)
}

// maxDifferences bounds the differences shown per kind without --all.
const maxDifferences = 100

func writeDifferences(w io.Writer, title string, differences []rollout.Difference, all bool) {
	_, _ = fmt.Fprintf(w, "%s: %d\n", title, len(differences))
	for i, d := range differences {
		if i == maxDifferences && !all {
			_, _ = fmt.Fprintf(w, "  and %d more; --all shows them\n", len(differences)-maxDifferences)
			return
		}
		_, _ = fmt.Fprintln(w, "  "+d.String())
	}
}

func revisionOf(c *rollout.Config) fleet.Revision {
	if c == nil {
		return 0
	}
	return c.Revision
}
