package main

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
)

// Exit statuses.
const (
	exitDone    = 0
	exitFailed  = 1
	exitInvalid = 2
)

// invalidError tells that the input is invalid: arguments, configuration or
// settings. Problems are listed line by line.
type invalidError struct {
	// source is the file or directory with the problems.
	source   string
	problems []ebonyworks.Problem
}

// Error returns one line for each problem.
func (e *invalidError) Error() string {
	text := ""
	for i, problem := range e.problems {
		if i > 0 {
			text += "\n"
		}
		text += line(e.source, problem)
	}
	return text
}

// line writes a problem with its source and place, if it has them.
func line(source string, problem ebonyworks.Problem) string {
	text := problem.Message
	if problem.Place != "" {
		text = problem.Place + ": " + text
	}
	if source != "" {
		text = source + ": " + text
	}
	return text
}

func invalid(source string, problems []ebonyworks.Problem) error {
	return &invalidError{source: source, problems: problems}
}

// usage marks a mistake in the arguments as invalid input.
func usage(command *cobra.Command, err error) error {
	hint := fmt.Sprintf("%s (see %s --help)", err, command.CommandPath())
	return invalid("", []ebonyworks.Problem{{Message: hint}})
}

// arguments wraps a check of positional arguments, so that its failures count
// as invalid input.
func arguments(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return usage(command, err)
		}
		return nil
	}
}

// run executes the tool and returns its exit status.
func run(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintln(stderr, err)
	var invalid *invalidError
	if errors.As(err, &invalid) {
		return exitInvalid
	}
	return exitFailed
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
	root.SetFlagErrorFunc(usage)
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(newCheck(), newPrint(), newCompare(), newExplain(), newShow(), newSearch(), newReserve(), newOutcome(), newWait())
	return root
}

func unknownCommand(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return errors.Errorf("unknown command %q", args[0])
	}
	return nil
}
