package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/configplan"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain DIRECTORY ROUTE",
		Short: "Show the shards, services and servers that a route resolves to",
		Long: "Show the shards, services and servers that a route resolves to under the newest\n" +
			"partition, with failure domains and the connections that one host opens.",
		Example: "  ebonyctl explain published search-hair",
		Args:    arguments(cobra.ExactArgs(2)),
		RunE: func(command *cobra.Command, args []string) error {
			return explain(command, args[0], ebonyworks.RouteID(args[1]))
		},
	}
}

func explain(command *cobra.Command, directory string, route ebonyworks.RouteID) error {
	_, configuration, err := read(directory)
	if err != nil {
		return err
	}
	resolution, found := configplan.Explain(configuration, route)
	if !found {
		message := fmt.Sprintf("no route %q", route)
		return &cli.InvalidInputError{Source: directory, Problems: []ebonyworks.Problem{{Path: "Routes", Message: message}}}
	}
	return resolution.Print(command.OutOrStdout())
}
