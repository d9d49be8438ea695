package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks/load/plot"
	"github.com/ebonyworks/ebonyworks/load/report"
)

func newTable() *cobra.Command {
	return &cobra.Command{
		Use:   "table FILE",
		Short: "Print a file of results as a table",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			results, err := readResults(args[0])
			if err != nil {
				return err
			}
			return report.Table(command.OutOrStdout(), results)
		},
	}
}

func newPlot() *cobra.Command {
	var output string
	command := &cobra.Command{
		Use:   "plot FILE",
		Short: "Draw a file of results as PNG and SVG files",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			results, err := readResults(args[0])
			if err != nil {
				return err
			}
			if err := os.MkdirAll(output, 0o755); err != nil {
				return errors.Wrap(err, "create output directory")
			}
			files, err := plot.Draw(output, results)
			for _, file := range files {
				_, _ = fmt.Fprintln(command.OutOrStdout(), file)
			}
			return err
		},
	}
	command.Flags().StringVar(&output, "output", ".", "directory of the drawings")
	return command
}

func readResults(path string) ([]report.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open results")
	}
	defer file.Close()
	return report.Read(file)
}
