package event

import "github.com/ebonyworks/ebonyworks"

// Events of backend servers and policy, numbered from 6001.
const (
	// ServerLeaving is recorded when a backend server is taken out of use because it is leaving.
	ServerLeaving ebonyworks.EventID = 6001
	// ServerReturned is recorded when a newer incarnation of a backend server is seen.
	ServerReturned ebonyworks.EventID = 6002
	// ServerFailing is recorded when attempts at a backend server keep failing.
	ServerFailing ebonyworks.EventID = 6003
	// ServerRecovered is recorded when a failing backend server serves again.
	ServerRecovered ebonyworks.EventID = 6004
)

var serverEntries = []Entry{
	{ID: ServerLeaving, Level: Info, Message: "backend server is leaving", Action: "None."},
	{ID: ServerReturned, Level: Info, Message: "backend server returned", Action: "None."},
	{ID: ServerFailing, Level: Warning, Message: "backend server is failing", Action: "Look at the server if it doesn't recover."},
	{ID: ServerRecovered, Level: Info, Message: "backend server recovered", Action: "None."},
}
