package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
	"github.com/ebonyworks/ebonyworks/standin/platform"
)

// headerTimeout bounds the header of a request.
const headerTimeout = 5 * time.Second

// flags are the command line.
type flags struct {
	directory string
	hosts     string
	listen    string
	admin     string
	options   platform.Options
}

func newCommand(recorder ebonyworks.EventRecorder) *cobra.Command {
	var flags flags
	command := &cobra.Command{
		Use:           "ebony-platform",
		Short:         "Serve a stand-in configuration service and host list",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return run(command.Context(), flags, recorder)
		},
	}
	set := command.Flags()
	set.StringVar(&flags.directory, "configuration", "", "directory that the operators' tool has printed; read again on POST /reload")
	set.StringVar(&flags.hosts, "hosts", "", "file with the initial host list")
	set.StringVar(&flags.listen, "listen", "127.0.0.1:20800", "address of the service")
	set.StringVar(&flags.admin, "admin", "127.0.0.1:20801", "address of the admin interface")
	set.IntVar(&flags.options.Replicas, "replicas", 3, "replicas of the configuration service")
	set.DurationVar(&flags.options.ReplicaLag, "replica-lag", 0, "time until a write reaches the last replica")
	set.DurationVar(&flags.options.HostLag, "host-lag", 0, "time until a change appears in the host list")
	set.DurationVar(&flags.options.Latency, "latency", 2*time.Millisecond, "time that each call takes")
	set.IntVar(&flags.options.CallsPerSecond, "calls-per-second", 2000, "limit beyond which calls are refused")
	set.Uint64Var(&flags.options.Seed, "seed", 1, "seed of the choice of replicas")
	return command
}

// run serves until the context ends.
func run(ctx context.Context, flags flags, recorder ebonyworks.EventRecorder) error {
	service := platform.New(flags.options)
	if err := preload(service, flags); err != nil {
		return err
	}
	closeService, err := serve(flags.listen, service)
	if err != nil {
		return err
	}
	defer closeService()
	closeAdmin, err := serve(flags.admin, platform.NewAdmin(service, flags.directory))
	if err != nil {
		return err
	}
	defer closeAdmin()
	recorder.Record(event.New(event.ToolStarted, event.Attribute("Address", flags.listen)))
	<-ctx.Done()
	recorder.Record(event.New(event.ToolStopped))
	return nil
}

func preload(service *platform.Platform, flags flags) error {
	if flags.directory != "" {
		if err := service.Preload(flags.directory); err != nil {
			return err
		}
	}
	if flags.hosts == "" {
		return nil
	}
	bytes, err := os.ReadFile(flags.hosts)
	if err != nil {
		return errors.Wrap(err, "read host list")
	}
	hosts, problems := configdoc.Codec{}.DecodeHosts(bytes)
	if len(problems) > 0 {
		return errors.Errorf("host list: %s: %s", problems[0].Path, problems[0].Message)
	}
	return service.SetHosts(hosts)
}

// serve serves at the address until the returned function is called.
func serve(address string, handler http.Handler) (func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	return func() {
		_ = server.Close()
		<-done
	}, nil
}
