package event

import "github.com/ebonyworks/ebonyworks"

// Events of processes and settings, numbered from 1001.
const (
	// ProcessStarted is recorded when a process has read its settings and listens.
	ProcessStarted ebonyworks.EventID = 1001
)

var processEntries = []Entry{
	{ID: ProcessStarted, Level: Info, Message: "process started", Action: "None."},
}
