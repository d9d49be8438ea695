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
	gate := admission.New(mathrand.New(mathrand.NewPCG(1, 2)))
	route := ebonyworks.Route{ID: "find-hair"}
	admittance, refusal := gate.Admit(context.Background(), route, "salon-1", time.Now().Add(time.Second))
	fmt.Println(refusal == nil)
	fmt.Println(gate.Load(route.ID))
	admittance.Done()
	fmt.Println(gate.Load(route.ID))
	// Output:
	// true
	// 1 0 8
	// 0 0 8
}
