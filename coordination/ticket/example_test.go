package ticket_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	"github.com/ebonyworks/ebonyworks/coordination/ticket"
)

func Example() {
	key, err := ticket.NewKey("2026-12", bytes.Repeat([]byte("s"), ticket.MinSecretBytes))
	if err != nil {
		fmt.Println(err)
		return
	}
	office, err := ticket.NewIssuer("entry-1", 3, []ticket.Key{key}, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		fmt.Println(err)
		return
	}
	token, _ := office.Issue()
	claims, fault := office.Verify(token)
	fmt.Println(claims.Host, claims.Incarnation, fault)
	_, fault = office.Verify(token[:len(token)-2] + "AA")
	fmt.Println(fault)
	// Output:
	// entry-1 3 genuine
	// bad signature
}
