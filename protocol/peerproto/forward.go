package peerproto

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

// EncodeForwardRequest encodes a request that another host is to run. The arrival
// is sent as the time elapsed since then, because the clocks of hosts differ.
func EncodeForwardRequest(request *ebonyworks.ForwardRequest, delegation ebonyworks.Delegation, now time.Time) *peerv1.ForwardRequest {
	return &peerv1.ForwardRequest{
		Revision:             uint64(delegation.Revision),
		Id:                   string(request.ID),
		Host:                 request.Host,
		Method:               request.Method,
		Target:               request.Target,
		Header:               encodeFields(request.Header),
		Body:                 request.Body,
		ElapsedMicroseconds:  toMicroseconds(now.Sub(request.Arrival)),
		PatienceMicroseconds: toMicroseconds(request.CallerTimeout),
		Fallbacks:            encodeServerHashes(delegation.Fallbacks),
		TransitMicroseconds:  toMicroseconds(request.CallerTransit),
	}
}

// DecodeForwardRequest decodes a request and the delegation that the host that runs
// it follows.
func DecodeForwardRequest(wire *peerv1.ForwardRequest, now time.Time) (*ebonyworks.ForwardRequest, ebonyworks.Delegation, error) {
	if !validName(wire.GetId()) || wire.GetMethod() == "" || wire.GetTarget() == "" {
		return nil, ebonyworks.Delegation{}, ErrInvalidName
	}
	delegation := ebonyworks.Delegation{
		Revision:  ebonyworks.Revision(wire.GetRevision()),
		Fallbacks: decodeServerHashes(wire.GetFallbacks()),
	}
	return &ebonyworks.ForwardRequest{
		ID:            ebonyworks.RequestID(wire.GetId()),
		Host:          wire.GetHost(),
		Method:        wire.GetMethod(),
		Target:        wire.GetTarget(),
		Header:        decodeFields(wire.GetHeader()),
		Body:          wire.GetBody(),
		Arrival:       now.Add(-fromMicroseconds(wire.GetElapsedMicroseconds())),
		CallerTimeout: fromMicroseconds(wire.GetPatienceMicroseconds()),
		CallerTransit: fromMicroseconds(wire.GetTransitMicroseconds()),
	}, delegation, nil
}

// EncodeForwardReply encodes a reply, or that the request was declined if accepted
// is false.
func EncodeForwardReply(reply *ebonyworks.ForwardReply, accepted bool) *peerv1.ForwardResponse {
	if !accepted {
		return &peerv1.ForwardResponse{Declined: true}
	}
	return &peerv1.ForwardResponse{
		Kind:                   peerv1.ReplyKind(reply.Kind),
		Status:                 uint32(reply.Response.Status),
		Header:                 encodeFields(reply.Response.Header),
		Body:                   reply.Response.Body,
		Signature:              reply.Response.Signature,
		Signatures:             reply.Signatures,
		Missing:                uint32(reply.Missing),
		Records:                reply.Records,
		RetryAfterMilliseconds: toMilliseconds(reply.RetryAfter),
		Reason:                 reply.Reason,
		Departures:             encodeDrainStates(reply.DrainStates),
		RateLimits:             encodeRateLimits(reply.RateLimits),
	}
}

// DecodeForwardReply decodes a reply. It returns false if the request was declined, and
// an error if the relayed response has no valid status.
func DecodeForwardReply(wire *peerv1.ForwardResponse) (ebonyworks.ForwardReply, bool, error) {
	if wire.GetDeclined() {
		return ebonyworks.ForwardReply{}, false, nil
	}
	reply := ebonyworks.ForwardReply{
		Kind: ebonyworks.ReplyKind(wire.GetKind()),
		Response: ebonyworks.ServerResponse{
			Status:    int(wire.GetStatus()),
			Header:    decodeFields(wire.GetHeader()),
			Body:      wire.GetBody(),
			Signature: wire.GetSignature(),
		},
		Signatures:  wire.GetSignatures(),
		Missing:     int(wire.GetMissing()),
		Records:     wire.GetRecords(),
		RetryAfter:  boundedDuration(int64(min(wire.GetRetryAfterMilliseconds(), math.MaxInt32)), time.Millisecond),
		Reason:      wire.GetReason(),
		DrainStates: decodeDrainStates(wire.GetDepartures()),
		RateLimits:  decodeRateLimits(wire.GetRateLimits()),
	}
	if reply.Kind == ebonyworks.ReplyRelayed && !reply.Response.HasValidStatus() {
		return ebonyworks.ForwardReply{}, false, ErrInvalidStatus
	}
	return reply, true, nil
}

func encodeDrainStates(states []ebonyworks.DrainState) []*peerv1.Departure {
	encoded := make([]*peerv1.Departure, 0, len(states))
	for _, state := range states {
		encoded = append(encoded, encodeDrainState(state))
	}
	return encoded
}

// decodeDrainStates decodes up to maxReplyDrainStates entries. It omits entries
// without a valid server name.
func decodeDrainStates(wire []*peerv1.Departure) []ebonyworks.DrainState {
	var states []ebonyworks.DrainState
	for _, encoded := range wire[:min(len(wire), maxReplyDrainStates)] {
		if state, err := decodeDrainState(encoded); err == nil {
			states = append(states, state)
		}
	}
	return states
}

// maxReplyDrainStates is the largest number of drain states that is decoded from a
// reply. It is more than the number of attempts of a request.
const maxReplyDrainStates = 4096

// encodeServerHashes encodes each hash as two bytes in little-endian order.
func encodeServerHashes(hashes []ebonyworks.ServerHash) []byte {
	encoded := make([]byte, 0, serverHashBytes*len(hashes))
	for _, hash := range hashes {
		encoded = binary.LittleEndian.AppendUint16(encoded, uint16(hash))
	}
	return encoded
}

func decodeServerHashes(encoded []byte) []ebonyworks.ServerHash {
	hashes := make([]ebonyworks.ServerHash, 0, len(encoded)/serverHashBytes)
	for ; len(encoded) >= serverHashBytes; encoded = encoded[serverHashBytes:] {
		hashes = append(hashes, ebonyworks.ServerHash(binary.LittleEndian.Uint16(encoded)))
	}
	return hashes
}

// serverHashBytes is the encoded size of a server hash.
const serverHashBytes = 2

func toMicroseconds(duration time.Duration) uint64 {
	return uint64(max(duration, 0).Microseconds())
}

// fromMicroseconds returns a duration from the network, clamped to
// maxRelativeTime.
func fromMicroseconds(count uint64) time.Duration {
	return boundedDuration(int64(min(count, math.MaxInt64)), time.Microsecond)
}
