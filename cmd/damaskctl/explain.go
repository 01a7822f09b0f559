package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/operator/api"
)

func newExplain() *cobra.Command {
	var operators operatorFlags
	var method, account, format string
	c := &cobra.Command{
		Use:   "explain PATH",
		Short: "Show where a request would go, and why",
		Long: `explain queries an instance for the route, service, entries and endpoints that a request would
get, the reasons for each endpoint's state, and when an ejected one may return. The request itself is not sent.`,
		Example: "  damaskctl explain /stock/amber --account amber-still --operator 192.0.2.11:8082 --token-file token",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if account == "" {
				return usageError(fmt.Errorf("--account is required"))
			}
			clients, err := operators.open()
			if err != nil {
				return err
			}
			explanation, err := clients[0].Explain(c.Context(), method, args[0], fleet.Account(account))
			if err != nil {
				return err
			}
			return writeExplanation(c.OutOrStdout(), explanation, format)
		},
	}
	operators.add(c)
	c.Flags().StringVar(&method, "method", http.MethodGet, "method of the request")
	c.Flags().StringVar(&account, "account", "", "client account of the request (required)")
	c.Flags().StringVar(&format, "report", "table", `"table" or "json"`)
	return c
}

func writeExplanation(w io.Writer, e api.Explanation, format string) error {
	if format == jsonReport {
		return json.NewEncoder(w).Encode(e)
	}
	entry, _ := result.Lookup(e.Code)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "request\t%s %s of account %s at revision %d\n", e.Method, e.Path, e.Account, e.Revision)
	_, _ = fmt.Fprintf(t, "result\t%d %s: %s\n", e.Code, entry.Name, e.Reason)
	_, _ = fmt.Fprintf(t, "service\t%s, route %s, idempotent %v, deadline %v\n", e.Service, e.Route, e.Idempotent, e.Deadline)
	_, _ = fmt.Fprintf(t, "keys run at\t%v, or at %v\n", e.Home.Ref, e.Witness.Ref)
	for i, instance := range e.Entries {
		_, _ = fmt.Fprintf(t, "entry %d\t%v at %s in zone %s\n", i+1, instance.Ref, instance.EntryAddr, instance.Zone)
	}
	_, _ = fmt.Fprintf(t, "carried here\t%v\n", e.CarriedHere)
	writeEndpoints(t, string(e.Service), e.Endpoints)
	return t.Flush()
}
