package roundrobin_test

import (
	"fmt"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/selection/roundrobin"
)

func Example() {
	baseline := &roundrobin.Selector{}
	fmt.Println(baseline.Select([]ebonyworks.Candidate{{InFlight: 3}, {InFlight: 1}}))
	// Output: 0 true
}
