package configdoc

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

// Validate returns all validation errors of a configuration. It doesn't check the
// version. Paths of routes start with "Routes[i]", and paths of catalogues with the
// name of the part, "Catalogue/<id>".
func Validate(configuration *ebonyworks.Configuration) []ebonyworks.Problem {
	v := validator{
		catalogues: make(map[ebonyworks.CatalogueID]bool),
		services:   make(map[ebonyworks.ServiceID]string),
		servers:    make(map[ebonyworks.ServerID]string),
		addresses:  make(map[netip.AddrPort]string),
	}
	v.routes(configuration)
	for i := range configuration.Catalogues {
		v.catalogue(&configuration.Catalogues[i])
	}
	return v.problems
}

type validator struct {
	problems   []ebonyworks.Problem
	catalogues map[ebonyworks.CatalogueID]bool
	// services, servers and addresses map ids and addresses, which must be unique
	// across the configuration, to the path of their first use.
	services  map[ebonyworks.ServiceID]string
	servers   map[ebonyworks.ServerID]string
	addresses map[netip.AddrPort]string
}

func (v *validator) add(path, format string, arguments ...any) {
	problem := ebonyworks.Problem{Path: path, Message: fmt.Sprintf(format, arguments...)}
	v.problems = append(v.problems, problem)
}

// id checks an id by idProblem: operators must be able to type it, and to read it on
// one line.
func (v *validator) id(path, id string) {
	if message := idProblem(id); message != "" {
		v.add(path, "%s", message)
	}
}

func idProblem(id string) string {
	switch {
	case id == "":
		return "must not be empty"
	case !utf8.ValidString(id):
		return "must be valid UTF-8"
	case strings.TrimSpace(id) != id:
		return fmt.Sprintf("must not start or end with white space: %q", id)
	case strings.ContainsFunc(id, func(r rune) bool { return !unicode.IsPrint(r) }):
		return fmt.Sprintf("must hold printable characters only: %q", id)
	default:
		return ""
	}
}

// catalogueIDProblem returns what is wrong with the id of a catalogue, or "". The id
// must be a single path element, because it ends a key and tools use keys as file
// paths.
func catalogueIDProblem(id string) string {
	if strings.Contains(id, "/") || id == "." || id == ".." {
		return fmt.Sprintf("must be a single path element: %q", id)
	}
	return idProblem(id)
}

func (v *validator) routes(configuration *ebonyworks.Configuration) {
	if len(configuration.Routes) == 0 {
		v.add("Routes", "must list at least one route")
	}
	seen := make(map[ebonyworks.RouteID]bool)
	for i, route := range configuration.Routes {
		path := jsonc.Index("Routes", i)
		v.id(jsonc.Join(path, "ID"), string(route.ID))
		if seen[route.ID] {
			v.add(jsonc.Join(path, "ID"), "route %q appears twice", route.ID)
		}
		seen[route.ID] = true
		v.route(path, route)
		catalogue, known := configuration.Catalogue(route.Catalogue)
		if !known {
			v.add(jsonc.Join(path, "Catalogue"), "no catalogue %q", route.Catalogue)
			continue
		}
		v.routeDomains(path, route, catalogue)
	}
}

func (v *validator) route(path string, route ebonyworks.Route) {
	if route.Kind != ebonyworks.SearchRoute && route.Kind != ebonyworks.ReservationRoute {
		v.add(jsonc.Join(path, "Kind"), "unknown kind %d", route.Kind)
	}
	if route.Policy != ebonyworks.PreferLatency && route.Policy != ebonyworks.PreferCoverage {
		v.add(jsonc.Join(path, "Policy"), "unknown policy %d", route.Policy)
	}
	if route.Kind == ebonyworks.ReservationRoute && route.Policy != ebonyworks.PreferLatency {
		v.add(jsonc.Join(path, "Policy"), "applies to search routes only")
	}
	v.positive(jsonc.Join(path, "DefaultDeadline"), route.DefaultDeadline)
	v.positive(jsonc.Join(path, "MaxDeadline"), route.MaxDeadline)
	if route.DefaultDeadline > route.MaxDeadline {
		v.add(jsonc.Join(path, "DefaultDeadline"), "must be at most MaxDeadline, %v > %v", route.DefaultDeadline, route.MaxDeadline)
	}
}

func (v *validator) routeDomains(path string, route ebonyworks.Route, catalogue *ebonyworks.Catalogue) {
	known := make(map[ebonyworks.DomainID]bool)
	for _, service := range catalogue.Services {
		for _, server := range service.Servers {
			known[server.Domain] = true
		}
	}
	seen := make(map[ebonyworks.DomainID]bool)
	for i, domain := range route.Domains {
		inner := jsonc.Index(jsonc.Join(path, "Domains"), i)
		if !known[domain] {
			v.add(inner, "no server of catalogue %q is in domain %q", route.Catalogue, domain)
		}
		if seen[domain] {
			v.add(inner, "domain %q appears twice", domain)
		}
		seen[domain] = true
	}
}

func (v *validator) positive(path string, duration time.Duration) {
	if duration <= 0 {
		v.add(path, "must be positive, not %v", duration)
	}
}

func (v *validator) catalogue(catalogue *ebonyworks.Catalogue) {
	path := CataloguePart(catalogue.ID)
	if message := catalogueIDProblem(string(catalogue.ID)); message != "" {
		v.add(jsonc.Join(path, "ID"), "%s", message)
	}
	if v.catalogues[catalogue.ID] {
		v.add(jsonc.Join(path, "ID"), "catalogue %q appears twice", catalogue.ID)
	}
	v.catalogues[catalogue.ID] = true
	if len(catalogue.Services) == 0 {
		v.add(jsonc.Join(path, "Services"), "must list at least one service")
	}
	for i, service := range catalogue.Services {
		v.service(jsonc.Index(jsonc.Join(path, "Services"), i), service)
	}
	v.partitions(jsonc.Join(path, "Partitions"), catalogue)
}

func (v *validator) service(path string, service ebonyworks.Service) {
	v.id(jsonc.Join(path, "ID"), string(service.ID))
	if first, seen := v.services[service.ID]; seen {
		v.add(jsonc.Join(path, "ID"), "service %q appears twice, first at %s", service.ID, first)
	} else {
		v.services[service.ID] = path
	}
	if service.Slots <= 0 {
		v.add(jsonc.Join(path, "Slots"), "must be positive, not %d", service.Slots)
	}
	if service.ConnectionCap <= 0 {
		v.add(jsonc.Join(path, "ConnectionCap"), "must be positive, not %d", service.ConnectionCap)
	}
	if service.ConnectTime < 0 {
		v.add(jsonc.Join(path, "ConnectTime"), "must not be negative, not %v", service.ConnectTime)
	}
	if len(service.Servers) == 0 {
		v.add(jsonc.Join(path, "Servers"), "must list at least one server")
	}
	for i, server := range service.Servers {
		v.server(jsonc.Index(jsonc.Join(path, "Servers"), i), server)
	}
}

func (v *validator) server(path string, server ebonyworks.Server) {
	v.id(jsonc.Join(path, "ID"), string(server.ID))
	if first, seen := v.servers[server.ID]; seen {
		v.add(jsonc.Join(path, "ID"), "server %q appears twice, first at %s", server.ID, first)
	} else {
		v.servers[server.ID] = path
	}
	v.id(jsonc.Join(path, "Domain"), string(server.Domain))
	address := jsonc.Join(path, "Address")
	if message := addressProblem(server.Address); message != "" {
		v.add(address, "%s", message)
		return
	}
	if first, seen := v.addresses[server.Address]; seen {
		v.add(address, "address %v appears twice, first at %s", server.Address, first)
		return
	}
	v.addresses[server.Address] = path
}

func addressProblem(address netip.AddrPort) string {
	switch {
	case !address.IsValid():
		return "must be an IP address and port"
	case address.Addr().IsUnspecified():
		return fmt.Sprintf("must name one address, not %v", address)
	case address.Addr().Zone() != "":
		return fmt.Sprintf("must have no zone, not %v", address)
	case address.Port() == 0:
		return fmt.Sprintf("must have a port, not %v", address)
	default:
		return ""
	}
}

func (v *validator) partitions(path string, catalogue *ebonyworks.Catalogue) {
	if len(catalogue.Partitions) == 0 {
		v.add(path, "must list at least one partition")
	}
	var previous ebonyworks.PartitionEpoch
	for i, partition := range catalogue.Partitions {
		inner := jsonc.Index(path, i)
		if partition.Epoch <= previous {
			v.add(jsonc.Join(inner, "Epoch"), "must be greater than %d, not %d", previous, partition.Epoch)
		}
		previous = partition.Epoch
		v.shards(jsonc.Join(inner, "Shards"), catalogue, partition.Shards)
	}
}

func (v *validator) shards(path string, catalogue *ebonyworks.Catalogue, shards []ebonyworks.Shard) {
	if len(shards) == 0 {
		v.add(path, "must list at least one shard")
		return
	}
	services := make(map[ebonyworks.ServiceID]bool, len(catalogue.Services))
	for _, service := range catalogue.Services {
		services[service.ID] = true
	}
	seen := make(map[ebonyworks.ShardID]bool, len(shards))
	for i, shard := range shards {
		inner := jsonc.Index(path, i)
		v.id(jsonc.Join(inner, "ID"), string(shard.ID))
		if seen[shard.ID] {
			v.add(jsonc.Join(inner, "ID"), "shard %q appears twice", shard.ID)
		}
		seen[shard.ID] = true
		if !services[shard.Service] {
			v.add(jsonc.Join(inner, "Service"), "no service %q in this catalogue", shard.Service)
		}
		v.keys(jsonc.Join(inner, "Keys"), shards, i)
	}
}

// keys checks that the key range of the shard at the index is valid and starts where
// the range of the previous shard ends.
func (v *validator) keys(path string, shards []ebonyworks.Shard, index int) {
	keys := shards[index].Keys
	if !utf8.ValidString(keys.From) || !utf8.ValidString(keys.To) {
		v.add(path, "bounds must be valid UTF-8")
	}
	last := index == len(shards)-1
	if last && keys.To != "" {
		v.add(jsonc.Join(path, "To"), "must be empty on the last shard, or keys from %q on belong to no shard", keys.To)
	}
	if !last && keys.To == "" {
		v.add(jsonc.Join(path, "To"), "must not be empty before the last shard, or the ranges overlap")
	}
	if keys.To != "" && keys.From >= keys.To {
		v.add(path, "From must be before To, %q >= %q", keys.From, keys.To)
	}
	var want string
	if index > 0 {
		want = shards[index-1].Keys.To
		if want == "" {
			return
		}
	}
	if keys.From != want {
		v.add(jsonc.Join(path, "From"), "must be %q, the end of the previous range, not %q", want, keys.From)
	}
}
