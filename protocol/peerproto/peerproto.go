// Package peerproto maps the messages between entry hosts to and from their
// generated protobuf types.
package peerproto

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

// MaxNameBytes bounds the names of hosts, servers, domains and regions.
const MaxNameBytes = 255

// Errors of decoding. They are wrapped with the place of the fault.
var (
	// ErrInvalidName means that a name is empty or too long.
	ErrInvalidName = errors.New("name is empty or too long")
	// ErrInvalidAddress means that an address isn't a valid address and port.
	ErrInvalidAddress = errors.New("invalid address")
	// ErrDigestLength means that a digest doesn't have the length of a SHA-256.
	ErrDigestLength = errors.New("digest has the wrong length")
	// ErrUnknownState means that a member's state is unknown.
	ErrUnknownState = errors.New("unknown member state")
	// ErrMissingMessage means that a required message is absent.
	ErrMissingMessage = errors.New("required message is absent")
)

// EncodeGossipMessage returns the wire form of an exchange.
func EncodeGossipMessage(message ebonyworks.GossipMessage) *peerv1.Facts {
	facts := &peerv1.Facts{
		From:    EncodeHost(message.From),
		Mark:    encodeMark(message.Version),
		Crashes: EncodeCrashes(message.Crashes),
		Settled: message.Synced,
		Full:    message.Full,
	}
	if message.Confirmed {
		// Rounded up, so that no confirmation seems newer than it is.
		facts.ConfirmedBy = string(message.ConfirmedBy)
		facts.ConfirmedAgeMilliseconds = proto.Uint64(milliseconds(message.ConfirmedAge + time.Millisecond - 1))
	}
	for _, member := range message.Members {
		facts.Members = append(facts.Members, encodeMember(member))
	}
	facts.Departures = encodeDepartures(message.DrainStates)
	return facts
}

// DecodeGossipMessage returns the exchange, or an error if any fact is malformed.
func DecodeGossipMessage(facts *peerv1.Facts) (ebonyworks.GossipMessage, error) {
	message := ebonyworks.GossipMessage{
		Synced:       facts.GetSettled(),
		Confirmed:    facts != nil && facts.ConfirmedAgeMilliseconds != nil,
		ConfirmedAge: duration(facts.GetConfirmedAgeMilliseconds()),
		ConfirmedBy:  ebonyworks.HostID(facts.GetConfirmedBy()),
		Full:         facts.GetFull(),
	}
	if len(message.ConfirmedBy) > MaxNameBytes {
		return ebonyworks.GossipMessage{}, errors.Wrap(ErrInvalidName, "confirming host")
	}
	var err error
	if message.From, err = DecodeHost(facts.GetFrom()); err != nil {
		return ebonyworks.GossipMessage{}, errors.Wrap(err, "sender")
	}
	if message.Version, err = decodeMark(facts.GetMark()); err != nil {
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
		departure, err := decodeDeparture(wire)
		if err != nil {
			return ebonyworks.GossipMessage{}, errors.Wrap(err, "departure")
		}
		message.DrainStates = append(message.DrainStates, departure)
	}
	if message.Crashes, err = DecodeCrashes(facts.GetCrashes()); err != nil {
		return ebonyworks.GossipMessage{}, err
	}
	return message, nil
}

// EncodeHost returns the wire form of a host.
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

// DecodeHost returns the host, or an error if it has no name.
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

// EncodeAddress returns the binary form of an address, empty if it is invalid.
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

// DecodeAddress returns the address, or an error if the bytes aren't one.
func DecodeAddress(bytes []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(bytes); err != nil || !address.IsValid() {
		return netip.AddrPort{}, ErrInvalidAddress
	}
	return address, nil
}

// EncodeCrashes returns the wire form of crash reports.
func EncodeCrashes(reports []ebonyworks.CrashReport) []*peerv1.CrashReport {
	var crashes []*peerv1.CrashReport
	for _, report := range reports {
		crashes = append(crashes, &peerv1.CrashReport{
			Fingerprint:     uint64(report.Fingerprint),
			Server:          string(report.Server),
			Incarnation:     uint64(report.Incarnation),
			AgeMilliseconds: milliseconds(report.Age),
			Cleared:         report.Cleared,
		})
	}
	return crashes
}

// DecodeCrashes returns the crash reports, or an error if one is malformed.
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
			Age:         duration(crash.GetAgeMilliseconds()),
			Cleared:     crash.GetCleared(),
		})
	}
	return reports, nil
}

// DecodeDigest returns the digest, or an error if it has the wrong length.
func DecodeDigest(bytes []byte) (ebonyworks.Digest, error) {
	if len(bytes) != len(ebonyworks.Digest{}) {
		return ebonyworks.Digest{}, ErrDigestLength
	}
	return ebonyworks.Digest(bytes), nil
}

func encodeMark(mark ebonyworks.ConfigurationVersion) *peerv1.Mark {
	if mark == (ebonyworks.ConfigurationVersion{}) {
		return nil
	}
	return &peerv1.Mark{Revision: uint64(mark.Revision), Digest: mark.Digest[:]}
}

func decodeMark(wire *peerv1.Mark) (ebonyworks.ConfigurationVersion, error) {
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

func encodeDeparture(departure ebonyworks.DrainState) *peerv1.Departure {
	return &peerv1.Departure{
		Server:      string(departure.Server),
		Incarnation: uint64(departure.Incarnation),
		Leaving:     departure.Draining,
	}
}

func decodeDeparture(wire *peerv1.Departure) (ebonyworks.DrainState, error) {
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

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// maxMilliseconds keeps durations from the network from overflowing.
const maxMilliseconds = uint64(1<<63-1) / uint64(time.Millisecond)

func duration(milliseconds uint64) time.Duration {
	return time.Duration(min(milliseconds, maxMilliseconds)) * time.Millisecond
}
