package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

func newList() *cobra.Command {
	var sources sources
	command := &cobra.Command{
		Use:   "list --settings FILE --configuration DIRECTORY",
		Short: "Check the settings and list the names of their scenarios",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, _, err := sources.load()
			if err != nil {
				return err
			}
			for _, each := range settings.Scenarios {
				if _, err := fmt.Fprintln(command.OutOrStdout(), each.Name); err != nil {
					return err
				}
			}
			return nil
		},
	}
	sources.register(command)
	return command
}

func newSetup() *cobra.Command {
	var (
		sources sources
		name    string
	)
	command := &cobra.Command{
		Use:   "setup --settings FILE --configuration DIRECTORY --scenario NAME",
		Short: "Print how the processes of a scenario are to be started, as NAME=VALUE lines",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, _, err := sources.load()
			if err != nil {
				return err
			}
			found, err := sources.find(command, settings, name)
			if err != nil {
				return err
			}
			setup := found.Setup
			_, err = fmt.Fprintf(command.OutOrStdout(),
				"ServiceTime=%v\nSnapshotPeriod=%v\nColdFactor=%d\nColdTime=%v\nColdSeconds=%d\nRestartSeconds=%g\nKillHosts=%s\n",
				settings.MeanServiceTime, setup.SnapshotPeriod, setup.ColdFactor, setup.ColdTime,
				(setup.ColdTime+time.Second-1)/time.Second, setup.RestartHosts.Seconds(), setup.KillHosts)
			return err
		},
	}
	sources.register(command)
	command.Flags().StringVar(&name, "scenario", "", "name of the scenario")
	_ = command.MarkFlagRequired("scenario")
	return command
}
