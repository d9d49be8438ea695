package quota_test

import (
	"context"
	"fmt"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quota"
)

func Example() {
	table := quota.New(8)
	service := &ebonyworks.Service{ID: "stock-finder-01", Slots: 2}
	permit, ok := table.Acquire(context.Background(), service, "stock-finder-01-a")
	fmt.Println(ok)
	fmt.Println(table.Load(service, "stock-finder-01-a"))
	permit.Release(ebonyworks.AttemptRecord{Result: ebonyworks.AttemptServed})
	fmt.Println(table.Load(service, "stock-finder-01-a"))
	// Output:
	// true
	// 1 2
	// 0 2
}
