package adaptivelimit_test

import (
	"fmt"
	"time"

	"github.com/ebonyworks/ebonyworks/coordination/adaptivelimit"
)

func Example() {
	limit := adaptivelimit.Limit{Initial: 4, Max: 10}
	fmt.Println(limit.Value())
	limit.RecordOverload(time.Now())
	fmt.Println(limit.Value())
	// Output:
	// 4
	// 2
}
