// Command damaskgate is an entry instance of the proxy fleet on the users' platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/internal/gateway"
	"github.com/damaskcove/damaskcove/internal/stopsignal"
	"github.com/damaskcove/damaskcove/internal/tomlfile"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitSettings = 2
	exitAddress  = 3
)

// gcPercent lets the heap grow by only a quarter between collections: an instance's heap is
// small, and memory costs more than the processor time of the collector.
const gcPercent = 25

func main() {
	debug.SetGCPercent(gcPercent)
	if err := command().Execute(); err != nil {
		os.Exit(exitStatus(err))
	}
}

func exitStatus(err error) int {
	var invalid *tomlfile.ValidationError
	switch {
	case errors.As(err, &invalid):
		return exitSettings
	case errors.Is(err, syscall.EADDRINUSE):
		return exitAddress
	default:
		return exitFailed
	}
}

func command() *cobra.Command {
	var path string
	run := &cobra.Command{
		Use:          "damaskgate",
		Short:        "Run one entry instance of the fleet",
		Long:         "damaskgate runs one entry instance. It serves until it receives SIGTERM or SIGINT, and\nthen makes a planned stop, which completes the requests in flight. SIGHUP reloads the settings.",
		Example:      "  damaskgate --settings /etc/damaskgate.toml\n  damaskgate check --settings damaskgate.toml",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(c *cobra.Command, _ []string) error { return serve(c.Context(), path) },
	}
	run.PersistentFlags().StringVar(&path, "settings", "damaskgate.toml", "settings file")
	run.AddCommand(&cobra.Command{
		Use:     "check",
		Short:   "Check the settings file and list every error",
		Example: "  damaskgate check --settings damaskgate.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := gateway.LoadSettings(path); err != nil {
				return fmt.Errorf("code %d: %w", result.CodeSettingsFault, err)
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s: settings are valid\n", path)
			return err
		},
	})
	return run
}

// serve runs the instance until a planned stop or a failure.
func serve(ctx context.Context, path string) error {
	ctx, stops := stopsignal.Start(ctx)
	defer stops.Close()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	g, err := gateway.New(path, os.Stdout)
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		return fmt.Errorf("code %d: %w", result.CodeAddressInUse, err)
	case err != nil:
		return err
	}
	g.SetNoStopBefore(stops.NotBefore)
	stops.ProbeEvery(g.StopUncertainty())
	return g.Run(ctx, reload)
}
