package event

import "github.com/ebonyworks/ebonyworks"

// Events of stand-ins and tools, numbered from 7001; those of the load tool
// are numbered from 7501.
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
	// StandInDraining is recorded when a stand-in server starts to drain.
	StandInDraining ebonyworks.EventID = 7103
	// StandInReloaded is recorded when a stand-in has read its configuration again.
	StandInReloaded ebonyworks.EventID = 7104
	// StandInDown is recorded when a killed stand-in server can't run again.
	StandInDown ebonyworks.EventID = 7105
	// RunStarted is recorded when a run of the load tool starts.
	RunStarted ebonyworks.EventID = 7501
	// PhaseStarted is recorded when a phase of a run starts.
	PhaseStarted ebonyworks.EventID = 7502
	// FaultStarted is recorded when a fault was injected into stand-ins.
	FaultStarted ebonyworks.EventID = 7503
	// FaultEnded is recorded when an injected fault was removed.
	FaultEnded ebonyworks.EventID = 7504
	// FaultFailed is recorded when a fault couldn't be injected or removed.
	FaultFailed ebonyworks.EventID = 7505
	// CountersUnavailable is recorded when the counters of the stand-ins couldn't be read.
	CountersUnavailable ebonyworks.EventID = 7506
	// RunEnded is recorded when a run has ended.
	RunEnded ebonyworks.EventID = 7507
)

var toolEntries = []Entry{
	{ID: ToolStarted, Level: Info, Message: "tool started", Action: "None."},
	{ID: ToolFailed, Level: Error, Message: "tool failed", Action: "See the attributes."},
	{ID: ToolStopped, Level: Info, Message: "tool stopped", Action: "None."},
	{ID: StandInKilled, Level: Info, Message: "stand-in server killed", Action: "None."},
	{ID: StandInRestarted, Level: Info, Message: "stand-in server restarted", Action: "None."},
	{ID: StandInDraining, Level: Info, Message: "stand-in server is leaving", Action: "None."},
	{ID: StandInReloaded, Level: Info, Message: "stand-in reloaded its configuration", Action: "None."},
	{ID: StandInDown, Level: Error, Message: "stand-in server could not restart", Action: "See the error: its address may be in use. The results of the run are not usable."},
	{ID: RunStarted, Level: Info, Message: "run started", Action: "None."},
	{ID: PhaseStarted, Level: Info, Message: "phase started", Action: "None."},
	{ID: FaultStarted, Level: Info, Message: "fault started", Action: "None."},
	{ID: FaultEnded, Level: Info, Message: "fault ended", Action: "None."},
	{ID: FaultFailed, Level: Error, Message: "fault could not be changed", Action: "Check that the stand-in servers run; the results of the run are not usable."},
	{ID: CountersUnavailable, Level: Warning, Message: "counters of stand-ins could not be read", Action: "Check the administration addresses; the results lack the extra backend requests."},
	{ID: RunEnded, Level: Info, Message: "run ended", Action: "None."},
}
