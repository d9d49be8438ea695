package main

import (
	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// read returns the publication in a directory and its configuration.
func read(directory string) (configdoc.Publication, *ebonyworks.Configuration, error) {
	publication, configuration, problems, err := configplan.Directory(directory).Read()
	if err != nil {
		return publication, nil, err
	}
	if problems != nil {
		return publication, nil, &cli.InvalidInputError{Source: directory, Problems: problems}
	}
	return publication, configuration, nil
}
