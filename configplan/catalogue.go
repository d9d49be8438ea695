package configplan

import (
	"fmt"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// CatalogueSpec describes a catalogue of equal services. Service i has the id
// "<catalogue>-<i>", counted from 01, and its servers add "-a", "-b" and so on.
type CatalogueSpec struct {
	ID ebonyworks.CatalogueID
	// Services is the number of services.
	Services int
	// ServersPerService is the number of replicas of each service, at most 26.
	ServersPerService int
	// ShardsPerService is the number of shards that each service holds in the
	// first partition. Zero means 1.
	ShardsPerService int
	// Slots, ConnectionCap and ConnectTime are those of [ebonyworks.Service].
	Slots         int
	ConnectionCap int
	ConnectTime   time.Duration
	// Domains are the failure domains over which the servers are spread. The
	// replicas of one service are in different ones while there are enough.
	Domains []ebonyworks.DomainID
	// Keys divides the keys among the shards.
	Keys KeySpace
}

// firstEpoch numbers the first partition of a catalogue.
const firstEpoch ebonyworks.PartitionEpoch = 1

// maxServersPerService is the number of letters that tell servers apart.
const maxServersPerService = 26

func (s CatalogueSpec) problems() []ebonyworks.Problem {
	var problems []ebonyworks.Problem
	add := func(name, format string, arguments ...any) {
		problems = append(problems, ebonyworks.Problem{
			Path:    jsonc.Join(configdoc.CataloguePart(s.ID), name),
			Message: fmt.Sprintf(format, arguments...),
		})
	}
	if s.Services <= 0 {
		add("Services", "must be positive, not %d", s.Services)
	}
	if s.ServersPerService <= 0 || s.ServersPerService > maxServersPerService {
		add("ServersPerService", "must be from 1 to %d, not %d", maxServersPerService, s.ServersPerService)
	}
	if s.ShardsPerService < 0 {
		add("ShardsPerService", "must not be negative, not %d", s.ShardsPerService)
	}
	if len(s.Domains) == 0 {
		add("Domains", "must list at least one failure domain")
	}
	if !s.Keys.valid() {
		add("Keys.Alphabet", "must hold at least 2 ASCII characters in increasing order, not %q", s.Keys.Alphabet)
	} else if shards := s.shards(); shards > s.Keys.capacity() {
		add("Keys", "can't be divided into %d shards, only into %d", shards, s.Keys.capacity())
	}
	return problems
}

// shards returns the number of shards of the first partition.
func (s CatalogueSpec) shards() int {
	return s.Services * max(1, s.ShardsPerService)
}

func (s CatalogueSpec) build(addresses Addresses, firstServer int) ebonyworks.Catalogue {
	catalogue := ebonyworks.Catalogue{ID: s.ID}
	for i := range s.Services {
		service := s.service(i)
		for k := range s.ServersPerService {
			service.Servers = append(service.Servers, ebonyworks.Server{
				ID:      ebonyworks.ServerID(fmt.Sprintf("%s-%c", service.ID, 'a'+k)),
				Address: addresses.At(firstServer + i*s.ServersPerService + k),
				Domain:  s.domain(i, k),
			})
		}
		catalogue.Services = append(catalogue.Services, service)
	}
	catalogue.Partitions = []ebonyworks.Partition{s.partition(catalogue.Services)}
	return catalogue
}

func (s CatalogueSpec) service(index int) ebonyworks.Service {
	return ebonyworks.Service{
		ID:            ebonyworks.ServiceID(fmt.Sprintf("%s-%02d", s.ID, index+1)),
		Slots:         s.Slots,
		ConnectionCap: s.ConnectionCap,
		ConnectTime:   s.ConnectTime,
	}
}

// domain returns the failure domain of a replica. The first replicas take the
// domains in turn. The others take the remaining domains, and start with
// another one after each turn, so that the load of a lost domain falls on all
// others and not only on the next.
func (s CatalogueSpec) domain(service, replica int) ebonyworks.DomainID {
	count := len(s.Domains)
	first := service % count
	replica %= count
	if replica == 0 {
		return s.Domains[first]
	}
	turn := service / count
	step := 1 + (turn+replica-1)%(count-1)
	return s.Domains[(first+step)%count]
}

func (s CatalogueSpec) partition(services []ebonyworks.Service) ebonyworks.Partition {
	partition := ebonyworks.Partition{Epoch: firstEpoch}
	for i, keys := range s.Keys.divide(s.shards()) {
		partition.Shards = append(partition.Shards, ebonyworks.Shard{
			ID:      ebonyworks.ShardID(fmt.Sprintf("%s-shard-%02d", s.ID, i+1)),
			Service: services[i/max(1, s.ShardsPerService)].ID,
			Keys:    keys,
		})
	}
	return partition
}
