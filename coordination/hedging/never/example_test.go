package never_test

import (
	"fmt"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging/never"
)

func Example() {
	var policy ebonyworks.Hedging = never.Hedging{}
	fmt.Println(policy.AllowHedge("stock-finder-01"), policy.AllowRetry("stock-finder-01"))
	// Output: false false
}
