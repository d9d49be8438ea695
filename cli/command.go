package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the exit status. An error is
// written to failures after the prefix.
func Execute(ctx context.Context, command *cobra.Command, arguments []string, out, failures io.Writer, prefix string) int {
	command.SetArgs(arguments)
	command.SetOut(out)
	command.SetErr(failures)
	err := command.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(failures, "%s%v\n", prefix, err)
	}
	return ExitStatus(err)
}

// NewCheckCommand returns the command of a process that checks a settings file without
// starting anything.
func NewCheckCommand(check func(path string) error) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file without starting anything",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := check(arguments[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), arguments[0]+": ok")
			return err
		},
	}
}
