package hedging_test

import (
	"fmt"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/hedging"
)

func Example() {
	budget := &hedging.Budget{}
	for range 100 {
		budget.Observe(ebonyworks.AttemptRecord{
			Service: "stock-finder-01",
			Result:  ebonyworks.AttemptServed,
			Latency: 8 * time.Millisecond,
		})
	}
	fmt.Println(budget.Delay("stock-finder-01"))
	fmt.Println(budget.AllowHedge("stock-finder-01"))
	// Output:
	// 8ms
	// true
}
