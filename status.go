package ebonyworks

import "time"

// HostStatus is the state of a running host and its view of peers and servers.
type HostStatus struct {
	Host    Host
	Ready   bool
	Reasons []string
	Version ConfigurationVersion
	Stale   bool
	Peers   []Member
	Servers []ServerStatus
	// Unreachable are the names of the hosts and servers that this host can't reach.
	Unreachable []string
	// PlatformCalls counts the calls to the configuration service since start.
	PlatformCalls uint64
}

// ServerStatus is a host's view of one backend server.
type ServerStatus struct {
	Service     ServiceID
	Server      ServerID
	Incarnation Incarnation
	InUse       bool
	// Reason tells why the server is in or out of use.
	Reason   string
	InFlight int
	Limit    int
	Latency  time.Duration
	Share    float64
}

// StatusReporter describes the host to operators and to the load balancer.
type StatusReporter interface {
	// Status returns the current state.
	Status() HostStatus
	// Ready reports whether the load balancer should send requests, and the reasons
	// if it shouldn't.
	Ready() (bool, []string)
}
