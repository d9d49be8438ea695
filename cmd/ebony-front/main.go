// Command ebony-front forwards callers' requests to backend servers on the
// users' platform.
package main

import (
	"os"

	"github.com/ebonyworks/ebonyworks/platform"
)

func main() {
	os.Exit(platform.Run(os.Args[1:], os.Stdout, os.Stderr))
}
