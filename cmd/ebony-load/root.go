package main

import (
	"context"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/load/scenario"
)

// run executes the tool and returns its exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Execute(ctx, newRoot(), args, stdout, stderr, "ebony-load: ")
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "ebony-load",
		Short: "Send load to entry hosts, inject faults and report what callers got",
		Long: "Send load to entry hosts, inject faults and report what callers got.\n\n" +
			"Exit status: 0 on success, 2 for invalid settings or arguments with all mistakes\n" +
			"listed on standard error, 1 for other failures.",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(command *cobra.Command, _ []string) error {
			return command.Help()
		},
	}
	root.SetFlagErrorFunc(cli.InvalidArguments)
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(newRun(), newList(), newSetup(), newTable(), newPlot(), newDissemination())
	return root
}

// sources are the files that describe an experiment.
type sources struct {
	settings      string
	configuration string
}

func (s *sources) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&s.settings, "settings", "", "settings file with the scenarios (JSON with comments)")
	flags.StringVar(&s.configuration, "configuration", "", "directory that ebonyctl has printed")
	// MarkFlagRequired fails only for flags that don't exist.
	_ = command.MarkFlagRequired("settings")
	_ = command.MarkFlagRequired("configuration")
}

// load reads both files and checks the settings against the configuration.
func (s *sources) load() (*scenario.Settings, *ebonyworks.Configuration, error) {
	_, configuration, problems, err := configplan.Directory(s.configuration).Read()
	if err != nil {
		return nil, nil, errors.Wrap(err, "read configuration")
	}
	if problems != nil {
		return nil, nil, &cli.InvalidInputError{Source: s.configuration, Problems: problems}
	}
	text, err := os.ReadFile(s.settings)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read settings")
	}
	settings, problems := scenario.Decode(text, configuration)
	if problems != nil {
		return nil, nil, &cli.InvalidInputError{Source: s.settings, Problems: problems}
	}
	return settings, configuration, nil
}

// find returns the named scenario.
func (s *sources) find(command *cobra.Command, settings *scenario.Settings, name string) (scenario.Scenario, error) {
	found, ok := settings.Scenario(name)
	if !ok {
		return found, cli.InvalidArguments(command, errors.Errorf("no scenario %q in %s", name, s.settings))
	}
	return found, nil
}
