package peerrpc

import (
	"time"

	"github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1/peerv1connect"
)

// Limits on messages, in bytes after decompression. maxGossipBytes also applies to all
// small messages.
const (
	maxGossipBytes      = 64 << 10
	maxReservationBytes = 1 << 20
	// maxPermitBytes allows the limits of 8,192 servers, and the servers of all shards.
	maxPermitBytes = 1 << 20
	// maxDocumentBytes allows a value of 1 MiB and the message around it.
	maxDocumentBytes = 1<<20 + 1<<10
	// maxReportBytes allows a report on the whole store: a configuration of 1 MiB,
	// which is the largest value of the store, and 2,400 registrations of 300 bytes.
	// The sum is doubled, because the report is encoded differently.
	maxReportBytes = 4 << 20
	maxLedgerBytes = 16 << 20
	// maxForwardBytes allows the body of a delegated request, which has 1 MiB at most,
	// and the signatures of all shards.
	maxForwardBytes = 4 << 20
)

// Timeouts of one call. The context of the caller can shorten them.
const (
	gossipTimeout      = 2 * time.Second
	documentTimeout    = 5 * time.Second
	ledgerTimeout      = 10 * time.Second
	reservationTimeout = 2 * time.Minute
	forwardTimeout     = 2 * time.Minute
	// followTimeout is longer than a Follow call may wait for a change.
	followTimeout = 30 * time.Second
)

// limit bounds the calls of one procedure.
type limit struct {
	requestBytes  int
	responseBytes int
	timeout       time.Duration
}

// limitOf returns the limit of the procedure.
func limitOf(procedure string) limit {
	switch procedure {
	case peerv1connect.PeerServiceFollowProcedure:
		return limit{requestBytes: maxGossipBytes, responseBytes: maxReportBytes, timeout: followTimeout}
	case peerv1connect.PeerServiceFetchHeadProcedure, peerv1connect.PeerServiceFetchPartProcedure:
		return limit{requestBytes: maxGossipBytes, responseBytes: maxDocumentBytes, timeout: documentTimeout}
	case peerv1connect.PeerServiceForwardProcedure:
		return limit{requestBytes: maxForwardBytes, responseBytes: maxForwardBytes, timeout: forwardTimeout}
	case peerv1connect.PeerServiceReserveProcedure, peerv1connect.PeerServiceOutcomeProcedure:
		return limit{requestBytes: maxReservationBytes, responseBytes: maxReservationBytes, timeout: reservationTimeout}
	case peerv1connect.PeerServiceTakePermitsProcedure:
		return limit{requestBytes: maxPermitBytes, responseBytes: maxPermitBytes, timeout: gossipTimeout}
	case peerv1connect.PeerServiceHandOverProcedure:
		return limit{requestBytes: maxLedgerBytes, responseBytes: maxGossipBytes, timeout: ledgerTimeout}
	default:
		return limit{requestBytes: maxGossipBytes, responseBytes: maxGossipBytes, timeout: gossipTimeout}
	}
}
