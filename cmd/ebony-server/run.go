package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/standin/printed"
	"github.com/ebonyworks/ebonyworks/standin/server"
)

// adminHeaderTimeout bounds the header of an admin request.
const adminHeaderTimeout = 5 * time.Second

// run serves until the context ends, then drains.
func run(ctx context.Context, flags flags, recorder ebonyworks.Recorder) error {
	options, err := flags.fleetOptions(recorder)
	if err != nil {
		return err
	}
	load := func() (*ebonyworks.Configuration, error) { return printed.Load(flags.configuration) }
	configuration, err := load()
	if err != nil {
		return err
	}
	fleet := server.NewFleet(options)
	defer fleet.Close()
	if err := fleet.Apply(configuration); err != nil {
		return err
	}
	servers := fleet.Select(server.Selector{})
	for _, each := range servers {
		each.SetFaults(flags.initialFaults())
	}
	closeAdmin, err := serveAdmin(flags.admin, server.NewAdmin(fleet, load))
	if err != nil {
		return err
	}
	defer closeAdmin()
	recorder.Record(event.New(event.ToolStarted, event.Attribute("Servers", strconv.Itoa(len(servers)))))
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), flags.drainTimeout)
	defer cancel()
	fleet.Drain(drain)
	recorder.Record(event.New(event.ToolStopped))
	return nil
}

// serveAdmin serves the admin interface, if it has an address, until the
// returned function is called.
func serveAdmin(address string, handler http.Handler) (func(), error) {
	if address == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "admin interface")
	}
	admin := &http.Server{Handler: handler, ReadHeaderTimeout: adminHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = admin.Serve(listener)
	}()
	return func() {
		_ = admin.Close()
		<-done
	}, nil
}
