package reservation_test

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

func Example() {
	// newCluster connects three runners to fake servers and to each other.
	c := newCluster(7, faults{})
	issuer, other := c.nodes[0].runner, c.nodes[1].runner
	token, claims, _ := issuer.IssueTicket(context.Background())
	c.expiries["bundle-17"] = claims.Expiry
	reservation := ebonyworks.Reservation{
		Request: "r-1", Ticket: token, Route: "reserve", Customer: "fitting-room-4",
		Key: "bundle-17:wig", Deadline: time.Now().Add(5 * time.Second),
	}
	// The ticket is valid at every host; a copy of the request gets the same outcome.
	first := other.Reserve(withRandomSources(), reservation)
	again := issuer.Reserve(withRandomSources(), reservation)
	fmt.Println(first.Code, again.Code, c.executions["bundle-17"])

	unused, _, _ := issuer.IssueTicket(context.Background())
	reservation.Ticket = unused
	fmt.Println(other.Outcome(withRandomSources(), unused).Code)
	fmt.Println(issuer.Reserve(withRandomSources(), reservation).Code)
	// Output:
	// done done 1
	// sealed_by_query
	// sealed_by_query
}
