package ebonyworks

import (
	"context"
	"net/netip"
	"time"
)

// Host describes one incarnation of an entry host.
type Host struct {
	ID          HostID
	Incarnation Incarnation
	// Address is where the host accepts connections of its peers.
	Address netip.AddrPort
	Domain  DomainID
	Region  RegionID
	// Capacity is the CPU time per second in cores; zero if unknown.
	Capacity float32
}

// MemberState is the state of a member. Within one incarnation and refutation
// number, a later state replaces an earlier one.
type MemberState int

const (
	// MemberAlive means that the member answers probes.
	MemberAlive MemberState = iota
	// MemberSuspect means that the member didn't answer direct or indirect probes.
	MemberSuspect
	// MemberDead means that a suspicion wasn't refuted in time.
	MemberDead
	// MemberLeft means that the member announced that it is stopping.
	MemberLeft
)

// String returns the stable name of the state in metrics.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberDead:
		return "dead"
	default:
		return "left"
	}
}

// Member is the membership state of a host. Within one incarnation of the host,
// the larger (RefutationNumber, State) replaces the smaller.
type Member struct {
	Host Host
	// RefutationNumber is increased by the host itself to refute a suspicion.
	RefutationNumber uint64
	State            MemberState
}

// DrainState tells whether a backend server is draining. Draining never returns to
// false within one incarnation of the server. Incarnation zero means that the
// incarnation isn't known, since the state comes from the platform's list or a
// refused connection; such a state expires.
type DrainState struct {
	Server      ServerID
	Incarnation Incarnation
	Draining    bool
}

// Readiness tells whether a component allows the host to take requests.
type Readiness struct {
	// Reasons are why the host isn't ready; empty means that it is.
	Reasons []string
}

// Ready reports whether the component allows the host to take requests.
func (r Readiness) Ready() bool { return len(r.Reasons) == 0 }

// CrashReport tells that a server crashed or disconnected while it ran a request.
type CrashReport struct {
	Fingerprint Fingerprint
	Server      ServerID
	// Incarnation is that of the server when it crashed.
	Incarnation Incarnation
	// Age is the time since the crash. It is sent instead of a timestamp, since the
	// clocks of hosts differ.
	Age time.Duration
	// Cleared is set when a later attempt with the fingerprint succeeded.
	Cleared bool
}

// GossipMessage is what hosts send and answer with every probe. It carries the
// membership and other state that is spread by gossip.
type GossipMessage struct {
	From Host
	// Version is that of the configuration that the sender has in force.
	Version ConfigurationVersion
	// Synced is set if the sender has checked, since it started or was last paused,
	// that no configuration newer than Version could be found.
	Synced bool
	// Confirmed is set if the configuration service was read ConfirmedAge ago,
	// by the sender or another host, and held nothing newer than Version.
	Confirmed    bool
	ConfirmedAge time.Duration
	// ConfirmedBy is the host that read the service.
	ConfirmedBy HostID
	// Full requests the complete state of the receiver, not only recent changes.
	Full        bool
	Members     []Member
	DrainStates []DrainState
	Crashes     []CrashReport
	// RateLimitsKnown is set if the sender knows of servers with a rate limit.
	RateLimitsKnown bool
	// StoreEra is the era of the store of a revision in Version. It isn't part of the
	// revision, because hosts of versions that don't know eras compare revisions.
	StoreEra StoreEra
}

// Delivery tells whether a request that was sent to a peer was delivered.
type Delivery int

const (
	// DeliveryUnknown means that the peer may have acted on the request.
	DeliveryUnknown Delivery = iota
	// Delivered means that the peer replied.
	Delivered
	// NotDelivered means that no byte of the request was sent.
	NotDelivered
)

// Peer sends messages to other hosts. Implementations never retry by themselves.
type Peer interface {
	// Ping probes a host and exchanges gossip with it.
	Ping(ctx context.Context, to netip.AddrPort, message GossipMessage) (GossipMessage, error)
	// IndirectPing asks the host at via to probe the target, and reports whether the
	// target answered.
	IndirectPing(ctx context.Context, via, target netip.AddrPort) (bool, error)
	// FetchManifest returns the bytes of the newest manifest that the host accepted.
	FetchManifest(ctx context.Context, from netip.AddrPort) ([]byte, error)
	// FetchPart returns the bytes of the part with the digest.
	FetchPart(ctx context.Context, from netip.AddrPort, digest Digest) ([]byte, error)
	// Reserve forwards a reservation to the host that issued its ticket.
	Reserve(ctx context.Context, to Host, reservation Reservation) (Outcome, Delivery)
	// Outcome forwards a query for an outcome to a host.
	Outcome(ctx context.Context, to Host, ticket string) (Outcome, Delivery)
	// TransferLedger sends a closed ledger to a host.
	TransferLedger(ctx context.Context, to Host, ledger ClosedLedger) error
	// ReportCrashes sends crash reports to a host without waiting for the next ping.
	ReportCrashes(ctx context.Context, to netip.AddrPort, reports []CrashReport) error
}

// PeerHandler answers the messages of other hosts.
type PeerHandler interface {
	HandlePing(ctx context.Context, message GossipMessage) (GossipMessage, error)
	HandleIndirectPing(ctx context.Context, target netip.AddrPort) (bool, error)
	HandleFetchManifest(ctx context.Context) ([]byte, error)
	HandleFetchPart(ctx context.Context, digest Digest) ([]byte, error)
	HandleReserve(ctx context.Context, to Host, reservation Reservation) Outcome
	HandleOutcome(ctx context.Context, to Host, ticket string) Outcome
	HandleTransferLedger(ctx context.Context, ledger ClosedLedger) error
	HandleReportCrashes(ctx context.Context, reports []CrashReport) error
}

// ForwardPeer delegates opaque requests to other hosts. Implementations never
// retry by themselves.
type ForwardPeer interface {
	// Forward runs an idempotent request on the host. It returns NotDelivered if
	// the host didn't run the request and never will.
	Forward(ctx context.Context, to Host, request *ForwardRequest, delegation Delegation) (ForwardReply, Delivery)
}

// ForwardPeerHandler answers a ForwardPeer.
type ForwardPeerHandler interface {
	// HandleForward runs the request, or returns false if it didn't and never
	// will.
	HandleForward(ctx context.Context, request *ForwardRequest, delegation Delegation) (ForwardReply, bool)
}
