package configdoc

import (
	"net/netip"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

func (w manifestWire) toModel() ebonyworks.Manifest {
	manifest := ebonyworks.Manifest{
		Revision: ebonyworks.Revision(w.Revision),
		Base: ebonyworks.ConfigurationVersion{
			Revision: ebonyworks.Revision(w.Base.Revision),
			Digest:   ebonyworks.Digest(w.Base.Digest),
		},
	}
	for _, part := range w.Parts {
		manifest.Parts = append(manifest.Parts, ebonyworks.PartDigest{Name: part.Name, Digest: ebonyworks.Digest(part.Digest)})
	}
	return manifest
}

func manifestToWire(manifest ebonyworks.Manifest) manifestWire {
	wire := manifestWire{
		Revision: uint64(manifest.Revision),
		Base:     versionWire{Revision: uint64(manifest.Base.Revision), Digest: digestWire(manifest.Base.Digest)},
		Parts:    []partWire{},
	}
	for _, part := range manifest.Parts {
		wire.Parts = append(wire.Parts, partWire{Name: part.Name, Digest: digestWire(part.Digest)})
	}
	return wire
}

func (w routeWire) toModel() ebonyworks.Route {
	route := ebonyworks.Route{
		ID:              ebonyworks.RouteID(w.ID),
		Catalogue:       ebonyworks.CatalogueID(w.Catalogue),
		DefaultDeadline: time.Duration(w.DefaultDeadline),
		MaxDeadline:     time.Duration(w.MaxDeadline),
	}
	if w.Kind == reservationKind {
		route.Kind = ebonyworks.ReservationRoute
	}
	if w.Policy == coveragePolicy {
		route.Policy = ebonyworks.PreferCoverage
	}
	for _, domain := range w.Domains {
		route.Domains = append(route.Domains, ebonyworks.DomainID(domain))
	}
	return route
}

func routesToWire(routes []ebonyworks.Route) routesWire {
	wire := routesWire{Routes: []routeWire{}}
	for _, route := range routes {
		wire.Routes = append(wire.Routes, routeToWire(route))
	}
	return wire
}

func routeToWire(route ebonyworks.Route) routeWire {
	wire := routeWire{
		ID:              string(route.ID),
		Catalogue:       string(route.Catalogue),
		Kind:            searchKind,
		Policy:          latencyPolicy,
		DefaultDeadline: jsonc.Duration(route.DefaultDeadline),
		MaxDeadline:     jsonc.Duration(route.MaxDeadline),
	}
	if route.Policy == ebonyworks.PreferCoverage {
		wire.Policy = coveragePolicy
	}
	if route.Kind == ebonyworks.ReservationRoute {
		wire.Kind = reservationKind
		wire.Policy = ""
	}
	for _, domain := range route.Domains {
		wire.Domains = append(wire.Domains, string(domain))
	}
	return wire
}

func (w catalogueWire) toModel() ebonyworks.Catalogue {
	catalogue := ebonyworks.Catalogue{ID: ebonyworks.CatalogueID(w.ID)}
	for _, service := range w.Services {
		catalogue.Services = append(catalogue.Services, service.toModel())
	}
	for _, partition := range w.Partitions {
		catalogue.Partitions = append(catalogue.Partitions, partition.toModel())
	}
	return catalogue
}

func (w serviceWire) toModel() ebonyworks.Service {
	service := ebonyworks.Service{
		ID:            ebonyworks.ServiceID(w.ID),
		Slots:         w.Slots,
		ConnectionCap: w.ConnectionCap,
		ConnectTime:   time.Duration(w.ConnectTime),
	}
	for _, server := range w.Servers {
		service.Servers = append(service.Servers, ebonyworks.Server{
			ID:      ebonyworks.ServerID(server.ID),
			Address: netip.AddrPort(server.Address),
			Domain:  ebonyworks.DomainID(server.Domain),
		})
	}
	return service
}

func (w partitionWire) toModel() ebonyworks.Partition {
	partition := ebonyworks.Partition{Epoch: ebonyworks.PartitionEpoch(w.Epoch)}
	for _, shard := range w.Shards {
		partition.Shards = append(partition.Shards, ebonyworks.Shard{
			ID:      ebonyworks.ShardID(shard.ID),
			Service: ebonyworks.ServiceID(shard.Service),
			Keys:    ebonyworks.KeyRange{From: shard.Keys.From, To: shard.Keys.To},
		})
	}
	return partition
}

func catalogueToWire(catalogue ebonyworks.Catalogue) catalogueWire {
	wire := catalogueWire{ID: string(catalogue.ID), Services: []serviceWire{}, Partitions: []partitionWire{}}
	for _, service := range catalogue.Services {
		wire.Services = append(wire.Services, serviceToWire(service))
	}
	for _, partition := range catalogue.Partitions {
		wire.Partitions = append(wire.Partitions, partitionToWire(partition))
	}
	return wire
}

func serviceToWire(service ebonyworks.Service) serviceWire {
	wire := serviceWire{
		ID:            string(service.ID),
		Slots:         service.Slots,
		ConnectionCap: service.ConnectionCap,
		ConnectTime:   jsonc.Duration(service.ConnectTime),
		Servers:       []serverWire{},
	}
	for _, server := range service.Servers {
		wire.Servers = append(wire.Servers, serverWire{
			ID:      string(server.ID),
			Address: addressWire(server.Address),
			Domain:  string(server.Domain),
		})
	}
	return wire
}

func partitionToWire(partition ebonyworks.Partition) partitionWire {
	wire := partitionWire{Epoch: uint64(partition.Epoch), Shards: []shardWire{}}
	for _, shard := range partition.Shards {
		wire.Shards = append(wire.Shards, shardWire{
			ID:      string(shard.ID),
			Service: string(shard.Service),
			Keys:    keysWire{From: shard.Keys.From, To: shard.Keys.To},
		})
	}
	return wire
}

func (w hostWire) toModel() ebonyworks.ListedHost {
	host := ebonyworks.ListedHost{
		Name:    w.Name,
		Address: netip.AddrPort(w.Address),
		Domain:  ebonyworks.DomainID(w.Domain),
		Leaving: w.Leaving,
	}
	if w.Role == serverRole {
		host.Role = ebonyworks.ServerRole
	}
	return host
}

func hostToWire(host ebonyworks.ListedHost) hostWire {
	wire := hostWire{
		Name:    host.Name,
		Role:    entryRole,
		Address: addressWire(host.Address),
		Domain:  string(host.Domain),
		Leaving: host.Leaving,
	}
	if host.Role == ebonyworks.ServerRole {
		wire.Role = serverRole
	}
	return wire
}
