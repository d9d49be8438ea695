package admission_test

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/admission"
)

func Example() {
	controller := admission.New(mathrand.New(mathrand.NewPCG(1, 2)))
	route := ebonyworks.Route{ID: "find-hair"}
	permit, refusal := controller.Admit(context.Background(), route, "salon-1", time.Now().Add(time.Second))
	fmt.Println(refusal == nil)
	fmt.Println(controller.Load(route.ID))
	permit.Done()
	fmt.Println(controller.Load(route.ID))
	// Output:
	// true
	// 1 0 8
	// 0 0 8
}
