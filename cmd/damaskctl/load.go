package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/load"
)

// Defaults of load.
const (
	defaultRate        = 100
	defaultDuration    = 10 * time.Second
	defaultWarmup      = 2 * time.Second
	defaultRequestTime = 5 * time.Second
	defaultOutstanding = 5000
)

func newLoad() *cobra.Command {
	var o load.Options
	var service, zone, format string
	var accounts []string
	c := &cobra.Command{
		Use:   "load",
		Short: "Send requests at a given rate and measure the responses",
		Long: `load is an open-loop generator: requests start at times drawn from the seed, however slow the
responses are, and latency counts from the drawn start (corrected for coordinated omission).

With --entry it discovers the service's entries as a caller does, caches them for their max age, and
sends to them. With --direct it sends to upstream endpoints in turn, as a baseline.`,
		Example: "  damaskctl load --entry 127.0.0.1:8080 --service stock --account amber-still --path /stock/amber --rate 200 --duration 30s\n" +
			"  damaskctl load --direct 127.0.0.1:9001 --account amber-still --path /stock/amber --report json",
		Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			o.Service, o.Zone = fleet.Service(service), fleet.Zone(zone)
			for _, account := range accounts {
				o.Accounts = append(o.Accounts, fleet.Account(account))
			}
			if err := o.Validate(); err != nil {
				return usageError(err)
			}
			report, err := load.Run(c.Context(), o)
			if err != nil {
				return err
			}
			if format == jsonReport {
				return json.NewEncoder(c.OutOrStdout()).Encode(report)
			}
			return report.WriteTable(c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringSliceVar(&o.Entries, "entry", nil, "IP address and port of an entry to discover at; may be repeated")
	f.StringSliceVar(&o.Direct, "direct", nil, "IP address and port of an upstream endpoint to send to without the fleet; may be repeated")
	f.StringVar(&service, "service", "", "service to discover")
	f.StringSliceVar(&accounts, "account", nil, "client account; may be repeated, then used in turn (required)")
	f.StringVar(&zone, "zone", "", "availability zone nearest to the callers")
	f.StringVar(&o.Method, "method", http.MethodGet, "method")
	f.StringVar(&o.Path, "path", "/", "path and query")
	f.IntVar(&o.Body, "body", 0, "bytes of the body")
	f.BoolVar(&o.Keyed, "keyed", false, "requests are not idempotent and carry an idempotency key")
	f.BoolVar(&o.Unkeyed, "unkeyed", false, "requests are not idempotent and carry no key")
	f.Float64Var(&o.Rate, "rate", defaultRate, "requests a second")
	f.DurationVar(&o.Duration, "duration", defaultDuration, "length of the measurement")
	f.DurationVar(&o.Warmup, "warmup", defaultWarmup, "length of the traffic before the measurement, which is not counted")
	f.DurationVar(&o.Timeout, "timeout", defaultRequestTime, "timeout of one request")
	f.IntVar(&o.Outstanding, "outstanding", defaultOutstanding, "maximum number of concurrent requests")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the times at which requests start")
	f.StringVar(&format, "report", "table", `"table" or "json", one line`)
	return c
}
