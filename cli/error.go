// Package cli holds what the command lines share: it tells invalid input from other
// failures, and has the steps that all of them take.
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
	Done    = 0
	Failed  = 1
	Invalid = 2
)

// Error tells that arguments, settings or a configuration are invalid.
type Error struct {
	// Source is the file or directory with the problems; empty for arguments.
	Source   string
	Problems []ebonyworks.Problem
}

// Error returns one line for each problem, with its source and place if it has
// them.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, Line(e.Source, problem))
	}
	return strings.Join(lines, "\n")
}

// Line returns the line of one problem.
func Line(source string, problem ebonyworks.Problem) string {
	text := problem.Message
	if problem.Path != "" {
		text = problem.Path + ": " + text
	}
	if source != "" {
		text = source + ": " + text
	}
	return text
}

// Mistake marks a mistake in the arguments of a command as invalid input.
func Mistake(command *cobra.Command, err error) error {
	hint := fmt.Sprintf("%s (see %s --help)", err, command.CommandPath())
	return &Error{Problems: []ebonyworks.Problem{{Message: hint}}}
}

// Status returns the exit status for the end of a command.
func Status(err error) int {
	var invalid *Error
	switch {
	case err == nil:
		return Done
	case errors.As(err, &invalid):
		return Invalid
	default:
		return Failed
	}
}
