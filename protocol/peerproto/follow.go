package peerproto

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

// EncodeFollowRequest encodes a long poll for changes of the platform's store
// after a revision. The peer may wait for a change for the given time.
func EncodeFollowRequest(after ebonyworks.StoreRevision, wait time.Duration) *peerv1.FollowRequest {
	return &peerv1.FollowRequest{After: uint64(after), WaitMilliseconds: toMilliseconds(wait)}
}

// DecodeFollowRequest returns the revision and the time to wait for a change.
func DecodeFollowRequest(wire *peerv1.FollowRequest) (ebonyworks.StoreRevision, time.Duration) {
	return ebonyworks.StoreRevision(wire.GetAfter()), fromMilliseconds(wire.GetWaitMilliseconds())
}

// EncodeStoreReport encodes a report on the platform's store. The changes are
// passed in encoded form.
func EncodeStoreReport(report *ebonyworks.StoreReport, changes []byte) *peerv1.FollowResponse {
	wire := &peerv1.FollowResponse{
		AsOf:            uint64(report.AsOf),
		AgeMilliseconds: toMilliseconds(report.Age),
		Stale:           report.Stale,
		Complete:        report.Complete,
		Changes:         changes,
	}
	for _, host := range report.Via {
		wire.Via = append(wire.Via, string(host))
	}
	if report.SinceRecovery > 0 {
		sinceRecovery := toMilliseconds(report.SinceRecovery)
		wire.ReturnedMilliseconds = &sinceRecovery
	}
	return wire
}

// DecodeStoreReport decodes a report without its changes.
func DecodeStoreReport(wire *peerv1.FollowResponse) ebonyworks.StoreReport {
	report := ebonyworks.StoreReport{
		StoreListing: ebonyworks.StoreListing{AsOf: ebonyworks.StoreRevision(wire.GetAsOf()), Complete: wire.GetComplete()},
		Age:          fromMilliseconds(wire.GetAgeMilliseconds()),
		Stale:        wire.GetStale(),
	}
	for _, host := range wire.GetVia() {
		report.Via = append(report.Via, ebonyworks.HostID(host))
	}
	if wire.ReturnedMilliseconds != nil {
		report.SinceRecovery = max(fromMilliseconds(wire.GetReturnedMilliseconds()), 1)
	}
	return report
}
