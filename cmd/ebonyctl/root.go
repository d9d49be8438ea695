package main

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks/cli"
)

// arguments wraps a check of positional arguments, so that its failures count
// as invalid input.
func arguments(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return cli.InvalidArguments(command, err)
		}
		return nil
	}
}

// run executes the tool and returns its exit status.
func run(args []string, stdout, stderr io.Writer) int {
	return cli.Execute(context.Background(), newRoot(), args, stdout, stderr, "")
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "ebonyctl",
		Short: "Check, print, compare and explain configuration, show a host, and send requests",
		Long: "Check, print, compare and explain configuration, show a host, and send requests.\n\n" +
			"A configuration is a directory with one file for each value of the configuration\n" +
			"service, as \"ebonyctl print\" writes it.\n\n" +
			"Exit status: 0 on success, 2 for invalid input with all mistakes listed on\n" +
			"standard error, 1 for other failures.",
		Args:          arguments(unknownCommand),
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(command *cobra.Command, _ []string) error {
			return command.Help()
		},
	}
	root.SetFlagErrorFunc(cli.InvalidArguments)
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(newCheck(), newPrint(), newCompare(), newExplain(), newExplainRequest(), newShow(), newSearch(), newReserve(), newOutcome(), newWait())
	return root
}

func unknownCommand(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return errors.Errorf("unknown command %q", args[0])
	}
	return nil
}
