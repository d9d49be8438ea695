package event

import "github.com/ebonyworks/ebonyworks"

// Events of stand-ins and tools, numbered from 7001.
const (
	// ToolStarted is recorded when a stand-in or tool has started.
	ToolStarted ebonyworks.EventID = 7001
	// ToolFailed is recorded when a stand-in or tool can't continue.
	ToolFailed ebonyworks.EventID = 7002
	// ToolStopped is recorded when a stand-in or tool has stopped in an orderly way.
	ToolStopped ebonyworks.EventID = 7003
	// StandInKilled is recorded when a stand-in server crashes or is killed.
	StandInKilled ebonyworks.EventID = 7101
	// StandInRestarted is recorded when a stand-in server runs again.
	StandInRestarted ebonyworks.EventID = 7102
	// StandInLeaving is recorded when a stand-in server starts to drain.
	StandInLeaving ebonyworks.EventID = 7103
	// StandInReloaded is recorded when a stand-in has read its configuration again.
	StandInReloaded ebonyworks.EventID = 7104
)

var toolEntries = []Entry{
	{ID: ToolStarted, Level: Info, Message: "tool started", Action: "None."},
	{ID: ToolFailed, Level: Error, Message: "tool failed", Action: "See the attributes."},
	{ID: ToolStopped, Level: Info, Message: "tool stopped", Action: "None."},
	{ID: StandInKilled, Level: Info, Message: "stand-in server killed", Action: "None."},
	{ID: StandInRestarted, Level: Info, Message: "stand-in server restarted", Action: "None."},
	{ID: StandInLeaving, Level: Info, Message: "stand-in server is leaving", Action: "None."},
	{ID: StandInReloaded, Level: Info, Message: "stand-in reloaded its configuration", Action: "None."},
}
