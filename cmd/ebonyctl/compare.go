package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks/configplan"
)

func newCompare() *cobra.Command {
	return &cobra.Command{
		Use:   "compare OLDER NEWER",
		Short: "List the differences between two configurations",
		Long: "List the differences between two configurations, one a line. A line starts with\n" +
			"+ for what was added, - for what was removed, ~ for what changed.",
		Example: "  ebonyctl compare published next",
		Args:    arguments(cobra.ExactArgs(2)),
		RunE: func(command *cobra.Command, args []string) error {
			return compare(command, args[0], args[1])
		},
	}
}

func compare(command *cobra.Command, older, newer string) error {
	before, olderConfiguration, err := read(older)
	if err != nil {
		return err
	}
	after, newerConfiguration, err := read(newer)
	if err != nil {
		return err
	}
	w := command.OutOrStdout()
	if _, err := fmt.Fprintf(w, "revision %d -> %d\n", before.Manifest.Revision, after.Manifest.Revision); err != nil {
		return err
	}
	differences := configplan.Compare(olderConfiguration, newerConfiguration)
	if len(differences) == 0 {
		_, err := fmt.Fprintln(w, "no differences")
		return err
	}
	for _, difference := range differences {
		if _, err := fmt.Fprintln(w, difference); err != nil {
			return err
		}
	}
	return nil
}
