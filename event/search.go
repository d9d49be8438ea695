package event

import "github.com/ebonyworks/ebonyworks"

// Events of searches, numbered from 2001.
const (
	// SearchRestarted is recorded when a search restarts on another snapshot.
	SearchRestarted ebonyworks.EventID = 2001
)

var searchEntries = []Entry{
	{ID: SearchRestarted, Level: Info, Message: "search restarted on another snapshot", Action: "None, unless it is frequent: servers may drop snapshots too early."},
}
