package main

import (
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/standin/server"
)

// flags are the command line.
type flags struct {
	configuration string
	catalogue     string
	service       string
	server        string
	domain        string
	admin         string
	drainTimeout  time.Duration
	seed          uint64
	items         int
	model         server.Model
	schedule      server.Schedule
	origins       []string
	faults        server.FaultsBody
	closePoint    string
	reply         string
	report        string
	coarse        bool
	traces        string
}

func newCommand(recorder ebonyworks.EventRecorder) *cobra.Command {
	var flags flags
	command := &cobra.Command{
		Use:           "ebony-server --configuration DIR",
		Short:         "Serve stand-in backend servers of a printed configuration",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return run(command.Context(), flags, recorder)
		},
	}
	flags.register(command)
	return command
}

func (f *flags) register(command *cobra.Command) {
	set := command.Flags()
	set.StringVar(&f.configuration, "configuration", "", "directory that the operators' tool has printed")
	set.StringVar(&f.catalogue, "catalogue", "", "serve only this catalogue")
	set.StringVar(&f.service, "service", "", "serve only this service")
	set.StringVar(&f.server, "server", "", "serve only this server")
	set.StringVar(&f.domain, "domain", "", "serve only this failure domain")
	set.StringVar(&f.admin, "admin", "", "address of the admin interface, such as 127.0.0.1:20900; empty for none")
	set.DurationVar(&f.drainTimeout, "drain-timeout", 30*time.Second, "longest drain after SIGTERM")
	set.Uint64Var(&f.seed, "seed", 1, "seed of contents, service times and faults")
	set.IntVar(&f.items, "items", 0, "items of each catalogue (default 1000)")
	set.StringVar(&f.traces, "traces", "", "file that gets a span for each execution as JSON lines; empty for none")
	f.registerModel(command)
	f.registerFaults(command)
	_ = command.MarkFlagRequired("configuration")
}

func (f *flags) registerModel(command *cobra.Command) {
	set := command.Flags()
	set.DurationVar(&f.model.MeanServiceTime, "service-time", 4*time.Millisecond, "mean service time")
	set.Float64Var(&f.model.Sigma, "service-sigma", 0.5, "standard deviation of the logarithm of the service time")
	set.IntVar(&f.model.QueuePerSlot, "queue-per-slot", 8, "queued requests per slot beyond which a server sheds")
	set.IntVar(&f.model.ColdRequests, "cold-requests", 0, "requests after a start that are slower")
	set.DurationVar(&f.model.ColdTime, "cold-time", 0, "time after a start in which requests are slower")
	set.Float64Var(&f.model.ColdFactor, "cold-factor", 3, "factor of cold service times")
	set.DurationVar(&f.model.ReportLag, "report-lag", 0, "age of the load in reports")
	set.DurationVar(&f.model.DrainNotice, "drain-notice", time.Second, "time from the start of a drain to GOAWAY")
	set.DurationVar(&f.model.NearDelay, "near-delay", 0, "one-way network delay within a failure domain and for unknown hosts")
	set.DurationVar(&f.model.FarDelay, "far-delay", 0, "one-way network delay between failure domains")
	set.StringArrayVar(&f.origins, "origin", nil, "failure domain of hosts by address, such as Sapporo=127.10.0.0/16; repeatable")
	set.DurationVar(&f.schedule.Period, "snapshot-period", 0, "time between snapshots; 0 for a single snapshot")
	set.IntVar(&f.schedule.Retention, "snapshot-retention", 4, "snapshots that a server holds")
	set.DurationVar(&f.schedule.Spread, "snapshot-spread", 0, "longest time until a snapshot reaches a server")
	set.BoolVar(&f.coarse, "coarse-clock", false, "use the runtime's timers, which are late by up to 1 ms but cost less")
}

func (f *flags) registerFaults(command *cobra.Command) {
	set := command.Flags()
	set.Float64Var(&f.faults.SlowFactor, "slow-factor", 0, "factor of all service times")
	set.StringVar(&f.faults.CrashValue, "crash-value", "", "crash on requests with this text in a filter or field")
	set.Int64Var(&f.faults.CrashDowntimeMilliseconds, "crash-downtime-ms", 2000, "downtime after a crash in ms")
	set.StringVar(&f.reply, "reply-fault", "", "truncated, garbled, wrong_request, wrong_shard, wrong_snapshot or duplicated")
	set.Float64Var(&f.faults.ReplyShare, "reply-fault-share", 0, "share of damaged replies; 0 for all")
	set.StringVar(&f.closePoint, "close-fault", "", "close the connection: before, during, after or executed")
	set.Float64Var(&f.faults.CloseShare, "close-fault-share", 0, "share of closed connections; 0 for all")
	set.StringVar(&f.report, "report-fault", "", "wrong load in reports: idle or busy")
}

// fleetOptions returns the options of the fleet, or an error about a flag.
func (f *flags) fleetOptions(recorder ebonyworks.EventRecorder) (server.FleetOptions, error) {
	model := f.model
	for _, text := range f.origins {
		domain, address, ok := strings.Cut(text, "=")
		prefix, err := netip.ParsePrefix(address)
		if !ok || err != nil {
			return server.FleetOptions{}, errors.Errorf("--origin %q isn't DOMAIN=PREFIX", text)
		}
		model.Origins = append(model.Origins, server.Origin{Prefix: prefix, Domain: ebonyworks.DomainID(domain)})
	}
	return server.FleetOptions{
		Seed:     f.seed,
		Items:    f.items,
		Model:    model,
		Schedule: f.schedule,
		Selector: server.Selector{
			Catalogue: ebonyworks.CatalogueID(f.catalogue),
			Service:   ebonyworks.ServiceID(f.service),
			Server:    ebonyworks.ServerID(f.server),
			Domain:    ebonyworks.DomainID(f.domain),
		},
		Recorder:  recorder,
		FineClock: !f.coarse,
	}, nil
}

// initialFaults returns the faults that all servers start with.
func (f *flags) initialFaults() server.Faults {
	body := f.faults
	body.Reply = server.ReplyFault(f.reply)
	body.Close = server.ClosePoint(f.closePoint)
	body.Report = server.ReportFault(f.report)
	return body.Faults()
}
