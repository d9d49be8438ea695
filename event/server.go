package event

import "github.com/ebonyworks/ebonyworks"

// Events of backend servers and policy, numbered from 6001; those of the
// client of backend servers from 6501.
const (
	// ServerDraining is recorded when a backend server is no longer selected because it is draining.
	ServerDraining ebonyworks.EventID = 6001
	// ServerRestarted is recorded when a newer incarnation of a backend server is seen.
	ServerRestarted ebonyworks.EventID = 6002
	// ServerFailing is recorded when attempts at a backend server keep failing.
	ServerFailing ebonyworks.EventID = 6003
	// ServerRecovered is recorded when a failing backend server serves again.
	ServerRecovered ebonyworks.EventID = 6004
	// ServerBackoff is recorded when a backend server asks this host for no requests for a time.
	ServerBackoff ebonyworks.EventID = 6005
	// ServerRateLimited is recorded when a backend server names a rate limit, or another one than before.
	ServerRateLimited ebonyworks.EventID = 6006
	// ServerRateLimitEnded is recorded when a backend server no longer names a rate limit.
	ServerRateLimitEnded ebonyworks.EventID = 6007
	// PermitsUnavailable is recorded when the host that issues permits for rate-limited servers doesn't answer or declines, at most once a second.
	PermitsUnavailable ebonyworks.EventID = 6008
	// ServerCold is recorded when a backend server is cold, because it has started, or may have, or says so.
	ServerCold ebonyworks.EventID = 6009
	// ServerWarm is recorded when a backend server is no longer cold.
	ServerWarm ebonyworks.EventID = 6010
	// DomainEvacuated is recorded when the evacuation of a failure domain begins.
	DomainEvacuated ebonyworks.EventID = 6011
	// DomainReturned is recorded when the evacuation of a failure domain is withdrawn.
	DomainReturned ebonyworks.EventID = 6012
	// ServerUnreachable is recorded for the first connection to a backend server that fails after one that was opened.
	ServerUnreachable ebonyworks.EventID = 6501
	// ServerReachable is recorded when a connection is opened after one that failed.
	ServerReachable ebonyworks.EventID = 6502
	// ServerReplyInvalid is recorded for an invalid reply, at most once a second for each backend server.
	ServerReplyInvalid ebonyworks.EventID = 6503
	// ServerReturnTimeInvalid is recorded when the return time in a backend server's reply can't be used as stated, at most once a second for each server.
	ServerReturnTimeInvalid ebonyworks.EventID = 6504
	// ServerRateLimitInvalid is recorded when the rate limit in a backend server's response can't be used as stated, at most once a second for each server.
	ServerRateLimitInvalid ebonyworks.EventID = 6505
)

var serverEntries = []Entry{
	{ID: ServerDraining, Level: Info, Message: "backend server is leaving", Action: "None."},
	{ID: ServerRestarted, Level: Info, Message: "backend server returned", Action: "None."},
	{ID: ServerFailing, Level: Warning, Message: "backend server is failing", Action: "Look at the server if it doesn't recover."},
	{ID: ServerRecovered, Level: Info, Message: "backend server recovered", Action: "None."},
	{ID: ServerBackoff, Level: Info, Message: "backend server asks for no requests for a time", Action: "Look at the load of the server if it is frequent."},
	{ID: ServerRateLimited, Level: Info, Message: "backend server names a rate limit", Action: "Look at the load of the server; add servers if callers are refused for it."},
	{ID: ServerRateLimitEnded, Level: Info, Message: "backend server no longer names a rate limit", Action: "None."},
	{ID: PermitsUnavailable, Level: Warning, Message: "no permits for rate-limited backend servers", Action: "Check the host named if it lasts; until another host takes over, such servers get no requests."},
	{ID: ServerCold, Level: Info, Message: "backend server is cold", Action: "None if it has started; otherwise look at what its entry in the store says."},
	{ID: ServerWarm, Level: Info, Message: "backend server is warm", Action: "None."},
	{ID: DomainEvacuated, Level: Info, Message: "failure domain is evacuated", Action: "Withdraw the evacuation when the servers of the domain may be used again."},
	{ID: DomainReturned, Level: Info, Message: "evacuation of a failure domain is withdrawn", Action: "None."},
	{ID: ServerUnreachable, Level: Warning, Message: "backend server is unreachable", Action: "Check the server if it should be running."},
	{ID: ServerReachable, Level: Info, Message: "backend server is reachable again", Action: "None."},
	{ID: ServerReplyInvalid, Level: Warning, Message: "reply of backend server is invalid", Action: "Check the version and the address of the server."},
	{ID: ServerReturnTimeInvalid, Level: Warning, Message: "backend server states a return time that can't be used as it stands", Action: "Correct the server; the line says what was taken instead."},
	{ID: ServerRateLimitInvalid, Level: Warning, Message: "backend server names a rate limit that can't be used as it stands", Action: "Correct the server; the line says what was taken instead."},
}
