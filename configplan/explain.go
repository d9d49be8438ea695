package configplan

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

// hostsPerConnectionCap is the number of hosts that share the connections of a
// server: twice the 8 hosts of a user, since all may be replaced at once.
const hostsPerConnectionCap = 2 * 8

// ConnectionsPerHost returns the number of connections that one host may open
// to one server of the service.
func ConnectionsPerHost(service ebonyworks.Service) int {
	return max(1, service.ConnectionCap/hostsPerConnectionCap)
}

// Resolution is what a route resolves to under one partition.
type Resolution struct {
	Route ebonyworks.Route
	Epoch ebonyworks.PartitionEpoch
	// Shards are in the order of their keys.
	Shards []ResolvedShard
}

// ResolvedShard is a shard with the servers that can serve it.
type ResolvedShard struct {
	Shard   ebonyworks.Shard
	Service ebonyworks.Service
	// Servers are those in the failure domains of the route.
	Servers []ebonyworks.Server
}

// Explain resolves a route under the newest partition of its catalogue. It
// returns false if the configuration has no such route.
func Explain(configuration *ebonyworks.Configuration, id ebonyworks.RouteID) (Resolution, bool) {
	route, found := configuration.Route(id)
	if !found {
		return Resolution{}, false
	}
	resolution := Resolution{Route: route}
	catalogue, found := configuration.Catalogue(route.Catalogue)
	if !found || len(catalogue.Partitions) == 0 {
		return resolution, true
	}
	partition := catalogue.Partitions[len(catalogue.Partitions)-1]
	resolution.Epoch = partition.Epoch
	for _, shard := range partition.Shards {
		resolved := ResolvedShard{Shard: shard}
		if service, found := catalogue.Service(shard.Service); found {
			resolved.Service = *service
			resolved.Servers = allowed(route, service.Servers)
		}
		resolution.Shards = append(resolution.Shards, resolved)
	}
	return resolution, true
}

func allowed(route ebonyworks.Route, servers []ebonyworks.Server) []ebonyworks.Server {
	var result []ebonyworks.Server
	for _, server := range servers {
		if route.Allows(server.Domain) {
			result = append(result, server)
		}
	}
	return result
}

// Connections returns the number of connections that one host opens at most
// for the route.
func (r Resolution) Connections() int {
	total := 0
	counted := make(map[ebonyworks.ServiceID]bool)
	for _, shard := range r.Shards {
		if !counted[shard.Service.ID] {
			total += len(shard.Servers) * ConnectionsPerHost(shard.Service)
		}
		counted[shard.Service.ID] = true
	}
	return total
}

// Print writes the resolution as text.
func (r Resolution) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fields := []struct{ name, value string }{
		{"Route", string(r.Route.ID)},
		{"Kind", kindName(r.Route.Kind)},
		{"Policy", policyName(r.Route)},
		{"Deadline", describeDeadlines(r.Route)},
		{"Domains", domainNames(r.Route.Domains)},
		{"Catalogue", string(r.Route.Catalogue)},
		{"Partition epoch", fmt.Sprint(r.Epoch)},
		{"Shards", fmt.Sprint(len(r.Shards))},
		{"Connections per host", fmt.Sprintf("%d at most", r.Connections())},
	}
	for _, field := range fields {
		_, _ = fmt.Fprintf(table, "%s:\t%s\n", field.name, field.value)
	}
	// The tab writer keeps the first error and returns it from Flush.
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(table, "\nSHARD\tKEYS\tSERVICE\tSLOTS\tSERVER\tADDRESS\tDOMAIN\tCONNECTIONS PER HOST")
	for _, shard := range r.Shards {
		shard.print(table)
	}
	return table.Flush()
}

func (s ResolvedShard) print(table io.Writer) {
	if len(s.Servers) == 0 {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\tnone in the domains of the route\t\t\t\n",
			s.Shard.ID, keysName(s.Shard.Keys), s.Service.ID, s.Service.Slots)
	}
	for _, server := range s.Servers {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\n",
			s.Shard.ID, keysName(s.Shard.Keys), s.Service.ID, s.Service.Slots,
			server.ID, server.Address, server.Domain, ConnectionsPerHost(s.Service))
	}
}

// Warnings returns what hosts accept but an operator should know: shards that
// a route can't reach, and services that one failure domain takes down.
func Warnings(configuration *ebonyworks.Configuration) []ebonyworks.Problem {
	var warnings []ebonyworks.Problem
	for _, route := range configuration.Routes {
		place := jsonc.Join(element("Routes", string(route.ID)), "Domains")
		resolution, _ := Explain(configuration, route.ID)
		for _, shard := range resolution.Shards {
			if len(shard.Servers) == 0 {
				message := fmt.Sprintf("no server of service %q is in them, so shard %q is always missed", shard.Service.ID, shard.Shard.ID)
				warnings = append(warnings, ebonyworks.Problem{Path: place, Message: message})
			}
		}
	}
	for _, catalogue := range configuration.Catalogues {
		for _, service := range catalogue.Services {
			if message := replicaWarning(service); message != "" {
				place := fmt.Sprintf("Catalogue/%s.%s", catalogue.ID, element("Services", string(service.ID)))
				warnings = append(warnings, ebonyworks.Problem{Path: place, Message: message})
			}
		}
	}
	return warnings
}

func replicaWarning(service ebonyworks.Service) string {
	domains := make(map[ebonyworks.DomainID]bool)
	for _, server := range service.Servers {
		domains[server.Domain] = true
	}
	if len(service.Servers) == 1 {
		return "has one server, so its shards are missed when that server is lost"
	}
	if len(domains) == 1 {
		return fmt.Sprintf("all servers are in failure domain %q", service.Servers[0].Domain)
	}
	return ""
}
