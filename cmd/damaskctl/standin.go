package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/internal/metastore/standin"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// headerTimeout bounds the time to read the headers of a request to the admin endpoints.
const headerTimeout = 5 * time.Second

func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of the platform or of upstreams, for testing",
		Long: `standin runs a small stand-in, so that a fleet can be tested on one machine. It stores its data in
memory only, and has no access control: run it on loopback addresses only.`,
		Example: "  damaskctl standin platform --settings platform.toml\n  damaskctl standin upstream --settings upstreams.toml",
		Args:    exactArgs(0),
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newStandinPlatform(), newStandinUpstream())
	return c
}

// platformSettings are the settings of the platform's stand-in.
type platformSettings struct {
	Listen    string             `toml:"listen"`    // IP address and port.
	ListLag   time.Duration      `toml:"list_lag"`  // Delay until a change of the list becomes visible.
	Delay     time.Duration      `toml:"delay"`     // Before each call takes effect.
	Upstreams []upstreamSettings `toml:"upstreams"` // Listed from the start.
	Instances []instanceSettings `toml:"instances"` // Listed from the start, as hints for joining.
}

func newStandinPlatform() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in of the platform's store and instance list",
		Long: `platform answers the platform's HTTP protocol: compare-and-swap, leases, watches and the list.
Without --settings it listens on 127.0.0.1:7070 with an empty list. Faults are set at
` + standin.PathFaults + `, counts are read at ` + standin.PathCounts + `, and the list is set at ` + standin.PathListing + `.`,
		Example: "  damaskctl standin platform --settings platform.toml\n" +
			"  curl -X PUT -d '{\"store\":\"refuse\"}' http://127.0.0.1:7070" + standin.PathFaults,
		Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := readPlatformSettings(file)
			if err != nil {
				return err
			}
			return runStandinPlatform(c.Context(), c.OutOrStdout(), s)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "TOML file")
	return c
}

func readPlatformSettings(file string) (platformSettings, error) {
	s := platformSettings{Listen: "127.0.0.1:7070"}
	err := readStandinSettings(file, &s, func(c *tomlfile.Collector) {
		validateLoopback(c, "listen", s.Listen)
		validateNotNegative(c, "list_lag", s.ListLag)
		validateNotNegative(c, "delay", s.Delay)
		validateListing(c, s.Upstreams, s.Instances)
	})
	return s, err
}

// readStandinSettings decodes a file, unless file is empty, and validates the settings.
func readStandinSettings(file string, into any, check func(c *tomlfile.Collector)) error {
	c := &tomlfile.Collector{File: file}
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return settingsError(fmt.Errorf("read settings: %w", err))
		}
		tomlfile.Decode(c, data, into)
	}
	check(c)
	if err := c.Err(); err != nil {
		return settingsError(err)
	}
	return nil
}

func runStandinPlatform(ctx context.Context, w io.Writer, s platformSettings) error {
	p := standin.New(standin.Options{Faults: standin.Faults{Delay: s.Delay, ListLag: s.ListLag}})
	if listing, any := s.listing(); any {
		p.SetListing(listing)
	}
	server, err := standin.Serve(p, s.Listen)
	if err != nil {
		return addressError(err)
	}
	_, _ = fmt.Fprintf(w, "platform stand-in on %s\n", server.Addr())
	<-ctx.Done()
	return server.Close()
}

// serveAdmin serves handler on listener until ctx ends.
func serveAdmin(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", listener.Addr(), err)
	}
	return nil
}
