// Command ebony-server serves stand-in backend servers of a deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ebonyworks/ebonyworks/event"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	recorder := event.NewRecorder(os.Stderr)
	err := newCommand(recorder).ExecuteContext(ctx)
	stop()
	if err != nil {
		recorder.Record(event.New(event.ToolFailed, event.Attribute("Error", err.Error())))
		os.Exit(1)
	}
}
