package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/internal/soak"
)

// errPromiseBroken means that a soak run broke a promise.
var errPromiseBroken = errors.New("a promise was broken")

// Flags of the soak command.
type soakFlags struct {
	options soak.Options
	seeds   int
	network uint
	report  string
	shrink  bool
}

func newSoak() *cobra.Command {
	f := soakFlags{options: soak.DefaultOptions()}
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run real damaskgate processes on loopback under faults drawn from a seed, and judge every promise",
		Long: "soak starts damaskgate processes, the stand-ins of the store, the upstreams and the operator, and callers, on\n" +
			"loopback addresses only. It plays faults that are drawn from a seed, in series and overlapping, and judges what\n" +
			"the callers and the upstreams saw. Each run keeps its settings, logs and report in a folder of its own.\n" +
			"It exits with 1 if a promise was broken or a run could not be played as intended.",
		Example: "  damaskctl soak --gate bin/damaskgate --folder /tmp/soak\n" +
			"  damaskctl soak --gate bin/damaskgate --folder /tmp/soak --seed 7 --faults roll-term,config-storm --shrink",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	o := &f.options
	c.Flags().StringVar(&o.Gate, "gate", "", "path of the damaskgate program")
	c.Flags().StringVar(&o.Folder, "folder", "", "folder of the runs, each in a subfolder named after its seed")
	c.Flags().Uint64Var(&o.Seed, "seed", o.Seed, "first seed")
	c.Flags().IntVar(&f.seeds, "seeds", 1, "number of seeds, one after the other")
	c.Flags().DurationVar(&o.Duration, "duration", o.Duration, "time of the traffic")
	c.Flags().IntVar(&o.Instances, "processes", o.Instances, "instances at the start")
	c.Flags().StringSliceVar(&o.Faults, "faults", nil, "faults to draw from (all: "+fmt.Sprint(soak.FaultNames())+")")
	c.Flags().IntSliceVar(&o.Only, "only", nil, "numbers of the drawn faults that are played (all)")
	c.Flags().BoolVar(&f.shrink, "shrink", false, "cut the faults of a run that broke a promise down to those that still break one")
	c.Flags().StringVar(&f.report, "report", "text", `"text", or "json" for one JSON object a run on stdout`)
	c.Flags().Float64Var(&o.Rate, "rate", o.Rate, "requests a second")
	c.Flags().Float64Var(&o.Long, "long", o.Long, "share of the requests that take as long as their kind ever does")
	c.Flags().Float64Var(&o.Stale, "stale", o.Stale, "share of the callers that get no addresses after the first")
	c.Flags().DurationVar(&o.Direct, "direct", o.Direct, "interval of the direct checks of each instance")
	c.Flags().Float64Var(&o.Loss, "loss", o.Loss, "share of the datagrams between instances that is always lost")
	c.Flags().IntVar(&o.Accounts, "accounts", 0, "client accounts in the configuration (a few if faults change their keys, else none)")
	c.Flags().DurationVar(&o.RevokeWithin, "revoke-within", 0, "promises.revoke_within of the instances (not set)")
	c.Flags().IntVar(&o.Load, "load", 0, "busy processes beside the instances")
	c.Flags().IntVar(&o.Cores, "cores", 0, "cores for the instances and the busy processes (all)")
	c.Flags().IntVar(&o.MemoryMB, "memory", 0, "memory that an instance may use, in MB (any)")
	c.Flags().IntVar(&o.Descriptors, "descriptors", 0, "descriptors that an instance may open (any number)")
	c.Flags().UintVar(&f.network, "network", uint(o.Network), "second octet of the loopback addresses")
	for _, name := range []string{"gate", "folder"} {
		_ = c.MarkFlagRequired(name)
	}
	c.AddCommand(&cobra.Command{
		Use:     soak.BusyCommand,
		Short:   "Keep one core busy until the process is killed",
		Long:    "busy is what soak starts for --load.",
		Example: "  damaskctl soak busy",
		Args:    cobra.NoArgs,
		Run:     func(*cobra.Command, []string) { soak.Burn() },
	})
	return c
}

func (f *soakFlags) run(c *cobra.Command) error {
	if err := f.check(); err != nil {
		return usageError(err)
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program, which the busy processes run: %w", err)
	}
	var failed error
	for k := range f.seeds {
		o := f.options
		o.Seed += uint64(k)
		o.Folder = filepath.Join(f.options.Folder, fmt.Sprint(o.Seed))
		o.Busy = []string{self, "soak", soak.BusyCommand}
		failed = errors.Join(failed, f.play(c, o))
		if c.Context().Err() != nil {
			return c.Context().Err()
		}
	}
	return failed
}

// check checks and completes the flags.
func (f *soakFlags) check() error {
	switch {
	case f.report != "text" && f.report != "json":
		return fmt.Errorf(`--report is %q; it must be "text" or "json"`, f.report)
	case f.network < soak.MinNetwork || f.network > soak.MaxNetwork:
		return fmt.Errorf("--network is %d; it must be %d to %d", f.network, soak.MinNetwork, soak.MaxNetwork)
	}
	f.options.Network = byte(f.network)
	return f.options.Check()
}

// play plays one seed and reports it.
func (f *soakFlags) play(c *cobra.Command, o soak.Options) error {
	r, err := soak.Play(c.Context(), o)
	if r == nil {
		return fmt.Errorf("seed %d: %w", o.Seed, err)
	}
	if writeErr := r.Save(o.Folder); writeErr != nil {
		return writeErr
	}
	if err != nil {
		return fmt.Errorf("seed %d could not be played as intended: %w", o.Seed, err)
	}
	write := r.WriteText
	if f.report == "json" {
		write = r.WriteJSON
	}
	if err := write(c.OutOrStdout()); err != nil {
		return err
	}
	if r.Held() {
		return nil
	}
	if f.shrink {
		if err := f.shrinkFaults(c, o, r); err != nil {
			return err
		}
	}
	return fmt.Errorf("seed %d: %w: see %s", o.Seed, errPromiseBroken, o.Folder)
}

// shrinkFaults reports the fewest faults of a run that still break a promise.
func (f *soakFlags) shrinkFaults(c *cobra.Command, o soak.Options, r *soak.Report) error {
	only, err := soak.Shrink(r.Played, func(only []int) (bool, error) {
		o := o
		o.Only = only
		o.Folder = filepath.Join(o.Folder, "shrink")
		r, err := soak.Play(c.Context(), o)
		if err != nil {
			return false, err
		}
		_, err = fmt.Fprintf(c.ErrOrStderr(), "only %v: %s\n", only, r.Verdict())
		return !r.Held(), err
	})
	if err != nil {
		return fmt.Errorf("shrink seed %d: %w", o.Seed, err)
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "seed %d: the faults %v break a promise by themselves: --only %s\n", o.Seed, only, soak.JoinNumbers(only))
	return err
}
