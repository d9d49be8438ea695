package search_test

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/admission"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
	"github.com/ebonyworks/ebonyworks/coordination/search"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
)

func Example() {
	// The cluster has four services with two fake servers each.
	servers := newFakeCluster(1)
	servers.reportAll(ebonyworks.Snapshot{Number: 7, Epoch: 1})
	coordinator := &search.Coordinator{
		Backend:       servers,
		Configuration: servers,
		Servers:       fakeServerStates{},
		Catalogue:     &servers.catalogue,
		Selection:     &selection.Selector{},
		Hedging:       &hedging.Budget{},
		Quota:         quota.New(1),
		Quarantine:    &quarantine.Controller{},
		Admission:     &admission.Controller{},
	}
	outcome := coordinator.Search(context.Background(), ebonyworks.Search{
		Request:  "r1",
		Route:    routeID,
		Customer: "fitting-room-1",
		Deadline: time.Now().Add(time.Second),
	})
	fmt.Println("snapshot", outcome.Answer.Snapshot.Number)
	fmt.Println("covered", len(outcome.Answer.Coverage.Covered), "missed", len(outcome.Answer.Coverage.Missed))
	// Output:
	// snapshot 7
	// covered 4 missed 0
}
