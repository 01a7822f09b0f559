package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/internal/demo"
)

// errGuaranteeViolated means that the demo counted a violation of a guarantee.
var errGuaranteeViolated = errors.New("a guarantee was violated")

// defaultDemoDuration is the length of the demo without --duration.
const defaultDemoDuration = 20 * time.Second

func newDemo() *cobra.Command {
	var (
		duration time.Duration
		seed     uint64
		report   string
		verbose  bool
	)
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run two firms' fleets on loopback, inject failures and check every guarantee",
		Long: "demo runs the platform's stand-in, the upstreams and the entry instances of two firms in one\n" +
			"process, on loopback addresses only, with callers of both. It degrades an upstream, cuts one\n" +
			"direction of a link, makes the store unavailable, changes a template, stops one instance as planned\n" +
			"and kills another. It exits with a status other than 0 if a guarantee was violated.",
		Example: "  damaskctl demo\n  damaskctl demo --duration 20s --seed 1 --report json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o := demo.Options{Duration: duration, Seed: seed, Progress: c.ErrOrStderr()}
			if verbose {
				o.Log = slog.New(slog.NewJSONHandler(os.Stderr, nil))
			}
			r, err := demo.Run(c.Context(), o)
			if err != nil {
				return err
			}
			if err := r.WriteText(c.ErrOrStderr()); err != nil {
				return err
			}
			if report == "json" {
				if err := r.WriteJSON(c.OutOrStdout()); err != nil {
					return err
				}
			}
			if !r.Passed() {
				return fmt.Errorf("%w: see the counts above", errGuaranteeViolated)
			}
			return nil
		},
	}
	c.Flags().DurationVar(&duration, "duration", defaultDemoDuration, "length of the traffic")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random choices")
	c.Flags().StringVar(&report, "report", "text", `"text", or "json" for one JSON object as the last line of stdout`)
	c.Flags().BoolVar(&verbose, "verbose", false, "write the instances' logs to stderr")
	return c
}
