package event

import "github.com/ebonyworks/ebonyworks"

// Events of processes and settings, numbered from 1001.
const (
	// ProcessStarted is recorded when a process has read its settings and listens.
	ProcessStarted ebonyworks.EventID = 1001
	// SettingsReloaded is recorded when reloaded settings are in force.
	SettingsReloaded ebonyworks.EventID = 1002
	// SettingsRefused is recorded for each mistake in reloaded settings.
	SettingsRefused ebonyworks.EventID = 1003
	// SettingsNeedRestart is recorded when reloaded settings differ in fields
	// that a reload doesn't change.
	SettingsNeedRestart ebonyworks.EventID = 1004
	// ProcessStopping is recorded when a graceful shutdown begins.
	ProcessStopping ebonyworks.EventID = 1005
	// ProcessStopped is recorded when a graceful shutdown has ended.
	ProcessStopped ebonyworks.EventID = 1006
	// AcceptFailed is recorded when a listener or a connection to it fails.
	AcceptFailed ebonyworks.EventID = 1007
	// ConnectionFailed is recorded when a connection of a caller fails.
	ConnectionFailed ebonyworks.EventID = 1008
	// StopIncomplete is recorded when a graceful shutdown aborted requests in flight.
	StopIncomplete ebonyworks.EventID = 1009
	// CallerConnectionsClosed is recorded when connections are closed because too many are
	// open or they hold too much memory, at most once a second.
	CallerConnectionsClosed ebonyworks.EventID = 1010
	// PanicRecovered is recorded when a panic ended one piece of work, and the
	// process goes on.
	PanicRecovered ebonyworks.EventID = 1011
	// WarmupSlackTooSmall is recorded at the start if the slack of the bound on requests to
	// cold servers is too small for two hosts that issue permits at the same time.
	WarmupSlackTooSmall ebonyworks.EventID = 1012
	// CallerStreamsReset is recorded when streams are reset because their responses aren't
	// read and the connections hold too much memory, at most once a second.
	CallerStreamsReset ebonyworks.EventID = 1013
	// RecordingStarted is recorded when requests are being recorded to a file.
	RecordingStarted ebonyworks.EventID = 1101
	// RecordingIncomplete is recorded at the end of a recording that left out
	// requests or couldn't be written.
	RecordingIncomplete ebonyworks.EventID = 1102
)

var processEntries = []Entry{
	{ID: ProcessStarted, Level: Info, Message: "process started", Action: "None."},
	{ID: SettingsReloaded, Level: Info, Message: "settings reloaded", Action: "None."},
	{ID: SettingsRefused, Level: Error, Message: "reloaded settings are refused", Action: "Correct the settings at the stated place and reload; the earlier ones stay in force."},
	{ID: SettingsNeedRestart, Level: Warning, Message: "changed settings need a restart", Action: "Restart the host to apply the named fields."},
	{ID: ProcessStopping, Level: Info, Message: "process is stopping", Action: "None."},
	{ID: ProcessStopped, Level: Info, Message: "process stopped", Action: "None."},
	{ID: AcceptFailed, Level: Warning, Message: "listener failed", Action: "Check the descriptors and the address of the process."},
	{ID: ConnectionFailed, Level: Info, Message: "connection of a caller failed", Action: "None, unless it is frequent."},
	{ID: StopIncomplete, Level: Warning, Message: "planned stop ended requests in flight", Action: "Allow more time between the signals, or shorter route time-outs."},
	{ID: CallerConnectionsClosed, Level: Warning, Message: "connections of callers are closed: they hold too much", Action: "Find the callers that keep connections, or send and read slowly; add hosts if they all need theirs."},
	{ID: PanicRecovered, Level: Error, Message: "unexpected error ended one piece of work", Action: "Report it with the place and the stack; the process goes on."},
	{ID: WarmupSlackTooSmall, Level: Warning, Message: "slack for cold servers is too small: their bound isn't kept while two hosts issue permits", Action: "Set Bounds.WarmupSlack to 3 or more, or WarmupPerS lower than what the servers tolerate."},
	{ID: CallerStreamsReset, Level: Warning, Message: "calls of other hosts are ended: their responses aren't read, and connections hold too much", Action: "Find the hosts, or the unknown callers at the control address, that read slowly; look at the links to them."},
	{ID: RecordingStarted, Level: Warning, Message: "requests are being recorded", Action: "Expected only for trials: the file holds keys and rows."},
	{ID: RecordingIncomplete, Level: Warning, Message: "recording is incomplete", Action: "Record a shorter time or a lower rate, or check the space for the file."},
}
