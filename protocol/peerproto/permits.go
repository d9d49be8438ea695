package peerproto

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

const (
	// maxRateLimits bounds the rate limits that are decoded from one message.
	maxRateLimits = 8192
	// maxPermitGroups bounds the groups of one request, and maxGroupServers the servers
	// of one group.
	maxPermitGroups = 4096
	maxGroupServers = 256
	// maxWarmup bounds the remaining warm-up of a server. Services warm up within
	// seconds, so a longer time is an error of the sender.
	maxWarmup = 24 * time.Hour
)

// EncodePermitRequest encodes a request for permits.
func EncodePermitRequest(request ebonyworks.PermitRequest) *peerv1.TakePermitsRequest {
	wire := &peerv1.TakePermitsRequest{
		Service:  string(request.Service),
		Priority: int32(request.Priority),
		Needed:   uint32(max(request.Needed, 0)),
		Limits:   encodeRateLimits(request.Limits),
	}
	if request.Known {
		wire.KnownAgeMilliseconds = proto.Uint64(toMilliseconds(request.KnownAge + time.Millisecond - 1))
	}
	for _, group := range request.Groups {
		encoded := &peerv1.PermitGroup{Optional: group.Optional, Servers: make([]string, 0, len(group.Servers))}
		for _, server := range group.Servers {
			encoded.Servers = append(encoded.Servers, string(server))
		}
		wire.Groups = append(wire.Groups, encoded)
	}
	return wire
}

// DecodePermitRequest decodes a request for permits.
func DecodePermitRequest(wire *peerv1.TakePermitsRequest) (ebonyworks.PermitRequest, error) {
	if len(wire.GetGroups()) > maxPermitGroups || len(wire.GetService()) > MaxNameBytes {
		return ebonyworks.PermitRequest{}, ErrInvalidName
	}
	request := ebonyworks.PermitRequest{
		Service:  ebonyworks.ServiceID(wire.GetService()),
		Priority: int(wire.GetPriority()),
		Needed:   int(min(wire.GetNeeded(), maxPermitGroups)),
		Limits:   decodeRateLimits(wire.GetLimits()),
		Known:    wire.KnownAgeMilliseconds != nil,
		KnownAge: fromMilliseconds(wire.GetKnownAgeMilliseconds()),
	}
	for _, encoded := range wire.GetGroups() {
		if len(encoded.GetServers()) == 0 || len(encoded.GetServers()) > maxGroupServers {
			return ebonyworks.PermitRequest{}, ErrMissingMessage
		}
		group := ebonyworks.PermitGroup{Optional: encoded.GetOptional()}
		for _, server := range encoded.GetServers() {
			if !validName(server) {
				return ebonyworks.PermitRequest{}, ErrInvalidName
			}
			group.Servers = append(group.Servers, ebonyworks.ServerID(server))
		}
		request.Groups = append(request.Groups, group)
	}
	return request, nil
}

// EncodePermitReply encodes the answer to a request for permits.
func EncodePermitReply(reply ebonyworks.PermitReply) *peerv1.TakePermitsResponse {
	wire := &peerv1.TakePermitsResponse{
		Declined:               reply.Declined,
		RetryAfterMilliseconds: toMilliseconds(reply.RetryAfter + time.Millisecond - 1),
		Limits:                 encodeRateLimits(reply.Limits),
	}
	for _, index := range reply.Granted {
		wire.Granted = append(wire.Granted, uint32(index+1))
	}
	return wire
}

// DecodePermitReply decodes the answer to a request for permits. The sender checks that
// the indexes are in range.
func DecodePermitReply(wire *peerv1.TakePermitsResponse) ebonyworks.PermitReply {
	reply := ebonyworks.PermitReply{
		Declined:   wire.GetDeclined(),
		RetryAfter: boundedDuration(int64(min(wire.GetRetryAfterMilliseconds(), math.MaxInt32)), time.Millisecond),
		Limits:     decodeRateLimits(wire.GetLimits()),
	}
	for _, index := range wire.GetGranted() {
		reply.Granted = append(reply.Granted, int(min(index, math.MaxInt32))-1)
	}
	return reply
}

func encodeRateLimits(limits []ebonyworks.RateLimit) []*peerv1.RateLimit {
	var encoded []*peerv1.RateLimit
	for _, limit := range limits {
		wire := &peerv1.RateLimit{
			Server:            string(limit.Server),
			Incarnation:       uint64(limit.Incarnation),
			Limited:           limit.Limited,
			RequestsPerSecond: float64(limit.Rate),
			// The age is rounded up, so that a statement never seems later than it is.
			AgeMilliseconds: toMilliseconds(limit.Age + time.Millisecond - 1),
		}
		if limit.WarmupRate > 0 {
			// The remaining time is rounded up, so that no host ends the warm-up early.
			wire.WarmupMilliseconds = toMilliseconds(limit.Warmup + time.Millisecond - 1)
			wire.WarmupPending = limit.WarmupPending
			wire.WarmupRequestsPerSecond = float64(limit.WarmupRate)
			wire.WarmupAgeMilliseconds = proto.Uint64(toMilliseconds(limit.WarmupAge + time.Millisecond - 1))
		}
		encoded = append(encoded, wire)
	}
	return encoded
}

// decodeRateLimits decodes up to maxRateLimits entries. It omits entries without a valid
// server name or rate.
func decodeRateLimits(wire []*peerv1.RateLimit) []ebonyworks.RateLimit {
	var limits []ebonyworks.RateLimit
	for _, encoded := range wire[:min(len(wire), maxRateLimits)] {
		rate := encoded.GetRequestsPerSecond()
		if !validName(encoded.GetServer()) || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			continue
		}
		limit := ebonyworks.RateLimit{
			Server:      ebonyworks.ServerID(encoded.GetServer()),
			Incarnation: ebonyworks.Incarnation(encoded.GetIncarnation()),
			Limited:     encoded.GetLimited(),
			Rate:        ebonyworks.RequestRate(rate),
			Age:         fromMilliseconds(encoded.GetAgeMilliseconds()),
		}
		if warmupRate := encoded.GetWarmupRequestsPerSecond(); warmupRate > 0 && !math.IsInf(warmupRate, 0) && encoded.WarmupAgeMilliseconds != nil {
			limit.Warmup = min(fromMilliseconds(encoded.GetWarmupMilliseconds()), maxWarmup)
			limit.WarmupAge = fromMilliseconds(encoded.GetWarmupAgeMilliseconds())
			limit.WarmupPending = encoded.GetWarmupPending()
			limit.WarmupRate = ebonyworks.RequestRate(warmupRate)
		}
		limits = append(limits, limit)
	}
	return limits
}
