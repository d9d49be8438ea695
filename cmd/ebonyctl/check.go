package main

import (
	"fmt"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/settings"
)

func newCheck() *cobra.Command {
	var files []string
	command := &cobra.Command{
		Use:   "check [DIRECTORY]...",
		Short: "Check configurations and settings without a running system",
		Long: "Check configurations and settings without a running system.\n\n" +
			"Every mistake is listed with its place. Warnings name what hosts accept but may\n" +
			"not be intended; they don't change the exit status.",
		Example: "  ebonyctl check published\n  ebonyctl check --settings examples/ebonyd.json",
		RunE: func(command *cobra.Command, directories []string) error {
			if len(directories)+len(files) == 0 {
				return cli.InvalidArguments(command, errors.New("nothing to check"))
			}
			return check(command, directories, files)
		},
	}
	command.Flags().StringArrayVar(&files, "settings", nil, "settings file of ebonyd; may be repeated")
	return command
}

// check looks at all inputs before it fails, so that one run lists every
// mistake. Invalid input takes precedence over other failures.
func check(command *cobra.Command, directories, files []string) error {
	all := &cli.InvalidInputError{}
	var failure error
	note := func(err error) {
		var wrong *cli.InvalidInputError
		if !errors.As(err, &wrong) {
			failure = errors.Join(failure, err)
			return
		}
		for _, problem := range wrong.Problems {
			all.Problems = append(all.Problems, ebonyworks.Problem{Message: cli.FormatProblem(wrong.Source, problem)})
		}
	}
	for _, directory := range directories {
		if err := checkConfiguration(command, directory); err != nil {
			note(err)
		}
	}
	for _, file := range files {
		if err := checkSettings(command, file); err != nil {
			note(err)
		}
	}
	if all.Problems == nil {
		return failure
	}
	if failure != nil {
		all.Problems = append(all.Problems, ebonyworks.Problem{Message: failure.Error()})
	}
	return all
}

func checkConfiguration(command *cobra.Command, directory string) error {
	publication, configuration, err := read(directory)
	if err != nil {
		return err
	}
	for _, warning := range configplan.Warnings(configuration) {
		command.PrintErrln("warning: " + cli.FormatProblem(directory, warning))
	}
	services, servers := 0, 0
	for _, catalogue := range configuration.Catalogues {
		services += len(catalogue.Services)
		for _, service := range catalogue.Services {
			servers += len(service.Servers)
		}
	}
	mark := publication.Version()
	_, err = fmt.Fprintf(command.OutOrStdout(), "%s: valid, revision %d, digest %x, routes %d, catalogues %d, services %d, servers %d\n",
		directory, mark.Revision, mark.Digest, len(configuration.Routes), len(configuration.Catalogues), services, servers)
	return err
}

func checkSettings(command *cobra.Command, file string) error {
	loaded, problems := settings.Load(file)
	if problems != nil {
		return &cli.InvalidInputError{Source: file, Problems: problems}
	}
	_, err := fmt.Fprintf(command.OutOrStdout(), "%s: valid, host %s, domain %s, ticket keys %d\n",
		file, loaded.Host, loaded.Domain, len(loaded.TicketKeys))
	return err
}
