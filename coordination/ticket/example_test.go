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
	issuer, err := ticket.NewIssuer("entry-1", 3, []ticket.Key{key}, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		fmt.Println(err)
		return
	}
	token, _ := issuer.Issue()
	claims, result := issuer.Verify(token)
	fmt.Println(claims.Host, claims.Incarnation, result)
	_, result = issuer.Verify(token[:len(token)-2] + "AA")
	fmt.Println(result)
	// Output:
	// entry-1 3 genuine
	// bad signature
}
