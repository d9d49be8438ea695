package reservation_test

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

func Example() {
	// newWorld connects three runners to fake servers and to each other.
	fleet := newWorld(7, faults{})
	issuer, other := fleet.nodes[0].runner, fleet.nodes[1].runner
	token, claims, _ := issuer.IssueTicket(context.Background())
	fleet.expiries["bundle-17"] = claims.Expiry
	reservation := ebonyworks.Reservation{
		Request: "r-1", Ticket: token, Route: "reserve", Customer: "fitting-room-4",
		Key: "bundle-17:wig", Deadline: time.Now().Add(5 * time.Second),
	}
	// The ticket works at any host; a copy gets the same outcome.
	first := other.Reserve(withDice(), reservation)
	again := issuer.Reserve(withDice(), reservation)
	fmt.Println(first.Code, again.Code, fleet.executions["bundle-17"])

	unused, _, _ := issuer.IssueTicket(context.Background())
	reservation.Ticket = unused
	fmt.Println(other.Outcome(withDice(), unused).Code)
	fmt.Println(issuer.Reserve(withDice(), reservation).Code)
	// Output:
	// done done 1
	// sealed_by_query
	// sealed_by_query
}
