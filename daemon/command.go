// Package daemon runs an entry host as a process: settings, listeners, signals
// and the order of a planned stop.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks/settings"
	"github.com/ebonyworks/ebonyworks/usage"
)

// Execute runs the command line and returns the exit status: 2 for invalid
// settings or arguments, 1 for other failures.
func Execute(arguments []string, out, failures io.Writer) int {
	command := newCommand(out)
	command.SetArgs(arguments)
	command.SetOut(out)
	command.SetErr(failures)
	err := command.Execute()
	if err != nil {
		_, _ = fmt.Fprintln(failures, "ebonyd:", err)
	}
	return usage.Status(err)
}

func newCommand(out io.Writer) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:           "ebonyd --settings FILE",
		Short:         "Run an entry host",
		Long:          "Runs an entry host until SIGTERM or SIGINT, then stops gracefully.\nSIGHUP reloads the ticket keys from the settings file.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return run(command.Context(), path, out)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file (JSON with comments)")
	command.SetFlagErrorFunc(usage.Mistake)
	// MarkFlagRequired fails only for flags that don't exist.
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(newCheckCommand(out))
	return command
}

// newCheckCommand checks a settings file without starting anything.
func newCheckCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file without starting anything",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			_, problems := settings.Load(arguments[0])
			if len(problems) > 0 {
				return &usage.Error{Source: arguments[0], Problems: problems}
			}
			_, err := fmt.Fprintln(out, arguments[0]+": ok")
			return err
		},
	}
}

func run(ctx context.Context, path string, out io.Writer) error {
	if ctx == nil {
		ctx = context.Background()
	}
	loaded, problems := settings.Load(path)
	if len(problems) > 0 {
		return &usage.Error{Source: path, Problems: problems}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process := &process{path: path, settings: loaded, out: out}
	return process.run(ctx)
}
