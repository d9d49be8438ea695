package ebonyworks

import (
	"context"
	"net/netip"
	"time"
)

// Host is one incarnation of an entry host.
type Host struct {
	ID          HostID
	Incarnation Incarnation
	// Address is where the host accepts peers.
	Address netip.AddrPort
	Domain  DomainID
	Region  RegionID
	// Capacity is the processor time per second in cores; zero if unknown.
	Capacity float32
}

// MemberState is the state of a member. The order is that of precedence
// within one incarnation.
type MemberState int

const (
	// MemberAlive means that the member answers.
	MemberAlive MemberState = iota
	// MemberSuspect means that the member didn't answer direct or indirect probes.
	MemberSuspect
	// MemberDead means that a suspicion wasn't refuted in time.
	MemberDead
	// MemberLeft means that the member said that it is stopping.
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

// Member is a fact about a host. Within one incarnation of the host, the
// larger (Round, State) replaces the smaller.
type Member struct {
	Host Host
	// Round is raised by the host itself to refute a suspicion.
	Round uint64
	State MemberState
}

// Departure is a fact about a backend server. Leaving never returns to false
// within one incarnation of the server. Incarnation zero stands for a fact
// without an incarnation, from the platform's list or a refused connection;
// such a fact expires.
type Departure struct {
	Server      ServerID
	Incarnation Incarnation
	Leaving     bool
}

// Readiness tells whether a component allows the host to take requests.
type Readiness struct {
	// Reasons are why the host isn't ready; empty means that it is.
	Reasons []string
}

// Ready reports whether nothing stands against taking requests.
func (r Readiness) Ready() bool { return len(r.Reasons) == 0 }

// CrashReport tells that a server went away while it ran a request.
type CrashReport struct {
	Fingerprint Fingerprint
	Server      ServerID
	// Incarnation is the server's life that ended.
	Incarnation Incarnation
	// Age is the time since the death; it replaces a time stamp, since the
	// clocks of hosts differ.
	Age time.Duration
	// Cleared is set when a later try of the fingerprint succeeded.
	Cleared bool
}

// Exchange is the message that hosts exchange with every probe.
type Exchange struct {
	From Host
	// Mark is the configuration that the sender has in force.
	Mark Mark
	// Settled is set if the sender has checked, since it started or was last
	// paused, that no newer configuration than Mark could be found.
	Settled bool
	// Confirmed is set if the configuration service was read ConfirmedAge ago,
	// by the sender or another host, and showed nothing newer than Mark.
	Confirmed    bool
	ConfirmedAge time.Duration
	// ConfirmedBy is the host that read the service.
	ConfirmedBy HostID
	// Full asks the receiver for all that it knows, not only recent facts.
	Full       bool
	Members    []Member
	Departures []Departure
	Crashes    []CrashReport
}

// Delivery tells what is known of a request that was sent to a peer.
type Delivery int

const (
	// DeliveryUnknown means that the peer may have acted on the request.
	DeliveryUnknown Delivery = iota
	// Delivered means that the peer replied.
	Delivered
	// NotDelivered means that no byte of the request was sent.
	NotDelivered
)

// Peer sends messages to other hosts. Implementations never resend by
// themselves.
type Peer interface {
	// Exchange probes a host and swaps facts with it.
	Exchange(ctx context.Context, to netip.AddrPort, message Exchange) (Exchange, error)
	// Relay asks the host at via to probe the target, and reports if it answered.
	Relay(ctx context.Context, via, target netip.AddrPort) (bool, error)
	// FetchHead returns the bytes of the newest head that the host accepted.
	FetchHead(ctx context.Context, from netip.AddrPort) ([]byte, error)
	// FetchPart returns the bytes of the part with the digest.
	FetchPart(ctx context.Context, from netip.AddrPort, digest Digest) ([]byte, error)
	// Reserve forwards a reservation to the host that issued its ticket.
	Reserve(ctx context.Context, to Host, reservation Reservation) (Outcome, Delivery)
	// Outcome forwards a query for an outcome to a host.
	Outcome(ctx context.Context, to Host, ticket string) (Outcome, Delivery)
	// HandOver gives a closed ledger to a host.
	HandOver(ctx context.Context, to Host, ledger ClosedLedger) error
	// Report sends crash reports to a host without waiting for the next exchange.
	Report(ctx context.Context, to netip.AddrPort, reports []CrashReport) error
}

// PeerHandler answers the messages of other hosts.
type PeerHandler interface {
	HandleExchange(ctx context.Context, message Exchange) (Exchange, error)
	HandleRelay(ctx context.Context, target netip.AddrPort) (bool, error)
	HandleFetchHead(ctx context.Context) ([]byte, error)
	HandleFetchPart(ctx context.Context, digest Digest) ([]byte, error)
	HandleReserve(ctx context.Context, to Host, reservation Reservation) Outcome
	HandleOutcome(ctx context.Context, to Host, ticket string) Outcome
	HandleHandOver(ctx context.Context, ledger ClosedLedger) error
	HandleReport(ctx context.Context, reports []CrashReport) error
}

// ForwardPeer runs opaque requests on other hosts. Implementations never
// resend by themselves.
type ForwardPeer interface {
	// Forward runs an idempotent request on the host. It returns NotDelivered
	// if the host didn't run it and never will.
	Forward(ctx context.Context, to Host, request *ForwardRequest, delegation Delegation) (ForwardReply, Delivery)
}

// ForwardPeerHandler answers a ForwardPeer.
type ForwardPeerHandler interface {
	// HandleForward runs the request, or returns false if it didn't and never
	// will.
	HandleForward(ctx context.Context, request *ForwardRequest, delegation Delegation) (ForwardReply, bool)
}
