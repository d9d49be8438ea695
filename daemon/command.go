// Package daemon runs an entry host as a process: settings, listeners, signals
// and the order of a graceful shutdown.
package daemon

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/settings"
)

// Execute runs the command line and returns the exit status: 2 for invalid
// settings or arguments, 1 for other failures.
func Execute(arguments []string, out, failures io.Writer) int {
	return cli.Execute(context.Background(), newCommand(out), arguments, out, failures, "ebonyd: ")
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
	command.SetFlagErrorFunc(cli.InvalidArguments)
	// MarkFlagRequired fails only for flags that don't exist.
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(cli.NewCheckCommand(func(path string) error {
		_, err := load(path)
		return err
	}))
	return command
}

// load reads the settings file. The error lists every mistake of it.
func load(path string) (settings.Settings, error) {
	loaded, problems := settings.Load(path)
	if len(problems) > 0 {
		return settings.Settings{}, &cli.InvalidInputError{Source: path, Problems: problems}
	}
	return loaded, nil
}

func run(ctx context.Context, path string, out io.Writer) error {
	loaded, err := load(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process := &process{path: path, settings: loaded, out: out}
	return process.run(ctx)
}
