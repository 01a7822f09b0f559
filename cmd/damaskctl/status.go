package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/internal/operator/api"
)

// jsonReport is the value of --report for JSON output.
const jsonReport = "json"

func newStatus() *cobra.Command {
	var operators operatorFlags
	var format string
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show instances' views of the fleet, its services and their endpoints",
		Long:    "status queries the operator endpoints of instances and prints each one's view. It reports instances that do not respond and continues.",
		Example: "  damaskctl status --operator 192.0.2.11:8082 --token-file token\n  damaskctl status --operator 192.0.2.11:8082 --report json",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			clients, err := operators.open()
			if err != nil {
				return err
			}
			var last error
			for _, client := range clients {
				status, err := client.Status(c.Context())
				if err != nil {
					last = err
					_, _ = fmt.Fprintln(c.ErrOrStderr(), err)
					continue
				}
				if err := writeStatus(c.OutOrStdout(), status, format); err != nil {
					return err
				}
			}
			return last
		},
	}
	operators.add(c)
	c.Flags().StringVar(&format, "report", "table", `"table" or "json", one line for each instance`)
	return c
}

func writeStatus(w io.Writer, s api.Status, format string) error {
	if format == jsonReport {
		return json.NewEncoder(w).Encode(s)
	}
	_, _ = fmt.Fprintf(w, "instance %v of fleet %s in zone %s: %s, revision %d, roster %d, %d in flight, %d keys\n",
		s.Self.Ref, s.Fleet, s.Self.Zone, s.Phase, s.Revision, s.Generation, s.InFlight, s.Claims)
	_, _ = fmt.Fprintf(w, "store: reachable %v, last answer %s, calls:", s.Store.Reachable, s.Store.LastOK.Format("15:04:05"))
	for _, name := range slices.Sorted(maps.Keys(s.Store.Calls)) {
		_, _ = fmt.Fprintf(w, " %s %d", name, s.Store.Calls[name])
	}
	_, _ = fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nmember\tzone\tstatus\trevision\tlinked")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(t, "%v\t%s\t%s\t%d\t%v\n", m.Instance.Ref, m.Instance.Zone, m.Status, m.Revision, m.Connected)
	}
	_, _ = fmt.Fprintln(t, "\nservice\tcarried\tjudge\tcarriers\tready slots\tfloor\tin flight\tqueued")
	for _, service := range s.Services {
		_, _ = fmt.Fprintf(t, "%s\t%v\t%v\t%d\t%d\t%d\t%d\t%d\n", service.Name, service.Carried, service.Evaluator,
			len(service.Carriers), service.ReadySlots, service.FloorSlots, service.InFlight, service.Queued)
	}
	for _, service := range s.Services {
		writeEndpoints(t, string(service.Name), service.Endpoints)
	}
	return t.Flush()
}

func writeEndpoints(w io.Writer, service string, endpoints []api.EndpointView) {
	if len(endpoints) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\nendpoint of %s\tzone\tstate\tslots\tshare\tin flight\tscore\tlimit\tjudge\tuntil\tmay return\tat floor\n", service)
	for _, e := range endpoints {
		until, back := "-", "-"
		if !e.Until.IsZero() {
			until = e.Until.Format("15:04:05.000")
		}
		if !e.MayReturn.IsZero() {
			back = e.MayReturn.Format("15:04:05.000")
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%v\t%s\t%s\t%v\n", e.Upstream.Endpoint, e.Upstream.Zone, e.State,
			e.Upstream.Slots, e.SlotShare, e.InFlight, e.Score, e.Limit, e.Evaluator, until, back, e.AtFloor)
	}
}
