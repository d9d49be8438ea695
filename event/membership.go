package event

import "github.com/ebonyworks/ebonyworks"

// Events of membership, numbered from 5001.
const (
	// MemberJoined is recorded when a host is first seen alive.
	MemberJoined ebonyworks.EventID = 5001
	// MemberSuspected is recorded when a member answered neither direct nor indirect probes.
	MemberSuspected ebonyworks.EventID = 5002
	// MemberDied is recorded when a suspicion wasn't refuted in time.
	MemberDied ebonyworks.EventID = 5003
	// MemberRecovered is recorded when a suspected or dead member is alive again.
	MemberRecovered ebonyworks.EventID = 5004
	// MemberLeft is recorded when a member announces that it is stopping.
	MemberLeft ebonyworks.EventID = 5005
	// SuspicionRefuted is recorded when this host was wrongly suspected.
	SuspicionRefuted ebonyworks.EventID = 5006
	// ProcessPaused is recorded when this process was suspended for a while.
	ProcessPaused ebonyworks.EventID = 5007
	// StateRefreshed is recorded when the state is fresh again after a start or a pause.
	StateRefreshed ebonyworks.EventID = 5008
	// HostReplaced is recorded when a later incarnation of this host is seen.
	HostReplaced ebonyworks.EventID = 5009
	// HostListUnavailable is recorded when the platform's host list can't be read.
	HostListUnavailable ebonyworks.EventID = 5010
	// AllPeersLost is recorded when no peer answers any more.
	AllPeersLost ebonyworks.EventID = 5011
	// DrainStateLearned is recorded when a backend server is first known to be draining.
	DrainStateLearned ebonyworks.EventID = 5012
	// HostCountEstimated is recorded when the number of hosts among which connections and retries are divided changes.
	HostCountEstimated ebonyworks.EventID = 5013
)

var membershipEntries = []Entry{
	{ID: MemberJoined, Level: Info, Message: "member joined", Action: "None."},
	{ID: MemberSuspected, Level: Info, Message: "member suspected", Action: "None, unless it is frequent: look at the network between the hosts."},
	{ID: MemberDied, Level: Warning, Message: "member declared dead", Action: "Check the host, unless it was stopped on purpose."},
	{ID: MemberRecovered, Level: Info, Message: "member is alive again", Action: "None."},
	{ID: MemberLeft, Level: Info, Message: "member left", Action: "None."},
	{ID: SuspicionRefuted, Level: Info, Message: "refuted a suspicion about this host", Action: "None, unless it is frequent: this host is overloaded or badly connected."},
	{ID: ProcessPaused, Level: Warning, Message: "process was paused", Action: "Look for the cause of the pause: memory pressure, a stopped machine, a debugger."},
	{ID: StateRefreshed, Level: Info, Message: "state refreshed after a start or a pause", Action: "None."},
	{ID: HostReplaced, Level: Error, Message: "a later incarnation of this host is running", Action: "Stop this process, or give the other one its own host name."},
	{ID: HostListUnavailable, Level: Warning, Message: "host list unavailable", Action: "Check the platform; members are still found through peers and seeds."},
	{ID: AllPeersLost, Level: Warning, Message: "no peer answers", Action: "Check the network of this host."},
	{ID: DrainStateLearned, Level: Info, Message: "learned that a backend server is leaving", Action: "None."},
	{ID: HostCountEstimated, Level: Info, Message: "number of hosts that share servers is estimated", Action: "None."},
}
