package wakeup_test

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
)

func Example() {
	signal := make(chan struct{}, 1)
	wakeup.Signal(signal)
	fmt.Println(wakeup.Wait(context.Background(), time.Hour, signal))
	// Output: true
}
