package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
	"github.com/damaskcove/damaskcove/internal/upstream"
)

// Timing of publishing the endpoints to the platform stand-in.
const (
	publishTimeout  = 2 * time.Second
	publishInterval = time.Second
)

// Limits of a group.
const (
	maxGroupEndpoints = 1000
	maxPort           = 65535
)

// hostSettings are the settings of the upstream stand-in.
type hostSettings struct {
	Admin         string          `toml:"admin"`    // IP address and port of the admin endpoints.
	Platform      string          `toml:"platform"` // Platform stand-in to publish the endpoints to; empty for none.
	Seed          int             `toml:"seed"`
	RecordLookups bool            `toml:"record_lookups"`
	Groups        []groupSettings `toml:"groups"`
}

// groupSettings is a group of equal endpoints on consecutive ports.
type groupSettings struct {
	Service    string        `toml:"service"`
	Zone       string        `toml:"zone"`
	First      string        `toml:"first"` // IP address and port of the first endpoint.
	Count      int           `toml:"count"`
	Slots      int           `toml:"slots"`
	Queue      int           `toml:"queue"`
	Median     time.Duration `toml:"median"`
	Spread     float64       `toml:"spread"`
	ColdStart  time.Duration `toml:"cold_start"`
	Lag        time.Duration `toml:"lag"`
	OrderPaths []string      `toml:"order_paths"`
}

func newStandinUpstream() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "upstream",
		Short: "Run stand-ins of upstream endpoints, with fault injection",
		Long: `upstream runs many endpoints in one process and records how often each request started. Counts
are read at ` + upstream.PathEndpoints + ` and ` + upstream.PathSummary + ` of the admin address; faults are set
at ` + upstream.PathFaults + `, and a POST to ` + upstream.PathDrain + ` drains an endpoint.`,
		Example: "  damaskctl standin upstream --settings upstreams.toml\n" +
			"  curl -X PUT -d '{\"slow_factor\":10}' 'http://127.0.0.1:7071" + upstream.PathFaults + "?endpoint=127.0.0.1:9001'",
		Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				return usageError(fmt.Errorf("--settings is required"))
			}
			s, err := readHostSettings(file)
			if err != nil {
				return err
			}
			return runStandinUpstream(c.Context(), c.OutOrStdout(), s)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "TOML file (required)")
	return c
}

func readHostSettings(file string) (hostSettings, error) {
	s := hostSettings{Admin: "127.0.0.1:7071", Seed: 1}
	err := readStandinSettings(file, &s, func(c *tomlfile.Collector) {
		validateLoopback(c, "admin", s.Admin)
		if s.Platform != "" {
			validateLoopback(c, "platform", s.Platform)
		}
		if len(s.Groups) == 0 {
			c.Add("groups", "", "must contain at least one group")
		}
		for i, g := range s.Groups {
			g.check(c, fmt.Sprintf("groups[%d]", i))
		}
	})
	return s, err
}

func (g groupSettings) check(c *tomlfile.Collector, key string) {
	validateNotEmpty(c, key+".service", g.Service)
	validateLoopback(c, key+".first", g.First)
	if g.Count < 1 || g.Count > maxGroupEndpoints {
		c.Add(key+".count", fmt.Sprint(g.Count), "must be from 1 to %d", maxGroupEndpoints)
	}
	if first, err := netip.ParseAddrPort(g.First); err == nil && int(first.Port())+g.Count > maxPort+1 {
		c.Add(key+".count", fmt.Sprint(g.Count), "gives ports greater than %d", maxPort)
	}
	if g.Slots < 0 {
		c.Add(key+".slots", fmt.Sprint(g.Slots), "must not be negative")
	}
	validateNotNegative(c, key+".median", g.Median)
	validateNotNegative(c, key+".cold_start", g.ColdStart)
	validateNotNegative(c, key+".lag", g.Lag)
}

func runStandinUpstream(ctx context.Context, w io.Writer, s hostSettings) error {
	changed := make(chan struct{}, 1)
	host := upstream.NewHost(upstream.HostOptions{Seed: uint64(s.Seed), RecordIdempotent: s.RecordLookups, OnChange: func(*upstream.Host) {
		select {
		case changed <- struct{}{}:
		default:
		}
	}})
	defer func() { _ = host.Close() }()
	for _, g := range s.Groups {
		if err := g.start(host); err != nil {
			return addressError(err)
		}
	}
	listener, err := net.Listen("tcp", s.Admin)
	if err != nil {
		return addressError(fmt.Errorf("listen on admin address %s: %w", s.Admin, err))
	}
	_, _ = fmt.Fprintf(w, "%d upstream endpoints, admin on %s\n", len(host.Endpoints()), listener.Addr())
	if s.Platform != "" {
		go publish(ctx, w, host, s.Platform, changed)
	}
	return serveAdmin(ctx, listener, upstream.AdminHandler(host))
}

// start starts the endpoints of a group.
func (g groupSettings) start(host *upstream.Host) error {
	first, err := netip.ParseAddrPort(g.First)
	if err != nil {
		return fmt.Errorf("first endpoint %q: %w", g.First, err)
	}
	for i := range g.Count {
		addr := first.String()
		if first.Port() != 0 {
			addr = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
		}
		_, err := host.Add(upstream.Spec{
			Service: fleet.Service(g.Service), Zone: fleet.Zone(g.Zone), Addr: addr, Slots: g.Slots, Queue: g.Queue,
			Median: g.Median, Spread: g.Spread, ColdStart: g.ColdStart, Lag: g.Lag, NonIdempotentPaths: g.OrderPaths,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// publish publishes the endpoints to the platform stand-in after each change, and retries until it succeeds.
func publish(ctx context.Context, w io.Writer, host *upstream.Host, platform string, changed <-chan struct{}) {
	retry := time.NewTicker(publishInterval)
	defer retry.Stop()
	due := true
	for {
		if due {
			err := publishOnce(ctx, host, platform)
			if err != nil {
				_, _ = fmt.Fprintln(w, err)
			}
			due = err != nil
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			due = true
		case <-retry.C:
		}
	}
}

func publishOnce(ctx context.Context, host *upstream.Host, platform string) error {
	data, err := json.Marshal(host.Upstreams())
	if err != nil {
		return fmt.Errorf("encode endpoints: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+platform+standin.PathUpstreams, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("publish endpoints: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("publish endpoints: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("publish endpoints to %s: status %d", platform, response.StatusCode)
	}
	return nil
}
