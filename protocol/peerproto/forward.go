package peerproto

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

// EncodeForwardRequest returns the wire form of a request. The arrival becomes the
// time since then.
func EncodeForwardRequest(request *ebonyworks.ForwardRequest, terms ebonyworks.Delegation, now time.Time) *peerv1.ForwardRequest {
	return &peerv1.ForwardRequest{
		Revision:             uint64(terms.Revision),
		Id:                   string(request.ID),
		Host:                 request.Host,
		Method:               request.Method,
		Target:               request.Target,
		Header:               encodeFields(request.Header),
		Body:                 request.Body,
		ElapsedMicroseconds:  microseconds(now.Sub(request.Arrival)),
		PatienceMicroseconds: microseconds(request.CallerTimeout),
		Fallbacks:            encodeTags(terms.Fallbacks),
	}
}

// DecodeForwardRequest returns the request and what the host that runs it keeps to.
func DecodeForwardRequest(wire *peerv1.ForwardRequest, now time.Time) (*ebonyworks.ForwardRequest, ebonyworks.Delegation, error) {
	if !validName(wire.GetId()) || wire.GetMethod() == "" || wire.GetTarget() == "" {
		return nil, ebonyworks.Delegation{}, ErrInvalidName
	}
	terms := ebonyworks.Delegation{
		Revision:  ebonyworks.Revision(wire.GetRevision()),
		Fallbacks: decodeTags(wire.GetFallbacks()),
	}
	return &ebonyworks.ForwardRequest{
		ID:            ebonyworks.RequestID(wire.GetId()),
		Host:          wire.GetHost(),
		Method:        wire.GetMethod(),
		Target:        wire.GetTarget(),
		Header:        decodeFields(wire.GetHeader()),
		Body:          wire.GetBody(),
		Arrival:       now.Add(-positive(wire.GetElapsedMicroseconds())),
		CallerTimeout: positive(wire.GetPatienceMicroseconds()),
	}, terms, nil
}

// EncodeForwardReply returns the wire form of a reply, or of a declined request.
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
		RetryAfterMilliseconds: milliseconds(reply.RetryAfter),
		Reason:                 reply.Reason,
		Departures:             encodeDepartures(reply.DrainStates),
	}
}

// DecodeForwardReply returns the reply, or false if the request was declined.
func DecodeForwardReply(wire *peerv1.ForwardResponse) (ebonyworks.ForwardReply, bool) {
	if wire.GetDeclined() {
		return ebonyworks.ForwardReply{}, false
	}
	return ebonyworks.ForwardReply{
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
		RetryAfter:  relative(int64(min(wire.GetRetryAfterMilliseconds(), math.MaxInt32)), time.Millisecond),
		Reason:      wire.GetReason(),
		DrainStates: decodeDepartures(wire.GetDepartures()),
	}, true
}

func encodeDepartures(departures []ebonyworks.DrainState) []*peerv1.Departure {
	encoded := make([]*peerv1.Departure, 0, len(departures))
	for _, departure := range departures {
		encoded = append(encoded, encodeDeparture(departure))
	}
	return encoded
}

// decodeDepartures leaves out what names no server.
func decodeDepartures(wire []*peerv1.Departure) []ebonyworks.DrainState {
	var departures []ebonyworks.DrainState
	for _, fact := range wire[:min(len(wire), maxReplyDepartures)] {
		if departure, err := decodeDeparture(fact); err == nil {
			departures = append(departures, departure)
		}
	}
	return departures
}

// maxReplyDepartures bounds the servers that a reply names: more than a request has
// attempts.
const maxReplyDepartures = 4096

// encodeTags returns the tags in little-endian order.
func encodeTags(tags []ebonyworks.ServerHash) []byte {
	encoded := make([]byte, 0, tagBytes*len(tags))
	for _, tag := range tags {
		encoded = binary.LittleEndian.AppendUint16(encoded, uint16(tag))
	}
	return encoded
}

func decodeTags(encoded []byte) []ebonyworks.ServerHash {
	tags := make([]ebonyworks.ServerHash, 0, len(encoded)/tagBytes)
	for ; len(encoded) >= tagBytes; encoded = encoded[tagBytes:] {
		tags = append(tags, ebonyworks.ServerHash(binary.LittleEndian.Uint16(encoded)))
	}
	return tags
}

// tagBytes is the encoded size of a tag.
const tagBytes = 2

func microseconds(duration time.Duration) uint64 {
	return uint64(max(duration, 0).Microseconds())
}

// positive returns a duration from the network within the bounds of relative
// times.
func positive(count uint64) time.Duration {
	return relative(int64(min(count, math.MaxInt64)), time.Microsecond)
}
