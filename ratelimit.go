package ebonyworks

import (
	"context"
	"time"
)

// RequestRate is a number of requests a second.
type RequestRate float64

// RateLimitReport is what one response of a server says about its rate limit. The
// zero value says nothing.
type RateLimitReport struct {
	// Stated is set if the response tells whether the server has a limit.
	Stated bool
	// Limited is set if the response names a limit. It implies Stated.
	Limited bool
	// Rate is the number of requests a second that the server takes from all hosts
	// together. It is finite and not negative, and holds only if Limited is set.
	Rate RequestRate
	// Problem explains a value that isn't used as it stands, for the log.
	Problem string
}

// RateLimit is the rate limit of one incarnation of a server, as its last response
// that a host knows of stated it.
type RateLimit struct {
	Server      ServerID
	Incarnation Incarnation
	// Limited is false if the server named no limit any more.
	Limited bool
	// Rate is finite and not negative. It is zero unless Limited is set.
	Rate RequestRate
	// Age is the time since the response. It is sent instead of a timestamp, since the
	// clocks of hosts differ. It is UnstatedAge if the server named no limit yet.
	Age time.Duration
	// Warmup is the remaining time for which the server is cold; zero if it is warm, or
	// if nothing is known of that. WarmupAge is the time since the evidence for it.
	Warmup, WarmupAge time.Duration
	// WarmupPending is set if the warm-up begins with the first indication that the server
	// is alive: it was unreachable and may have restarted.
	WarmupPending bool
	// WarmupRate is the number of requests a second that the server accepts from all
	// hosts together while it is cold. It is positive if anything is known of that.
	WarmupRate RequestRate
}

// UnstatedAge is the age of a RateLimit that holds only the cold state. It is far longer
// than any limit is known, so that such a limit replaces none.
const UnstatedAge = 10 * 365 * 24 * time.Hour

// Effective returns the number of requests a second that the server accepts from all
// hosts together: the lower of its own limit and that of its warm-up. It returns false if
// there is none.
func (l RateLimit) Effective() (RequestRate, bool) {
	switch {
	case l.Warmup <= 0:
		return l.Rate, l.Limited
	case !l.Limited:
		return l.WarmupRate, true
	default:
		return min(l.Rate, l.WarmupRate), true
	}
}

// PermitGroup asks for a permit for one of several replicas.
type PermitGroup struct {
	// Servers are rate-limited servers that respond equally well. They aren't empty.
	Servers []ServerID
	// Optional is set if the request can use a server without a limit instead.
	Optional bool
}

// PermitRequest asks for permits to send one request to rate-limited servers.
type PermitRequest struct {
	// Service and Priority compare the request with others that need the same servers.
	Service  ServiceID
	Priority int
	// Groups are the permits that the request needs, each for one of its shards.
	Groups []PermitGroup
	// Needed is the number of groups that aren't optional and without whose permits
	// the request can't be answered.
	Needed int
	// Limits are what the sender has learned since its last request.
	Limits []RateLimit
	// Known is set if the sender knows the limits that the issuer had KnownAge ago.
	Known    bool
	KnownAge time.Duration
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	// Declined is set if the host doesn't issue permits.
	Declined bool
	// Granted has the index of the permitted server for each group, or NoPermit. It is
	// empty if the request was refused.
	Granted []int
	// RetryAfter is the time after which a request that was refused may succeed.
	RetryAfter time.Duration
	// Limits are what the issuer has learned since the sender's last request.
	Limits []RateLimit
}

// NoPermit stands for no server in PermitReply.Granted.
const NoPermit = -1

// PermitPeer requests permits from other hosts. Implementations never retry by
// themselves.
type PermitPeer interface {
	// TakePermits takes permits from the host. They are used up even if the reply is
	// lost.
	TakePermits(ctx context.Context, from Host, request PermitRequest) (PermitReply, error)
}

// PermitPeerHandler answers a PermitPeer.
type PermitPeerHandler interface {
	// HandleTakePermits issues permits, or declines.
	HandleTakePermits(ctx context.Context, request PermitRequest) (PermitReply, error)
}
