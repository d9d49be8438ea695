// Package peerproto converts the messages between entry hosts to and from the
// generated protobuf types.
package peerproto

import (
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

// MaxNameBytes is the size limit of the names of hosts, servers, failure domains
// and regions.
const MaxNameBytes = 255

// Decoding errors. They may be wrapped with the name of the invalid part.
var (
	// ErrInvalidName means that a name is empty or too long.
	ErrInvalidName = errors.New("name is empty or too long")
	// ErrInvalidStatus means that a response has no valid status.
	ErrInvalidStatus = errors.New("response has no valid status")
	// ErrInvalidAddress means that an address isn't a valid address and port.
	ErrInvalidAddress = errors.New("invalid address")
	// ErrDigestLength means that a digest doesn't have the length of a SHA-256.
	ErrDigestLength = errors.New("digest has the wrong length")
	// ErrUnknownState means that the state of a member has no known value.
	ErrUnknownState = errors.New("unknown member state")
	// ErrMissingMessage means that a required protobuf message is absent.
	ErrMissingMessage = errors.New("required message is absent")
)

// EncodeGossipMessage encodes a gossip message.
func EncodeGossipMessage(message ebonyworks.GossipMessage) *peerv1.Facts {
	facts := &peerv1.Facts{
		From:    EncodeHost(message.From),
		Mark:    encodeVersion(message.Version),
		Crashes: EncodeCrashes(message.Crashes),
		Settled: message.Synced,
		Full:    message.Full,

		RateLimitsKnown: message.RateLimitsKnown,
		StoreEra:        uint32(message.StoreEra),
	}
	if message.Confirmed {
		// The age is rounded up, so that a confirmation never seems newer than it is.
		facts.ConfirmedBy = string(message.ConfirmedBy)
		facts.ConfirmedAgeMilliseconds = proto.Uint64(toMilliseconds(message.ConfirmedAge + time.Millisecond - 1))
	}
	for _, member := range message.Members {
		facts.Members = append(facts.Members, encodeMember(member))
	}
	facts.Departures = encodeDrainStates(message.DrainStates)
	return facts
}

// DecodeGossipMessage decodes a gossip message, or returns an error if any part of
// it is malformed.
func DecodeGossipMessage(facts *peerv1.Facts) (ebonyworks.GossipMessage, error) {
	message := ebonyworks.GossipMessage{
		Synced:       facts.GetSettled(),
		Confirmed:    facts != nil && facts.ConfirmedAgeMilliseconds != nil,
		ConfirmedAge: fromMilliseconds(facts.GetConfirmedAgeMilliseconds()),
		ConfirmedBy:  ebonyworks.HostID(facts.GetConfirmedBy()),
		Full:         facts.GetFull(),

		RateLimitsKnown: facts.GetRateLimitsKnown(),
		StoreEra:        ebonyworks.StoreEra(facts.GetStoreEra()),
	}
	if len(message.ConfirmedBy) > MaxNameBytes {
		return ebonyworks.GossipMessage{}, errors.Wrap(ErrInvalidName, "confirming host")
	}
	var err error
	if message.From, err = DecodeHost(facts.GetFrom()); err != nil {
		return ebonyworks.GossipMessage{}, errors.Wrap(err, "sender")
	}
	if message.Version, err = decodeVersion(facts.GetMark()); err != nil {
		return ebonyworks.GossipMessage{}, errors.Wrap(err, "mark")
	}
	for _, wire := range facts.GetMembers() {
		member, err := decodeMember(wire)
		if err != nil {
			return ebonyworks.GossipMessage{}, errors.Wrap(err, "member")
		}
		message.Members = append(message.Members, member)
	}
	for _, wire := range facts.GetDepartures() {
		state, err := decodeDrainState(wire)
		if err != nil {
			return ebonyworks.GossipMessage{}, errors.Wrap(err, "departure")
		}
		message.DrainStates = append(message.DrainStates, state)
	}
	if message.Crashes, err = DecodeCrashes(facts.GetCrashes()); err != nil {
		return ebonyworks.GossipMessage{}, err
	}
	return message, nil
}

// EncodeHost encodes a host.
func EncodeHost(host ebonyworks.Host) *peerv1.Host {
	return &peerv1.Host{
		Id:          string(host.ID),
		Incarnation: uint64(host.Incarnation),
		Address:     EncodeAddress(host.Address),
		Domain:      string(host.Domain),
		Region:      string(host.Region),
		Capacity:    host.Capacity,
	}
}

// DecodeHost decodes a host, or returns an error if a name or the address is
// invalid. The address may be absent.
func DecodeHost(wire *peerv1.Host) (ebonyworks.Host, error) {
	if !validName(wire.GetId()) || len(wire.GetDomain()) > MaxNameBytes || len(wire.GetRegion()) > MaxNameBytes {
		return ebonyworks.Host{}, ErrInvalidName
	}
	address, err := decodeOptionalAddress(wire.GetAddress())
	if err != nil {
		return ebonyworks.Host{}, err
	}
	return ebonyworks.Host{
		ID:          ebonyworks.HostID(wire.GetId()),
		Incarnation: ebonyworks.Incarnation(wire.GetIncarnation()),
		Address:     address,
		Domain:      ebonyworks.DomainID(wire.GetDomain()),
		Region:      ebonyworks.RegionID(wire.GetRegion()),
		Capacity:    wire.GetCapacity(),
	}, nil
}

// EncodeAddress returns the binary form of an address, or nil if it is invalid.
func EncodeAddress(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	bytes, err := address.MarshalBinary()
	if err != nil {
		return nil
	}
	return bytes
}

// DecodeAddress decodes the binary form of an address and port, or returns
// ErrInvalidAddress.
func DecodeAddress(bytes []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(bytes); err != nil || !address.IsValid() {
		return netip.AddrPort{}, ErrInvalidAddress
	}
	return address, nil
}

// EncodeCrashes encodes crash reports.
func EncodeCrashes(reports []ebonyworks.CrashReport) []*peerv1.CrashReport {
	var crashes []*peerv1.CrashReport
	for _, report := range reports {
		crashes = append(crashes, &peerv1.CrashReport{
			Fingerprint:     uint64(report.Fingerprint),
			Server:          string(report.Server),
			Incarnation:     uint64(report.Incarnation),
			AgeMilliseconds: toMilliseconds(report.Age),
			Cleared:         report.Cleared,
		})
	}
	return crashes
}

// DecodeCrashes decodes crash reports, or returns an error if the server name of one
// is too long.
func DecodeCrashes(crashes []*peerv1.CrashReport) ([]ebonyworks.CrashReport, error) {
	var reports []ebonyworks.CrashReport
	for _, crash := range crashes {
		if len(crash.GetServer()) > MaxNameBytes {
			return nil, errors.Wrap(ErrInvalidName, "crash report")
		}
		reports = append(reports, ebonyworks.CrashReport{
			Fingerprint: ebonyworks.Fingerprint(crash.GetFingerprint()),
			Server:      ebonyworks.ServerID(crash.GetServer()),
			Incarnation: ebonyworks.Incarnation(crash.GetIncarnation()),
			Age:         fromMilliseconds(crash.GetAgeMilliseconds()),
			Cleared:     crash.GetCleared(),
		})
	}
	return reports, nil
}

// EncodeFailureReport encodes which servers have failed requests.
func EncodeFailureReport(report ebonyworks.FailureReport) *peerv1.ReportRequest {
	wire := &peerv1.ReportRequest{Reporter: string(report.Reporter)}
	for _, known := range report.Servers {
		wire.Failures = append(wire.Failures, &peerv1.ServerFailures{
			Server:      string(known.Server),
			Incarnation: uint64(known.Incarnation),
			Failures:    uint32(min(max(known.Failures, 0), math.MaxInt32)),
		})
	}
	return wire
}

// DecodeFailureReport decodes which servers have failed requests, except those without a
// valid name or without failures. It returns false if none is left.
func DecodeFailureReport(wire *peerv1.ReportRequest) (ebonyworks.FailureReport, bool) {
	report := ebonyworks.FailureReport{Reporter: ebonyworks.HostID(wire.GetReporter())}
	for _, known := range wire.GetFailures() {
		if !validName(known.GetServer()) || known.GetFailures() == 0 {
			continue
		}
		report.Servers = append(report.Servers, ebonyworks.ServerFailures{
			Server:      ebonyworks.ServerID(known.GetServer()),
			Incarnation: ebonyworks.Incarnation(known.GetIncarnation()),
			Failures:    int(min(known.GetFailures(), math.MaxInt32)),
		})
	}
	return report, len(report.Servers) > 0 && validName(wire.GetReporter())
}

// DecodeDigest decodes a digest, or returns ErrDigestLength.
func DecodeDigest(bytes []byte) (ebonyworks.Digest, error) {
	if len(bytes) != len(ebonyworks.Digest{}) {
		return ebonyworks.Digest{}, ErrDigestLength
	}
	return ebonyworks.Digest(bytes), nil
}

func encodeVersion(version ebonyworks.ConfigurationVersion) *peerv1.Mark {
	if version == (ebonyworks.ConfigurationVersion{}) {
		return nil
	}
	return &peerv1.Mark{Revision: uint64(version.Revision), Digest: version.Digest[:]}
}

func decodeVersion(wire *peerv1.Mark) (ebonyworks.ConfigurationVersion, error) {
	if wire == nil {
		return ebonyworks.ConfigurationVersion{}, nil
	}
	digest, err := DecodeDigest(wire.GetDigest())
	return ebonyworks.ConfigurationVersion{Revision: ebonyworks.Revision(wire.GetRevision()), Digest: digest}, err
}

func encodeMember(member ebonyworks.Member) *peerv1.Member {
	return &peerv1.Member{
		Host:  EncodeHost(member.Host),
		Round: member.RefutationNumber,
		State: peerv1.MemberState(member.State + 1),
	}
}

func decodeMember(wire *peerv1.Member) (ebonyworks.Member, error) {
	host, err := DecodeHost(wire.GetHost())
	if err != nil {
		return ebonyworks.Member{}, err
	}
	state := ebonyworks.MemberState(wire.GetState() - 1)
	if state < ebonyworks.MemberAlive || state > ebonyworks.MemberLeft {
		return ebonyworks.Member{}, ErrUnknownState
	}
	return ebonyworks.Member{Host: host, RefutationNumber: wire.GetRound(), State: state}, nil
}

func encodeDrainState(state ebonyworks.DrainState) *peerv1.Departure {
	return &peerv1.Departure{
		Server:      string(state.Server),
		Incarnation: uint64(state.Incarnation),
		Leaving:     state.Draining,
	}
}

func decodeDrainState(wire *peerv1.Departure) (ebonyworks.DrainState, error) {
	if !validName(wire.GetServer()) {
		return ebonyworks.DrainState{}, ErrInvalidName
	}
	return ebonyworks.DrainState{
		Server:      ebonyworks.ServerID(wire.GetServer()),
		Incarnation: ebonyworks.Incarnation(wire.GetIncarnation()),
		Draining:    wire.GetLeaving(),
	}, nil
}

func decodeOptionalAddress(bytes []byte) (netip.AddrPort, error) {
	if len(bytes) == 0 {
		return netip.AddrPort{}, nil
	}
	return DecodeAddress(bytes)
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

func toMilliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// maxMilliseconds is the limit of durations from the network, so that their
// conversion to time.Duration can't overflow.
const maxMilliseconds = uint64(1<<63-1) / uint64(time.Millisecond)

func fromMilliseconds(milliseconds uint64) time.Duration {
	return time.Duration(min(milliseconds, maxMilliseconds)) * time.Millisecond
}
