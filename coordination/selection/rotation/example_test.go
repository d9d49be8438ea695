package rotation_test

import (
	"fmt"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/selection/rotation"
)

func Example() {
	baseline := &rotation.Rotation{}
	fmt.Println(baseline.Select([]ebonyworks.Candidate{{InFlight: 3}, {InFlight: 1}}))
	// Output: 0 true
}
