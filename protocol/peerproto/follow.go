package peerproto

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

// EncodeFollowRequest returns the wire form of a question for changes of the store.
func EncodeFollowRequest(after ebonyworks.StoreRevision, wait time.Duration) *peerv1.FollowRequest {
	return &peerv1.FollowRequest{After: uint64(after), WaitMilliseconds: milliseconds(wait)}
}

// DecodeFollowRequest returns the revision and the wait.
func DecodeFollowRequest(wire *peerv1.FollowRequest) (ebonyworks.StoreRevision, time.Duration) {
	return ebonyworks.StoreRevision(wire.GetAfter()), duration(wire.GetWaitMilliseconds())
}

// EncodeStoreReport returns the wire form of a report, whose changes are encoded
// already.
func EncodeStoreReport(report *ebonyworks.StoreReport, changes []byte) *peerv1.FollowResponse {
	wire := &peerv1.FollowResponse{
		AsOf:            uint64(report.AsOf),
		AgeMilliseconds: milliseconds(report.Age),
		Stale:           report.Stale,
		Complete:        report.Complete,
		Changes:         changes,
	}
	for _, host := range report.Via {
		wire.Via = append(wire.Via, string(host))
	}
	if report.SinceRecovery > 0 {
		returned := milliseconds(report.SinceRecovery)
		wire.ReturnedMilliseconds = &returned
	}
	return wire
}

// DecodeStoreReport returns the report without its changes.
func DecodeStoreReport(wire *peerv1.FollowResponse) ebonyworks.StoreReport {
	report := ebonyworks.StoreReport{
		StoreListing: ebonyworks.StoreListing{AsOf: ebonyworks.StoreRevision(wire.GetAsOf()), Complete: wire.GetComplete()},
		Age:          duration(wire.GetAgeMilliseconds()),
		Stale:        wire.GetStale(),
	}
	for _, host := range wire.GetVia() {
		report.Via = append(report.Via, ebonyworks.HostID(host))
	}
	if wire.ReturnedMilliseconds != nil {
		report.SinceRecovery = max(duration(wire.GetReturnedMilliseconds()), 1)
	}
	return report
}
