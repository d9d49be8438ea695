package event

import "github.com/ebonyworks/ebonyworks"

// Events of reservations and inspection, numbered from 3001.
const (
	// LedgerHandedOver is recorded when a stopping host has handed its ledger to a peer.
	LedgerHandedOver ebonyworks.EventID = 3001
)

var reservationEntries = []Entry{
	{ID: LedgerHandedOver, Level: Info, Message: "ledger handed over", Action: "None."},
}
