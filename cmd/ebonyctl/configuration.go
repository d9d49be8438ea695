package main

import (
	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/operator"
	"github.com/ebonyworks/ebonyworks/protocol/notice"
	"github.com/ebonyworks/ebonyworks/usage"
)

// read returns the publication in a directory and its configuration.
func read(directory string) (notice.Publication, *ebonyworks.Configuration, error) {
	publication, configuration, problems, err := operator.Directory(directory).Read()
	if err != nil {
		return publication, nil, err
	}
	if problems != nil {
		return publication, nil, &usage.Error{Source: directory, Problems: problems}
	}
	return publication, configuration, nil
}
