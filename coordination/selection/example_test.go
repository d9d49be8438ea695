package selection_test

import (
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/selection"
)

func Example() {
	selector := selection.New(mathrand.New(mathrand.NewPCG(1, 2)))
	index, ok := selector.Select([]ebonyworks.Candidate{
		{Latency: 90 * time.Millisecond, Share: 1},
		{Latency: 9 * time.Millisecond, Share: 1},
	})
	fmt.Println(index, ok)
	// Output: 1 true
}
