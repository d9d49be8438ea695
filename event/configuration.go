package event

import "github.com/ebonyworks/ebonyworks"

// Events of configuration, numbered from 4001.
const (
	// ConfigurationAccepted is recorded when a configuration is in force.
	ConfigurationAccepted ebonyworks.EventID = 4001
)

var configurationEntries = []Entry{
	{ID: ConfigurationAccepted, Level: Info, Message: "configuration accepted", Action: "None."},
}
