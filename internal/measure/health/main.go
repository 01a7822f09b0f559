package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "health", Short: "Measures detection times and false ejections on made traffic", SilenceUsage: true}
	root.AddCommand(detectionCommand())
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
			loads, err := loadsOf(only)
			if err != nil {
				return err
			}
			writeDetections(cmd.OutOrStdout(), loads, seeds)
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 100, "runs of each row, with seeds from 1")
	c.Flags().StringVar(&only, "service", "", "only this service")
	return c
}

// loadsOf returns the services by day and by night, or one of them.
func loadsOf(only string) ([]workload, error) {
	var loads []workload
	for _, w := range services {
		if only == "" || string(w.service) == only {
			loads = append(loads, w.day(), w.night())
		}
	}
	if len(loads) == 0 {
		return nil, fmt.Errorf("service %q is not one of the %d measured", only, len(services))
	}
	return loads, nil
}
