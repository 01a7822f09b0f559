package main

import (
	"github.com/spf13/cobra"
)

const rootHelp = `damaskctl checks and changes the configuration of a damaskcove fleet, and inspects the fleet.

Exit codes: 0 done; 1 failed; 2 invalid command line; 3 errors in a file;
4 another operator changed the same template; 5 the store or an instance is unavailable;
6 the result of a write is unknown; 7 instances are behind; 8 not authorized.`

// newRoot returns the root command.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:               "damaskctl",
		Short:             "Operators' tool of the damaskcove proxy fleet",
		Long:              rootHelp,
		Example:           "  damaskctl check examples/qalqan\n  damaskctl apply examples/qalqan --platform 192.0.2.1:7070 --wait --operator 192.0.2.11:8082",
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(newCheck(), newDiff(), newApply(), newStatus(), newExplain(), newLoad(), newDemo(), newSoak(), newStandin())
	return root
}

// exactArgs is cobra.ExactArgs with a usage error.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return usageError(err)
		}
		return nil
	}
}
