package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/standin/configdir"
	"github.com/ebonyworks/ebonyworks/standin/server"
	"github.com/ebonyworks/ebonyworks/telemetry"
)

const (
	// adminHeaderTimeout bounds the header of an admin request.
	adminHeaderTimeout = 5 * time.Second
	// flushTimeout bounds the writing of buffered spans at the end.
	flushTimeout = 2 * time.Second
)

// run serves until the context ends, then drains.
func run(ctx context.Context, flags flags, recorder ebonyworks.EventRecorder) error {
	options, err := flags.fleetOptions(recorder)
	if err != nil {
		return err
	}
	load := func() (*ebonyworks.Configuration, error) { return configdir.Load(flags.configuration) }
	configuration, err := load()
	if err != nil {
		return err
	}
	tracer, closeTraces, err := openTraces(ctx, flags.traces)
	if err != nil {
		return err
	}
	defer closeTraces()
	options.Tracer = tracer
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

// openTraces returns a tracer that appends spans to the file until the returned
// function is called, or no tracer if there is no file.
func openTraces(ctx context.Context, path string) (trace.Tracer, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the file for traces")
	}
	exported, err := telemetry.New(ctx, telemetry.Options{Process: "ebony-server", TraceWriter: file, SampleRatio: 1})
	if err != nil {
		return nil, nil, errors.Join(err, file.Close())
	}
	return exported.Tracer(), func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		// The spans are lost if this fails; the servers have stopped already.
		_ = exported.Shutdown(bounded)
		_ = file.Close()
	}, nil
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
