package peerproto

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	peerv1 "github.com/ebonyworks/ebonyworks/protocol/dispatch/ebonyworks/peer/v1"
)

// EncodeFollowRequest encodes a long poll for changes of the platform's store
// after a revision. The peer may wait for a change for the given time. If the peer doesn't
// know eras, it gets the revision without its era.
func EncodeFollowRequest(after ebonyworks.StoreRevision, wait time.Duration, knowsEras bool) *peerv1.FollowRequest {
	era := uint32(after.Era())
	if !knowsEras {
		after = ebonyworks.StoreRevision(after.InEra())
	}
	return &peerv1.FollowRequest{After: uint64(after), WaitMilliseconds: toMilliseconds(wait), Era: &era}
}

// DecodeFollowRequest returns the revision and the time to wait for a change, and whether
// the sender knows eras. Senders that state them only within revisions do.
func DecodeFollowRequest(wire *peerv1.FollowRequest) (after ebonyworks.StoreRevision, wait time.Duration, knowsEras bool) {
	after = ebonyworks.StoreRevision(wire.GetAfter())
	knowsEras = wire.Era != nil || after.Era() > 0
	if after > 0 && after.Era() == 0 {
		after = ebonyworks.NewStoreRevision(ebonyworks.StoreEra(wire.GetEra()), uint64(after))
	}
	return after, fromMilliseconds(wire.GetWaitMilliseconds()), knowsEras
}

// EncodeStoreReport encodes a report on the platform's store. The changes are
// passed in encoded form.
func EncodeStoreReport(report *ebonyworks.StoreReport, changes []byte, knowsEras bool) *peerv1.FollowResponse {
	wire := &peerv1.FollowResponse{
		AsOf:            uint64(report.AsOf),
		AgeMilliseconds: toMilliseconds(report.Age),
		Stale:           report.Stale,
		Complete:        report.Complete,
		Changes:         changes,
		KnowsEras:       knowsEras,
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

// DecodeStoreReport decodes a report without its changes. Hosts that don't state that they
// know eras may still state them within revisions.
func DecodeStoreReport(wire *peerv1.FollowResponse) ebonyworks.StoreReport {
	report := ebonyworks.StoreReport{
		StoreListing: ebonyworks.StoreListing{AsOf: ebonyworks.StoreRevision(wire.GetAsOf()), Complete: wire.GetComplete()},
		Age:          fromMilliseconds(wire.GetAgeMilliseconds()),
		Stale:        wire.GetStale(),
	}
	report.LacksEra = !wire.GetKnowsEras() && report.AsOf.Era() == 0
	for _, host := range wire.GetVia() {
		report.Via = append(report.Via, ebonyworks.HostID(host))
	}
	if wire.ReturnedMilliseconds != nil {
		report.SinceRecovery = max(fromMilliseconds(wire.GetReturnedMilliseconds()), 1)
	}
	return report
}
