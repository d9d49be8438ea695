// Command ebonyd is the entry daemon: it takes searches and reservations from
// callers and runs them on backend servers.
package main

import (
	"os"

	"github.com/ebonyworks/ebonyworks/daemon"
)

func main() {
	os.Exit(daemon.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
