package event

import "github.com/ebonyworks/ebonyworks"

// Events of searches, numbered from 2001; those of forwarded requests from 2501.
const (
	// SearchRestarted is recorded when a search restarts on another snapshot.
	SearchRestarted ebonyworks.EventID = 2001
	// RequestForwarded is recorded when a forwarded request was answered in full.
	RequestForwarded ebonyworks.EventID = 2501
	// RequestIncomplete is recorded when the answer to a forwarded request lacks the parts of some shards.
	RequestIncomplete ebonyworks.EventID = 2502
	// RequestUnanswered is recorded when a forwarded request got no response from a backend server.
	RequestUnanswered ebonyworks.EventID = 2503
	// LinesDropped is recorded when log lines were dropped.
	LinesDropped ebonyworks.EventID = 2504
	// RequestDelegated is recorded when another host answered a forwarded request.
	RequestDelegated ebonyworks.EventID = 2505
	// DelegationTimedOut is recorded when another host didn't answer a forwarded request in time.
	DelegationTimedOut ebonyworks.EventID = 2506
)

var searchEntries = []Entry{
	{ID: SearchRestarted, Level: Info, Message: "search restarted on another snapshot", Action: "None, unless it is frequent: servers may drop snapshots too early."},
	{ID: RequestForwarded, Level: Info, Message: "request answered", Action: "None."},
	{ID: RequestIncomplete, Level: Info, Message: "request answered without some shards", Action: "Look at the attempts of the missing shards in the line."},
	{ID: RequestUnanswered, Level: Warning, Message: "request not answered by a server", Action: "The line names the reason and the attempts; see docs/OPERATIONS.md."},
	{ID: LinesDropped, Level: Warning, Message: "log lines were left out", Action: "None: the volume of lines is bounded; metrics count everything."},
	{ID: RequestDelegated, Level: Info, Message: "request answered by another host", Action: "None: the line of the other host has the attempts."},
	{ID: DelegationTimedOut, Level: Warning, Message: "other host did not answer a request in time", Action: "Look at the other host, unless it was stopped."},
}
