package main

import (
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/load/dissemination"
)

func newDissemination() *cobra.Command {
	var seeds int
	command := &cobra.Command{
		Use:   "dissemination",
		Short: "Compare ways to tell all hosts of a new configuration, in a model",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if seeds < 1 {
				return cli.InvalidArguments(command, errors.New("--seeds must be positive"))
			}
			return printDissemination(command.OutOrStdout(), seeds)
		},
	}
	command.Flags().IntVar(&seeds, "seeds", 200, "runs of each method under each condition")
	return command
}

func printDissemination(out io.Writer, seeds int) error {
	header := "| hosts | loss | dead | method | messages per host | kB per host | platform calls | p50 | p99 | max | missed |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(out, header); err != nil {
		return err
	}
	for _, size := range []int{8, 100, 400} {
		for _, loss := range []float64{0, 0.01, 0.05} {
			for _, dead := range []float64{0, 0.05} {
				conditions := dissemination.Conditions{Size: size, Loss: loss, Dead: dead}
				if err := printConditions(out, conditions, seeds); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func printConditions(out io.Writer, conditions dissemination.Conditions, seeds int) error {
	for _, method := range dissemination.Methods() {
		result := method.Summarize(conditions, seeds)
		_, err := fmt.Fprintf(out, "| %d | %.0f%% | %.0f%% | %s | %.1f | %.1f | %.0f | %s | %s | %s | %.2f |\n",
			conditions.Size, 100*conditions.Loss, 100*conditions.Dead, method.Name,
			result.Messages, result.Bytes/1000, result.Calls,
			result.P50.Round(time.Millisecond), result.P99.Round(time.Millisecond), result.Most.Round(time.Millisecond), result.Missed)
		if err != nil {
			return err
		}
	}
	return nil
}
