package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "health", Short: "Measures detection times and false ejections on synthetic traffic", SilenceUsage: true}
	root.AddCommand(detectionCommand(), falseCommand(), curvesCommand(), costCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func detectionCommand() *cobra.Command {
	var seeds int
	var only string
	c := &cobra.Command{
		Use:   "detection",
		Short: "Detection time of each fault, for each service by day and by night",
		RunE: func(cmd *cobra.Command, _ []string) error {
			workloads, err := selectWorkloads(only)
			if err != nil {
				return err
			}
			writeDetections(cmd.OutOrStdout(), workloads, seeds)
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 100, "runs of each row, with seeds from 1")
	c.Flags().StringVar(&only, "service", "", "only this service")
	return c
}

// selectWorkloads returns the day and night workloads of all services, or of one.
func selectWorkloads(only string) ([]workload, error) {
	var workloads []workload
	for _, w := range services {
		if only == "" || string(w.service) == only {
			workloads = append(workloads, w.day(), w.night())
		}
	}
	if len(workloads) == 0 {
		return nil, fmt.Errorf("service %q is not one of the %d measured", only, len(services))
	}
	return workloads, nil
}

func falseCommand() *cobra.Command {
	var seeds int
	c := &cobra.Command{
		Use:   "false",
		Short: "False ejections of healthy endpoints, measured at low limits and extrapolated",
		RunE: func(cmd *cobra.Command, _ []string) error {
			writeFalseEjections(cmd.OutOrStdout(), seeds)
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 48, "runs of each row, with seeds from 1")
	return c
}

func curvesCommand() *cobra.Command {
	var seeds int
	var out string
	c := &cobra.Command{
		Use:   "curves",
		Short: "Operating curves as tables and SVG files",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return writeCurves(cmd.OutOrStdout(), out, seeds)
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 24, "runs of each point, with seeds from 1")
	c.Flags().StringVar(&out, "out", "docs/measurements", "directory of the SVG files")
	return c
}

func costCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cost",
		Short: "State, time and bytes of carriers and evaluators, as slopes over endpoints and carriers",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return writeCost(cmd.OutOrStdout())
		},
	}
}
