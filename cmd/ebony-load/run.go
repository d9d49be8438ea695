package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/cli"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/load/balancer"
	"github.com/ebonyworks/ebonyworks/load/direct"
	"github.com/ebonyworks/ebonyworks/load/entryclient"
	"github.com/ebonyworks/ebonyworks/load/report"
	loadrun "github.com/ebonyworks/ebonyworks/load/run"
	"github.com/ebonyworks/ebonyworks/load/scenario"
	"github.com/ebonyworks/ebonyworks/load/standinclient"
	"github.com/ebonyworks/ebonyworks/transport/backendclient"
)

const (
	// readyTimeout bounds the wait for the entry hosts.
	readyTimeout = 20 * time.Second
	// maxIdleConnections is the number of connections that are kept to each
	// entry host. It is above what an overload needs, so that reconnecting isn't
	// part of the latency.
	maxIdleConnections = 1024
	// directPolicy and sharedPolicy name runs without entry hosts in results.
	directPolicy = "Direct"
	sharedPolicy = "DirectShared"
	// resultsName is the file of results in the output directory.
	resultsName = "results.jsonl"
)

// options are the flags of the run command.
type options struct {
	sources
	scenario string
	policy   string
	hosts    []string
	standIns []string
	direct   []string
	shared   bool
	output   string
	seed     uint64
	// command is the command line for results.
	command string
}

func newRun() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use:   "run --settings FILE --configuration DIRECTORY --scenario NAME (--host URL... | --direct ADDRESS...)",
		Short: "Carry out one scenario with one policy and append its results to a file",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			o.command = strings.Join(os.Args, " ")
			return o.run(command)
		},
	}
	o.register(command)
	flags := command.Flags()
	flags.StringVar(&o.scenario, "scenario", "", "name of the scenario")
	flags.StringVar(&o.policy, "policy", "Adaptive", "name of the entry hosts' policy in results")
	flags.StringArrayVar(&o.hosts, "host", nil, "URL of an entry host; repeatable")
	flags.StringArrayVar(&o.standIns, "standins", nil, "URL of the administration interface of a stand-in process; repeatable")
	flags.StringArrayVar(&o.direct, "direct", nil, "send sub-requests to the servers from this address instead of using entry hosts; repeatable")
	flags.BoolVar(&o.shared, "shared", false, "with --direct: choose by the outstanding requests from all addresses together")
	flags.StringVar(&o.output, "output", ".", "directory of the file "+resultsName)
	flags.Uint64Var(&o.seed, "seed", scenario.DefaultSeed, "seed of arrivals and requests")
	_ = command.MarkFlagRequired("scenario")
	return command
}

func (o *options) run(command *cobra.Command) error {
	if (len(o.hosts) == 0) == (len(o.direct) == 0) {
		return cli.InvalidArguments(command, errors.New("either --host or --direct is needed"))
	}
	settings, configuration, err := o.load()
	if err != nil {
		return err
	}
	chosen, err := o.find(command, settings, o.scenario)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(command.Context())
	defer cancel()
	r := &loadrun.Run{
		Settings:      settings,
		Scenario:      chosen,
		Configuration: configuration,
		Events:        event.NewRecorder(command.ErrOrStderr()),
		Seed:          o.seed,
	}
	client := &http.Client{Transport: newTransport()}
	if err := o.connectStandIns(ctx, r, client); err != nil {
		return err
	}
	closeTarget, err := o.connectTarget(ctx, r, client)
	defer closeTarget()
	if err != nil {
		return err
	}
	results, err := r.Do(ctx, o.origin(settings))
	if err != nil {
		return err
	}
	return o.write(command.OutOrStdout(), results)
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}
}

func (o *options) origin(settings *scenario.Settings) report.Origin {
	policy := o.policy
	switch {
	case len(o.direct) > 0 && o.shared:
		policy = sharedPolicy
	case len(o.direct) > 0:
		policy = directPolicy
	}
	return report.Origin{
		User:     settings.User,
		Scenario: o.scenario,
		Policy:   policy,
		Seed:     o.seed,
		Command:  o.command,
		Started:  time.Now().UTC().Truncate(time.Second),
	}
}

func (o *options) connectStandIns(ctx context.Context, r *loadrun.Run, client *http.Client) error {
	if len(o.standIns) == 0 {
		return nil
	}
	connected, err := standinclient.Connect(ctx, client, o.standIns, r.Configuration)
	if err != nil {
		return err
	}
	r.Meter = connected
	r.Injector = connected
	return nil
}

// connectTarget sets the target of the run. The returned function releases it
// and is never nil.
func (o *options) connectTarget(ctx context.Context, r *loadrun.Run, client *http.Client) (func(), error) {
	if len(o.direct) > 0 {
		return o.connectDirect(ctx, r)
	}
	hosts := balancer.New(o.hosts, client)
	target := &entryclient.Target{Balancer: hosts, Configuration: r.Configuration, Delay: r.Settings.ClientDelay}
	r.Target = target
	r.Primer = target
	var probes sync.WaitGroup
	probing, stop := context.WithCancel(ctx)
	probes.Go(func() { hosts.Run(probing) })
	release := func() {
		stop()
		probes.Wait()
		client.CloseIdleConnections()
	}
	waiting, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return release, hosts.WaitReady(waiting)
}

func (o *options) connectDirect(ctx context.Context, r *loadrun.Run) (func(), error) {
	var backends []ebonyworks.Backend
	var clients []*backendclient.Client
	release := func() {
		for _, each := range clients {
			each.Close()
		}
	}
	for _, text := range o.direct {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return release, errors.Wrap(err, "--direct")
		}
		created := backendclient.NewClient(backendclient.Options{LocalAddress: address})
		clients = append(clients, created)
		backends = append(backends, created)
	}
	target := direct.New(r.Configuration, direct.Options{Backends: backends, Shared: o.shared, Delay: r.Settings.ClientDelay})
	r.Target = target
	return release, target.Prepare(ctx)
}

// write appends the results to the file, prints the table and fails if an
// answer was wrong.
func (o *options) write(out io.Writer, results []report.Result) error {
	if err := os.MkdirAll(o.output, 0o755); err != nil {
		return errors.Wrap(err, "create output directory")
	}
	file, err := os.OpenFile(filepath.Join(o.output, resultsName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open results")
	}
	err = report.Write(file, results)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := report.Table(out, results); err != nil {
		return err
	}
	if report.Violated(results) {
		return fmt.Errorf("answers contradict themselves or what the servers ran; see the violations above")
	}
	return nil
}
