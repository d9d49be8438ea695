package main

import (
	"fmt"

	"github.com/ebonyworks/ebonyworks/event"
)

func main() {
	for _, e := range event.Catalogue() {
		fmt.Printf("| %d | %s | %s | %s |\n", e.ID, e.Level, e.Message, e.Action)
	}
}
