package event

import "github.com/ebonyworks/ebonyworks"

// Events of membership, numbered from 5001.
const (
	// MemberJoined is recorded when a host is first seen alive.
	MemberJoined ebonyworks.EventID = 5001
)

var membershipEntries = []Entry{
	{ID: MemberJoined, Level: Info, Message: "member joined", Action: "None."},
}
