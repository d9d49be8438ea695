package entryhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// askInterval is how often the host looks for servers that are due for a
	// status request. The register keeps the requests to each server apart.
	askInterval = 100 * time.Millisecond
	// maxAsked bounds the status requests that are in flight.
	maxAsked = 32
	// statusTimeout bounds one status request.
	statusTimeout = time.Second
	// followInterval is how often the host looks for a new configuration.
	followInterval = 100 * time.Millisecond
)

// askServers asks servers for their status that have not reported lately.
func (h *Host) askServers(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	places := make(chan struct{}, maxAsked)
	var indexed *ebonyworks.Configuration
	var index serverIndex
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		configuration := h.edition.Current()
		if configuration == nil {
			continue
		}
		// An index of 2,400 servers for each tick would cost 2% of a core.
		if configuration != indexed {
			indexed, index = configuration, indexServers(configuration)
		}
		for _, server := range h.register.DueForStatus(index.servers, maxAsked-len(places)) {
			places <- struct{}{}
			asking.Add(1)
			go func() {
				defer asking.Done()
				defer func() { <-places }()
				h.ask(ctx, index.services[server.ID], server)
			}()
		}
	}
}

// serverIndex lists the servers of a configuration with their services.
type serverIndex struct {
	servers  []ebonyworks.Server
	services map[ebonyworks.ServerID]*ebonyworks.Service
}

func indexServers(configuration *ebonyworks.Configuration) serverIndex {
	index := serverIndex{services: make(map[ebonyworks.ServerID]*ebonyworks.Service)}
	for i := range configuration.Catalogues {
		for j := range configuration.Catalogues[i].Services {
			service := &configuration.Catalogues[i].Services[j]
			for _, server := range service.Servers {
				index.servers = append(index.servers, server)
				index.services[server.ID] = service
			}
		}
	}
	return index
}

func (h *Host) ask(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	report, result := h.options.Backend.Status(ctx, service, server)
	if result == ebonyworks.AttemptCanceled {
		return
	}
	record := ebonyworks.AttemptRecord{Service: service.ID, Server: server.ID, Result: result, Report: report}
	h.observe(record)
	h.catalogue.Observe(report)
}

// retainer is a part that forgets what a new configuration no longer names.
type retainer interface {
	Retain(configuration *ebonyworks.Configuration)
}

// serverRetainer is a part that forgets servers that aren't listed any more.
type serverRetainer interface {
	Retain(servers []ebonyworks.Server)
}

// followConfiguration tells the parts of the host about each new configuration,
// and follows the partitions that servers have taken up.
func (h *Host) followConfiguration(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	var seen *ebonyworks.Configuration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.quota.SetHosts(len(h.guild.Alive()) + 1)
		configuration := h.edition.Current()
		if configuration == nil {
			continue
		}
		h.reservable.Store(h.withoutFuturePartitions(configuration))
		if configuration != seen {
			seen = configuration
			h.retain(configuration)
		}
	}
}

// withoutFuturePartitions returns the configuration for reservations. Operators
// publish a partition before the servers take it up, and until then its keys
// belong to the servers of the partition before.
func (h *Host) withoutFuturePartitions(configuration *ebonyworks.Configuration) *ebonyworks.Configuration {
	view := *configuration
	view.Catalogues = slices.Clone(configuration.Catalogues)
	for i := range view.Catalogues {
		catalogue := &view.Catalogues[i]
		newest, ok := h.newestEpoch(catalogue)
		if !ok {
			continue
		}
		current := slices.IndexFunc(catalogue.Partitions, func(partition ebonyworks.Partition) bool {
			return partition.Epoch > newest
		})
		if current > 0 {
			catalogue.Partitions = catalogue.Partitions[:current]
		}
	}
	return &view
}

// newestEpoch returns the partition epoch of the newest reported snapshot.
func (h *Host) newestEpoch(catalogue *ebonyworks.Catalogue) (ebonyworks.PartitionEpoch, bool) {
	var servers []ebonyworks.ServerID
	for _, service := range catalogue.Services {
		for _, server := range service.Servers {
			servers = append(servers, server.ID)
		}
	}
	snapshots := h.catalogue.Snapshots(servers)
	if len(snapshots) == 0 {
		return 0, false
	}
	return snapshots[0].Epoch, true
}

func (h *Host) retain(configuration *ebonyworks.Configuration) {
	parts := []any{h.register, h.quota, h.searches.Admission, h.policy.hedging}
	for _, part := range parts {
		if part, ok := part.(retainer); ok {
			part.Retain(configuration)
		}
	}
	servers := indexServers(configuration).servers
	h.catalogue.Retain(servers)
	if backend, ok := h.options.Backend.(serverRetainer); ok {
		backend.Retain(servers)
	}
}
