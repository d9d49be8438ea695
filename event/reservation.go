package event

import "github.com/ebonyworks/ebonyworks"

// Events of reservations and quarantine, numbered from 3001.
const (
	// LedgerTransferred is recorded when a stopping host has transferred its ledger to a peer.
	LedgerTransferred ebonyworks.EventID = 3001
	// LedgerTransferIncomplete is recorded when a stopping host could transfer a ledger to fewer than two peers.
	LedgerTransferIncomplete ebonyworks.EventID = 3002
	// ReservationUnknown is recorded when a reservation has an unknown outcome: it may or may not have run.
	ReservationUnknown ebonyworks.EventID = 3003
	// RequestSuspected is recorded when the connection to a server was lost while it ran a request, which may have crashed it.
	RequestSuspected ebonyworks.EventID = 3101
	// RequestQuarantined is recorded when two servers were lost while they ran the same request, which is then refused.
	RequestQuarantined ebonyworks.EventID = 3102
)

var reservationEntries = []Entry{
	{ID: LedgerTransferred, Level: Info, Message: "ledger handed over", Action: "None."},
	{ID: LedgerTransferIncomplete, Level: Warning, Message: "ledger handed over to too few peers", Action: "Callers may get Unknown for reservations of this host; check that the other hosts are reachable."},
	{ID: ReservationUnknown, Level: Warning, Message: "reservation outcome unknown", Action: "Check with the service whether the reservation exists before it is repeated."},
	{ID: RequestSuspected, Level: Warning, Message: "server went away while it ran a request", Action: "Look at the server's log for a crash."},
	{ID: RequestQuarantined, Level: Error, Message: "request refused because it may crash servers", Action: "Find the request by its fingerprint and correct the service."},
}
