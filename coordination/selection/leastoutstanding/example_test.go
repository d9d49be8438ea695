package leastoutstanding_test

import (
	"fmt"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/selection/leastoutstanding"
)

func Example() {
	baseline := &leastoutstanding.Selector{}
	fmt.Println(baseline.Select([]ebonyworks.Candidate{{InFlight: 3}, {InFlight: 1}}))
	// Output: 1 true
}
