package event

import "github.com/ebonyworks/ebonyworks"

// Events of backend servers and policy, numbered from 6001.
const (
	// ServerLeaving is recorded when a backend server is taken out of use because it is leaving.
	ServerLeaving ebonyworks.EventID = 6001
)

var serverEntries = []Entry{
	{ID: ServerLeaving, Level: Info, Message: "backend server is leaving", Action: "None."},
}
