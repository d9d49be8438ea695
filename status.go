package ebonyworks

import "time"

// HostStatus is what a running host believes about itself and others.
type HostStatus struct {
	Host    Host
	Ready   bool
	Reasons []string
	Mark    Mark
	Stale   bool
	Peers   []Member
	Servers []ServerStatus
	// Unseen names the hosts and servers that this host can't reach.
	Unseen []string
	// PlatformCalls counts the calls to the configuration service since start.
	PlatformCalls uint64
}

// ServerStatus is what a host believes about one backend server.
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
	// Status returns the current beliefs.
	Status() HostStatus
	// Ready reports whether the load balancer should send requests, and if
	// not, why.
	Ready() (bool, []string)
}
