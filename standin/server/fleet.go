package server

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/ebonyworks/ebonyworks"
)

// switchAfter is the number of snapshots between the publication of a newer
// partition and the first snapshot that belongs to it, so that all entry hosts
// know the partition by then.
const switchAfter = 2

// FleetOptions describe the servers of a deployment that one process serves.
type FleetOptions struct {
	Seed     uint64
	Items    int
	Model    Model
	Schedule Schedule
	// Selector chooses the servers to serve; the zero value means all.
	Selector Selector
	// Recorder takes events; nil discards them.
	Recorder ebonyworks.EventRecorder
	// Tracer starts a span for each execution; nil starts none.
	Tracer trace.Tracer
	// FineClock makes delays accurate to a fraction of a millisecond, at the
	// cost of a thread that wakes up to 5,000 times a second under load.
	FineClock bool
}

// Selector chooses servers. Empty fields match all.
type Selector struct {
	Catalogue ebonyworks.CatalogueID
	Service   ebonyworks.ServiceID
	Server    ebonyworks.ServerID
	Domain    ebonyworks.DomainID
}

// Matches reports whether the selector chooses the server.
func (s Selector) Matches(catalogue ebonyworks.CatalogueID, service ebonyworks.ServiceID, server ebonyworks.Server) bool {
	return (s.Catalogue == "" || s.Catalogue == catalogue) &&
		(s.Service == "" || s.Service == service) &&
		(s.Server == "" || s.Server == server.ID) &&
		(s.Domain == "" || s.Domain == server.Domain)
}

// Fleet is a set of stand-in servers of one configuration.
type Fleet struct {
	options  FleetOptions
	contents *Contents
	// clock is nil without FineClock.
	clock *fineClock

	mu        sync.Mutex
	servers   map[ebonyworks.ServerID]*Server
	timelines map[ebonyworks.CatalogueID]*Timeline
	closed    bool
}

// NewFleet returns a fleet without servers. Apply starts them.
func NewFleet(options FleetOptions) *Fleet {
	f := &Fleet{
		options:   options,
		contents:  &Contents{Seed: options.Seed, Items: options.Items},
		servers:   make(map[ebonyworks.ServerID]*Server),
		timelines: make(map[ebonyworks.CatalogueID]*Timeline),
	}
	if options.FineClock {
		f.clock = newFineClock()
	}
	return f
}

// Contents returns the generator of the rows that the servers hold.
func (f *Fleet) Contents() *Contents { return f.contents }

// Apply serves the configuration: it starts servers that are new, updates the
// partitions of those that remain and closes those that are gone. A partition
// with a newer epoch takes effect two snapshots later.
func (f *Fleet) Apply(configuration *ebonyworks.Configuration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errors.New("fleet is closed")
	}
	wanted := make(map[ebonyworks.ServerID]struct{})
	for i := range configuration.Catalogues {
		catalogue := &configuration.Catalogues[i]
		f.applyPartitions(catalogue)
		if err := f.applyServers(catalogue, wanted); err != nil {
			return err
		}
	}
	for id, server := range f.servers {
		if _, ok := wanted[id]; !ok {
			server.Close()
			delete(f.servers, id)
		}
	}
	return nil
}

func (f *Fleet) applyPartitions(catalogue *ebonyworks.Catalogue) {
	if len(catalogue.Partitions) == 0 {
		return
	}
	newest := catalogue.Partitions[len(catalogue.Partitions)-1].Epoch
	timeline, ok := f.timelines[catalogue.ID]
	if !ok {
		f.timelines[catalogue.ID] = NewTimeline(f.options.Schedule, newest)
		return
	}
	from := timeline.Latest(time.Now()) + switchAfter
	if timeline.Epoch(from) < newest {
		timeline.Switch(from, newest)
	}
}

func (f *Fleet) applyServers(catalogue *ebonyworks.Catalogue, wanted map[ebonyworks.ServerID]struct{}) error {
	for _, service := range catalogue.Services {
		for _, server := range service.Servers {
			if !f.options.Selector.Matches(catalogue.ID, service.ID, server) {
				continue
			}
			wanted[server.ID] = struct{}{}
			if err := f.applyServer(catalogue, service.ID, server); err != nil {
				return errors.Wrapf(err, "server %s", server.ID)
			}
		}
	}
	return nil
}

func (f *Fleet) applyServer(catalogue *ebonyworks.Catalogue, service ebonyworks.ServiceID, server ebonyworks.Server) error {
	if running, ok := f.servers[server.ID]; ok {
		if running.options.Server == server && running.options.Service == service {
			running.Update(catalogue)
			return nil
		}
		running.Close()
		delete(f.servers, server.ID)
	}
	options := Options{
		Catalogue: catalogue,
		Service:   service,
		Server:    server,
		Contents:  f.contents,
		Timeline:  f.timelines[catalogue.ID],
		Model:     f.options.Model,
		Tracer:    f.options.Tracer,
		Seed:      f.options.Seed ^ xxhash.Sum64String(string(server.ID)),
		Recorder:  f.options.Recorder,
	}
	if options.Timeline == nil {
		return errors.New("catalogue has no partition")
	}
	if f.clock != nil {
		options.clock = f.clock
	}
	started := New(options)
	if err := started.Start(); err != nil {
		return err
	}
	f.servers[server.ID] = started
	return nil
}

// Select returns the chosen servers by id.
func (f *Fleet) Select(selector Selector) []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var chosen []*Server
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		server := f.servers[id]
		if selector.Matches(server.options.Catalogue.ID, server.options.Service, server.options.Server) {
			chosen = append(chosen, server)
		}
	}
	return chosen
}

// Timeline returns the timeline of a catalogue.
func (f *Fleet) Timeline(catalogue ebonyworks.CatalogueID) (*Timeline, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	timeline, ok := f.timelines[catalogue]
	return timeline, ok
}

// Drain drains all servers at once.
func (f *Fleet) Drain(ctx context.Context) {
	var drains sync.WaitGroup
	for _, server := range f.Select(Selector{}) {
		drains.Go(func() { server.Drain(ctx) })
	}
	drains.Wait()
}

// Close stops all servers for good.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	for _, server := range f.servers {
		server.Close()
	}
	if f.clock != nil {
		f.clock.close()
	}
}
