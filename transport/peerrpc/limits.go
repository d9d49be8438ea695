package peerrpc

import (
	"time"

	"github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1/peerv1connect"
)

// Limits on messages, in bytes after decompression.
const (
	maxFactsBytes       = 64 << 10
	maxReservationBytes = 1 << 20
	// maxDocumentBytes leaves room for the envelope around a value of 1 MiB.
	maxDocumentBytes = 1<<20 + 1<<10
	// maxReportBytes has room for all that a gateway knows of the store: a
	// configuration of 1 MiB, the largest value of the store, and 2,400
	// registrations of 300 bytes, twice for another encoding.
	maxReportBytes = 4 << 20
	maxLedgerBytes = 16 << 20
	// maxForwardBytes has room for the body of a delegated request, which has 1 MiB
	// at most, and for the signatures of all shards.
	maxForwardBytes = 4 << 20
)

// Limits on the time of one call. The context of the caller can shorten them.
const (
	factsTime       = 2 * time.Second
	documentTime    = 5 * time.Second
	ledgerTime      = 10 * time.Second
	reservationTime = 2 * time.Minute
	forwardTime     = 2 * time.Minute
	// followTime is longer than any host waits for a change.
	followTime = 30 * time.Second
)

// limit bounds the calls of one procedure.
type limit struct {
	requestBytes  int
	responseBytes int
	time          time.Duration
}

func limitOf(procedure string) limit {
	switch procedure {
	case peerv1connect.PeerServiceFollowProcedure:
		return limit{requestBytes: maxFactsBytes, responseBytes: maxReportBytes, time: followTime}
	case peerv1connect.PeerServiceFetchHeadProcedure, peerv1connect.PeerServiceFetchPartProcedure:
		return limit{requestBytes: maxFactsBytes, responseBytes: maxDocumentBytes, time: documentTime}
	case peerv1connect.PeerServiceForwardProcedure:
		return limit{requestBytes: maxForwardBytes, responseBytes: maxForwardBytes, time: forwardTime}
	case peerv1connect.PeerServiceReserveProcedure, peerv1connect.PeerServiceOutcomeProcedure:
		return limit{requestBytes: maxReservationBytes, responseBytes: maxReservationBytes, time: reservationTime}
	case peerv1connect.PeerServiceHandOverProcedure:
		return limit{requestBytes: maxLedgerBytes, responseBytes: maxFactsBytes, time: ledgerTime}
	default:
		return limit{requestBytes: maxFactsBytes, responseBytes: maxFactsBytes, time: factsTime}
	}
}
