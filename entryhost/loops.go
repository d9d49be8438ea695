package entryhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

const (
	// pollInterval is how often the host looks for servers that are due for a status
	// request. The server states decide how often each server is due.
	pollInterval = 100 * time.Millisecond
	// maxPollsInFlight bounds the concurrent status requests.
	maxPollsInFlight = 32
	// statusTimeout is the timeout of one status request.
	statusTimeout = time.Second
	// configCheckInterval is how often the host checks for a new configuration.
	configCheckInterval = 100 * time.Millisecond
)

// pollServers sends status requests to servers that haven't reported recently.
func (h *Host) pollServers(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	slots := make(chan struct{}, maxPollsInFlight)
	var indexed *ebonyworks.Configuration
	var index serverIndex
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		configuration := h.activeConfig.Current()
		if configuration == nil {
			continue
		}
		// The index is reused, because indexing 2,400 servers on each tick would take
		// 2% of a core.
		if configuration != indexed {
			indexed, index = configuration, indexServers(configuration)
		}
		for _, server := range h.serverStates.DueForStatus(index.servers, maxPollsInFlight-len(slots)) {
			slots <- struct{}{}
			polls.Add(1)
			go func() {
				defer polls.Done()
				defer func() { <-slots }()
				h.pollServer(ctx, index.services[server.ID], server)
			}()
		}
	}
}

// serverIndex lists the servers of a configuration and maps each to its service.
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

func (h *Host) pollServer(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server) {
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

// configRetainer is a component that drops the state of what a configuration doesn't
// contain.
type configRetainer interface {
	Retain(configuration *ebonyworks.Configuration)
}

// serverRetainer is a component that drops the state of all servers but the given ones.
type serverRetainer interface {
	Retain(servers []ebonyworks.Server)
}

// watchConfiguration drops the state of what each new configuration no longer contains,
// and updates the configuration for reservations when servers report new partitions.
func (h *Host) watchConfiguration(ctx context.Context) {
	ticker := time.NewTicker(configCheckInterval)
	defer ticker.Stop()
	var applied *ebonyworks.Configuration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.quota.SetHosts(len(h.cluster.Alive()) + 1)
		configuration := h.activeConfig.Current()
		if configuration == nil {
			continue
		}
		h.reservationConfig.Store(h.withoutFuturePartitions(configuration))
		if configuration != applied {
			applied = configuration
			h.pruneState(configuration)
		}
	}
}

// withoutFuturePartitions returns the configuration for reservations: without the
// partitions that are newer than all reported snapshots. Operators publish a partition
// before the servers adopt it, and until then its keys belong to the servers of the
// previous partition.
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

// newestEpoch returns the partition epoch of the newest snapshot that a server of the
// catalogue has reported.
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

func (h *Host) pruneState(configuration *ebonyworks.Configuration) {
	parts := []any{h.serverStates, h.quota, h.searches.Admission, h.policy.hedging}
	for _, part := range parts {
		if part, ok := part.(configRetainer); ok {
			part.Retain(configuration)
		}
	}
	servers := indexServers(configuration).servers
	h.catalogue.Retain(servers)
	if backend, ok := h.options.Backend.(serverRetainer); ok {
		backend.Retain(servers)
	}
}
