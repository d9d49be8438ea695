package drainstate_test

import (
	"fmt"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/drainstate"
)

func Example() {
	tracker := drainstate.New(drainstate.Config{})
	tracker.Observe(ebonyworks.ServerReport{Server: "stock-finder-01-a", Incarnation: 1, Draining: true})
	fmt.Println(tracker.Draining("stock-finder-01-a"))
	// A restarted server has a new incarnation.
	tracker.Observe(ebonyworks.ServerReport{Server: "stock-finder-01-a", Incarnation: 2})
	fmt.Println(tracker.Draining("stock-finder-01-a"))
	// Output:
	// true
	// false
}
