package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/health"
	"github.com/damaskcove/damaskcove/coord/rollout"
	"github.com/damaskcove/damaskcove/internal/settings"
	"github.com/damaskcove/damaskcove/internal/template"
)

func newCheck() *cobra.Command {
	var settingsFile string
	c := &cobra.Command{
		Use:   "check TEMPLATES",
		Short: "Check templates and settings, and print the effect of the parameters",
		Long: `check reads a file of templates, or every .toml file of a directory, and lists all errors
at once. For each service it prints the floor, the score at which an endpoint is ejected, and
the expected time until an endpoint that fails 30% of its requests, or is ten times slower, is
ejected at the request rate that the template gives.

With --settings it also checks the settings file of an instance; TEMPLATES may then be omitted.`,
		Example: "  damaskctl check examples/bunya-ridge\n  damaskctl check --settings entry-1.toml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 && settingsFile == "" {
				return usageError(fmt.Errorf("give TEMPLATES, --settings, or both"))
			}
			return check(c.OutOrStdout(), settingsFile, args)
		},
	}
	c.Flags().StringVar(&settingsFile, "settings", "", "settings file of an instance")
	return c
}

func check(w io.Writer, settingsFile string, args []string) error {
	if settingsFile != "" {
		s, err := settings.Load(settingsFile)
		if err != nil {
			return settingsError(err)
		}
		_, _ = fmt.Fprintf(w, "settings of instance %s of fleet %s are valid\n", s.Instance.ID, s.Instance.Fleet)
	}
	if len(args) == 0 {
		return nil
	}
	set, err := template.Load(args[0])
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "templates of fleet %s are valid: %d services, %d client accounts\n\n", set.Fleet, len(set.Services), len(set.Accounts))
	return writeServices(w, set)
}

func writeServices(w io.Writer, set *template.Set) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "service\tendpoints\tslots\tfloor\tmay be ejected\tfalse ejections\tscore limit\tdetects 30% failing\tdetects 10x slower")
	_, _ = fmt.Fprintln(t, "\t\t\t\t(slots)\t(endpoint-month)\t(nats)\t\t")
	for _, s := range set.Services {
		writeService(t, s, set.Sizes[s.Name])
	}
	return t.Flush()
}

func writeService(w io.Writer, s rollout.ServiceTemplate, size template.Size) {
	if size.Endpoints == 0 {
		_, _ = fmt.Fprintf(w, "%s\t?\t?\t%d\t?\t%g\tset endpoints in the template to compute these\n", s.Name, s.FloorSlots, s.FalseEjectionsPerEndpointMonth)
		return
	}
	slots := size.Endpoints * size.SlotsPerEndpoint
	o := operatingPoint(s, size.Endpoints)
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%g\t%.1f\t%v\t%v\n", s.Name, size.Endpoints, slots, s.FloorSlots, max(slots-s.FloorSlots, 0),
		s.FalseEjectionsPerEndpointMonth, o.Limit, o.FailingDetectionTime.Round(10*time.Millisecond), o.SlowDetectionTime.Round(10*time.Millisecond))
}

func operatingPoint(s rollout.ServiceTemplate, endpoints int) health.OperatingPoint {
	return health.Threshold(health.Parameters{
		Service:                        fleet.Service(s.Name),
		FloorSlots:                     s.FloorSlots,
		FalseEjectionsPerEndpointMonth: s.FalseEjectionsPerEndpointMonth,
		ExpectedRequestsPerSecond:      s.RequestsPerSecond,
	}, endpoints)
}
