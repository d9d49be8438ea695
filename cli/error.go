// Package cli runs the command lines and maps their errors to exit statuses, with
// one for invalid input and one for other failures.
package cli

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
)

// Exit statuses of the tools.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitInvalid = 2
)

// InvalidInputError reports that arguments, settings or a configuration are invalid.
type InvalidInputError struct {
	// Source is the file or directory with the problems; empty for arguments.
	Source   string
	Problems []ebonyworks.Problem
}

// Error returns one line for each problem, with its source and path if it has
// them.
func (e *InvalidInputError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, FormatProblem(e.Source, problem))
	}
	return strings.Join(lines, "\n")
}

// FormatProblem formats a problem as "source: path: message", without empty parts.
func FormatProblem(source string, problem ebonyworks.Problem) string {
	text := problem.Message
	if problem.Path != "" {
		text = problem.Path + ": " + text
	}
	if source != "" {
		text = source + ": " + text
	}
	return text
}

// InvalidArguments wraps an error in the arguments of a command as invalid input.
func InvalidArguments(command *cobra.Command, err error) error {
	hint := fmt.Sprintf("%s (see %s --help)", err, command.CommandPath())
	return &InvalidInputError{Problems: []ebonyworks.Problem{{Message: hint}}}
}

// ExitStatus returns the exit status for the error of a command.
func ExitStatus(err error) int {
	var invalid *InvalidInputError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &invalid):
		return ExitInvalid
	default:
		return ExitFailure
	}
}
