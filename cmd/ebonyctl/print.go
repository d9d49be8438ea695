package main

import (
	"fmt"
	"io"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/configplan/retazos"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// printOptions are the flags of the print command.
type printOptions struct {
	output  string
	base    string
	first   string
	perHost bool
	// revision zero means the revision after that of the base.
	revision uint64
}

func newPrint() *cobra.Command {
	var options printOptions
	command := &cobra.Command{
		Use:   "print kitakaze|retazos",
		Short: "Print the documents of a shipped deployment",
		Long: "Print the documents of a shipped deployment, to a directory with one file for\n" +
			"each value or to standard output. The same flags give the same bytes.\n\n" +
			"On standard output a comment with its key stands before each value.",
		Example: "  ebonyctl print kitakaze --output published\n" +
			"  ebonyctl print kitakaze --base published --first 10.0.0.1:9000 --per-host --output next",
		ValidArgs: []string{"kitakaze", "retazos"},
		Args:      arguments(cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs)),
		RunE: func(command *cobra.Command, args []string) error {
			return printDeployment(command, args[0], options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.output, "output", "", "directory to write to; standard output if empty")
	flags.StringVar(&options.base, "base", "", "directory of the configuration that this one replaces; none if empty")
	flags.StringVar(&options.first, "first", "", "IP address and port of the first server (default 127.0.0.1:21000)")
	flags.BoolVar(&options.perHost, "per-host", false, "give servers consecutive IP addresses instead of consecutive ports")
	flags.Uint64Var(&options.revision, "revision", 0, "revision to publish (default one more than that of the base)")
	return command
}

func printDeployment(command *cobra.Command, name string, options printOptions) error {
	addresses := configplan.Addresses{PerHost: options.perHost}
	if options.first != "" {
		first, err := netip.ParseAddrPort(options.first)
		if err != nil {
			return cli.InvalidArguments(command, errors.Errorf("--first must be an IP address and port, not %q", options.first))
		}
		addresses.First = first
	}
	base, err := baseMark(options.base)
	if err != nil {
		return err
	}
	revision := ebonyworks.Revision(options.revision)
	if revision == 0 {
		revision = base.Revision + 1
	}
	plan := kitakaze.Plan(addresses)
	if name == "retazos" {
		plan = retazos.Plan(addresses)
	}
	publication, problems := plan.Publish(revision, base)
	if problems != nil {
		return &cli.InvalidInputError{Source: name, Problems: problems}
	}
	if options.output != "" {
		return configplan.Directory(options.output).Write(publication)
	}
	return printValues(command.OutOrStdout(), publication)
}

func baseMark(directory string) (ebonyworks.ConfigurationVersion, error) {
	if directory == "" {
		return ebonyworks.ConfigurationVersion{}, nil
	}
	publication, _, err := read(directory)
	if err != nil {
		return ebonyworks.ConfigurationVersion{}, err
	}
	return publication.Version(), nil
}

func printValues(w io.Writer, publication configdoc.Publication) error {
	for _, value := range publication.Values() {
		if _, err := fmt.Fprintf(w, "// %s\n%s", value.Key, value.Bytes); err != nil {
			return err
		}
	}
	return nil
}
