package ebonyworks

import "context"

// TrafficPurpose tells why a host exchanges bytes with another process.
type TrafficPurpose int

const (
	// TrafficRequest is the first attempt of a request at a backend server.
	TrafficRequest TrafficPurpose = iota
	// TrafficHedge is an attempt beside one that is late.
	TrafficHedge
	// TrafficRetry is an attempt after one that failed on this host or another one.
	TrafficRetry
	// TrafficProbe is an attempt that tests a server that may be failing.
	TrafficProbe
	// TrafficDelegation is a request that a larger host runs.
	TrafficDelegation
	// TrafficStore is a read of the platform's store, also through another host.
	TrafficStore
	// TrafficMembership is a probe of another host with its gossip, or a crash report.
	TrafficMembership
	// TrafficPermits is a request for permits for rate-limited servers.
	TrafficPermits
)

// TrafficPurposes is the number of purposes.
const TrafficPurposes = int(TrafficPermits) + 1

// String returns the stable name of the purpose in metrics.
func (p TrafficPurpose) String() string {
	switch p {
	case TrafficHedge:
		return "hedge"
	case TrafficRetry:
		return "retry"
	case TrafficProbe:
		return "probe"
	case TrafficDelegation:
		return "delegation"
	case TrafficStore:
		return "store"
	case TrafficMembership:
		return "membership"
	case TrafficPermits:
		return "permits"
	default:
		return "request"
	}
}

// TrafficDirection tells whether this host sent the bytes or received them.
type TrafficDirection int

const (
	// TrafficSent are bytes that this host sent.
	TrafficSent TrafficDirection = iota
	// TrafficReceived are bytes that this host received.
	TrafficReceived
)

// TrafficDirections is the number of directions.
const TrafficDirections = int(TrafficReceived) + 1

// String returns the stable name of the direction in metrics.
func (d TrafficDirection) String() string {
	if d == TrafficReceived {
		return "received"
	}
	return "sent"
}

// TrafficPurposeKey is the key of the TrafficPurpose in the context of an attempt.
type TrafficPurposeKey struct{}

// TrafficPurposeOf returns the purpose of the attempt with the context, or
// TrafficRequest if the context has none.
func TrafficPurposeOf(ctx context.Context) TrafficPurpose {
	purpose, _ := ctx.Value(TrafficPurposeKey{}).(TrafficPurpose)
	return purpose
}

// LeaveReason tells why the first attempt of a request goes to a server of another
// failure domain than that of the host.
type LeaveReason string

const (
	// LeaveNone means that the server is in the domain of the host.
	LeaveNone LeaveReason = ""
	// LeaveAbsent means that no server of the domain accepts requests.
	LeaveAbsent LeaveReason = "absent"
	// LeaveBackoff means that the server of the domain asked for a backoff.
	LeaveBackoff LeaveReason = "backoff"
	// LeaveFailing means that it is failing.
	LeaveFailing LeaveReason = "failing"
	// LeaveSlow means that it is far slower than another one.
	LeaveSlow LeaveReason = "slow"
	// LeavePermit means that a request needs a permit there.
	LeavePermit LeaveReason = "permit"
	// LeaveFailures means that it failed some of its recent requests.
	LeaveFailures LeaveReason = "failures"
	// LeaveSlowStart means that it gets a part of its share only.
	LeaveSlowStart LeaveReason = "slow_start"
	// LeaveInFlight means that this host has several attempts in flight there.
	LeaveInFlight LeaveReason = "in_flight"
	// LeaveLatency means that its recent latency is higher, for none of the reasons
	// above.
	LeaveLatency LeaveReason = "latency"
)
