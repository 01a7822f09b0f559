// Command damaskcove is an entry instance of the proxy fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/damaskcove/damaskcove/coord/result"
	"github.com/damaskcove/damaskcove/coord/shutdown"
	"github.com/damaskcove/damaskcove/internal/metastore/client"
	"github.com/damaskcove/damaskcove/internal/node"
	"github.com/damaskcove/damaskcove/internal/settings"
	"github.com/damaskcove/damaskcove/internal/stopsignal"
	"github.com/damaskcove/damaskcove/internal/tracing"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitSettings = 2
	exitAddress  = 3
)

// flushTimeout bounds the export of the remaining spans at exit.
const flushTimeout = 3 * time.Second

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(exitStatus(err))
	}
}

// exitStatus distinguishes invalid settings and an address in use from other errors.
func exitStatus(err error) int {
	switch {
	case errors.Is(err, errSettings):
		return exitSettings
	case errors.Is(err, syscall.EADDRINUSE):
		return exitAddress
	default:
		return exitFailed
	}
}

var errSettings = errors.New("invalid settings")

func command() *cobra.Command {
	var path string
	run := &cobra.Command{
		Use:          "damaskcove",
		Short:        "Run one entry instance of the fleet",
		Long:         "damaskcove runs one entry instance. It serves until it receives SIGTERM or SIGINT, and\nthen makes a planned stop, which completes the requests in flight.",
		Example:      "  damaskcove --settings /etc/damaskcove.toml\n  damaskcove example > damaskcove.toml\n  damaskcove check --settings damaskcove.toml",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(c *cobra.Command, _ []string) error { return serve(c.Context(), path) },
	}
	run.PersistentFlags().StringVar(&path, "settings", "damaskcove.toml", "settings file")
	run.AddCommand(&cobra.Command{
		Use:     "check",
		Short:   "Check the settings file and list every error",
		Example: "  damaskcove check --settings damaskcove.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := load(path); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s: settings are valid\n", path)
			return err
		},
	}, &cobra.Command{
		Use:     "example",
		Short:   "Print a commented settings file with every default",
		Example: "  damaskcove example > damaskcove.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := c.OutOrStdout().Write(settings.Example)
			return err
		},
	})
	return run
}

func load(path string) (*settings.Settings, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, fmt.Errorf("%w: code %d: %w", errSettings, result.CodeSettingsFault, err)
	}
	return s, nil
}

// serve runs incarnations of the instance until a planned stop or an error.
func serve(ctx context.Context, path string) error {
	ctx, stops := stopsignal.Start(ctx)
	defer stops.Close()
	s, err := load(path)
	if err != nil {
		return err
	}
	stops.ProbeEvery(shutdown.MaxUncertainty(s.Stop.Timeout))
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: s.Log.Level})).With("instance", s.Instance.ID)
	tracer, flush, err := tracing.Start(ctx, tracing.Config{
		Exporter:    tracing.Exporter(s.Trace.Exporter),
		URL:         s.Trace.URL,
		Instance:    string(s.Instance.ID),
		Zone:        string(s.Instance.Zone),
		Output:      os.Stdout,
		SampleShare: s.Trace.SampleShare,
	})
	if err != nil {
		return err
	}
	defer func() { flushSpans(flush, log) }()
	if s.Limits.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryLimit))
	}
	store := client.New(s.Platform.Address, string(s.Instance.ID))
	defer store.Close()
	options := node.Options{Settings: s, Store: store, List: store, Log: log, Tracer: tracer, Seed: uint64(time.Now().UnixNano()), NoStopBefore: stops.NotBefore}
	return withResultCode(node.RunIncarnations(ctx, options, func(*node.Node) {}))
}

// withResultCode adds the result code of an error to its text, so that operators can look it up.
func withResultCode(err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("code %d: %w", result.CodeAddressInUse, err)
	}
	return err
}

func flushSpans(flush func(context.Context) error, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := flush(ctx); err != nil {
		log.Warn("export of the remaining spans failed; they are lost", "error", err.Error())
	}
}
