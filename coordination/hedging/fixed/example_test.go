package fixed_test

import (
	"fmt"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging/fixed"
)

func Example() {
	var policy ebonyworks.Hedging = fixed.Delay(20 * time.Millisecond)
	fmt.Println(policy.Delay("stock-finder-01"), policy.AllowHedge("stock-finder-01"))
	// Output: 20ms true
}
