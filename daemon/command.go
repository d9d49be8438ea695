// Package daemon runs an entry host as a process: settings, listeners, signals
// and the order of a planned stop.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/settings"
)

// Exit statuses of the process.
const (
	exitOK      = 0
	exitFailure = 1
	exitInvalid = 2
)

// invalidSettingsError lists every mistake of a settings file.
type invalidSettingsError struct {
	path     string
	problems []ebonyworks.Problem
}

// Error returns one line for each mistake.
func (e *invalidSettingsError) Error() string {
	text := e.path + ": the settings are invalid"
	for _, problem := range e.problems {
		text += fmt.Sprintf("\n  %s: %s", problem.Place, problem.Message)
	}
	return text
}

// Execute runs the command line and returns the exit status: 2 for invalid
// settings or arguments, 1 for other failures.
func Execute(arguments []string, out, failures io.Writer) int {
	command := newCommand(out)
	command.SetArgs(arguments)
	command.SetOut(out)
	command.SetErr(failures)
	err := command.Execute()
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(failures, "ebonyd:", err)
	var invalid *invalidSettingsError
	var usage *usageError
	if errors.As(err, &invalid) || errors.As(err, &usage) {
		return exitInvalid
	}
	return exitFailure
}

// usageError is a mistake on the command line.
type usageError struct {
	err error
}

// Error returns the mistake.
func (e *usageError) Error() string { return e.err.Error() }

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
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err: err} })
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
				return &invalidSettingsError{path: arguments[0], problems: problems}
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
		return &invalidSettingsError{path: path, problems: problems}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process := &process{path: path, settings: loaded, out: out}
	return process.run(ctx)
}
