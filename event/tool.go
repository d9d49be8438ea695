package event

import "github.com/ebonyworks/ebonyworks"

// Events of stand-ins and tools, numbered from 7001.
const (
	// ToolStarted is recorded when a stand-in or tool has started.
	ToolStarted ebonyworks.EventID = 7001
)

var toolEntries = []Entry{
	{ID: ToolStarted, Level: Info, Message: "tool started", Action: "None."},
}
