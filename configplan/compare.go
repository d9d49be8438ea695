package configplan

import (
	"fmt"
	"strings"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// Difference is one difference between two configurations. Elements are named
// by their ids, so their order doesn't matter.
type Difference struct {
	// Place is the path to the field or element, such as
	// "Routes[search-hair].MaxDeadline".
	Place string
	// Old is empty if the element was added, New if it was removed.
	Old, New string
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return "+ " + d.Place + ": " + d.New
	case d.New == "":
		return "- " + d.Place + ": " + d.Old
	default:
		return "~ " + d.Place + ": " + d.Old + " -> " + d.New
	}
}

// Compare returns what differs from the older to the newer configuration, the
// removals first and the additions last. What an added or removed
// element holds isn't listed. An added partition is also compared with the one
// before it. Marks aren't compared.
func Compare(older, newer *ebonyworks.Configuration) []Difference {
	differences := compareFacts(facts(older), facts(newer))
	for _, catalogue := range newer.Catalogues {
		before, found := older.Catalogue(catalogue.ID)
		if !found {
			continue
		}
		for i := 1; i < len(catalogue.Partitions); i++ {
			if _, known := before.Partition(catalogue.Partitions[i].Epoch); !known {
				differences = append(differences, comparePartitions(catalogue, i)...)
			}
		}
	}
	return differences
}

// comparePartitions compares a partition of the catalogue with the one before.
func comparePartitions(catalogue ebonyworks.Catalogue, index int) []Difference {
	previous, next := catalogue.Partitions[index-1], catalogue.Partitions[index]
	step := element("Partitions", fmt.Sprintf("%d to %d", previous.Epoch, next.Epoch))
	place := jsonc.Join(configdoc.CataloguePart(catalogue.ID), step)
	var before, after factList
	before.shards(place, previous.Shards)
	after.shards(place, next.Shards)
	return compareFacts(before, after)
}

// fact is a field or element of a configuration. Elements stand before what
// they hold, and their values describe them in short.
type fact struct {
	place, value string
	// depth is the number of elements around the field or element.
	depth int
}

func compareFacts(before, after []fact) []Difference {
	known := make(map[string]string, len(after))
	for _, fact := range after {
		known[fact.place] = fact.value
	}
	var differences []Difference
	for _, fact := range missing(before, after) {
		differences = append(differences, Difference{Place: fact.place, Old: fact.value})
	}
	for _, fact := range before {
		if value, found := known[fact.place]; found && value != fact.value {
			differences = append(differences, Difference{Place: fact.place, Old: fact.value, New: value})
		}
	}
	for _, fact := range missing(after, before) {
		differences = append(differences, Difference{Place: fact.place, New: fact.value})
	}
	return differences
}

// missing returns the facts whose place isn't in the other list, without
// those within an element that is missing itself.
func missing(facts, other []fact) []fact {
	known := make(map[string]bool, len(other))
	for _, fact := range other {
		known[fact.place] = true
	}
	var result []fact
	inside := false
	for _, fact := range facts {
		if inside && fact.depth > result[len(result)-1].depth {
			continue
		}
		inside = !known[fact.place]
		if inside {
			result = append(result, fact)
		}
	}
	return result
}

type factList []fact

// element adds an element at the depth.
func (f *factList) element(place string, depth int, value string) {
	*f = append(*f, fact{place: place, value: value, depth: depth})
}

// field adds a field of the element at the place, which has the depth.
func (f *factList) field(place string, depth int, name string, value any) {
	*f = append(*f, fact{place: jsonc.Join(place, name), value: fmt.Sprint(value), depth: depth + 1})
}

func facts(configuration *ebonyworks.Configuration) []fact {
	var list factList
	for _, route := range configuration.Routes {
		list.route(route)
	}
	for _, catalogue := range configuration.Catalogues {
		list.catalogue(catalogue)
	}
	return list
}

func (f *factList) route(route ebonyworks.Route) {
	place := element("Routes", string(route.ID))
	f.element(place, 0, "route to "+string(route.Catalogue))
	f.field(place, 0, "Kind", kindName(route.Kind))
	f.field(place, 0, "Policy", policyName(route))
	f.field(place, 0, "Domains", domainNames(route.Domains))
	f.field(place, 0, "DefaultDeadline", route.DefaultDeadline)
	f.field(place, 0, "MaxDeadline", route.MaxDeadline)
}

func (f *factList) catalogue(catalogue ebonyworks.Catalogue) {
	place := configdoc.CataloguePart(catalogue.ID)
	f.element(place, 0, fmt.Sprintf("%d services", len(catalogue.Services)))
	for _, service := range catalogue.Services {
		f.service(jsonc.Join(place, element("Services", string(service.ID))), service)
	}
	for _, partition := range catalogue.Partitions {
		inner := jsonc.Join(place, element("Partitions", fmt.Sprint(partition.Epoch)))
		f.element(inner, 1, fmt.Sprintf("%d shards", len(partition.Shards)))
		f.shards(inner, partition.Shards)
	}
}

func (f *factList) service(place string, service ebonyworks.Service) {
	f.element(place, 1, fmt.Sprintf("%d servers", len(service.Servers)))
	f.field(place, 1, "Slots", service.Slots)
	f.field(place, 1, "ConnectionCap", service.ConnectionCap)
	f.field(place, 1, "ConnectTime", service.ConnectTime)
	for _, server := range service.Servers {
		inner := jsonc.Join(place, element("Servers", string(server.ID)))
		f.element(inner, 2, fmt.Sprintf("%v in %s", server.Address, server.Domain))
	}
}

// shards adds the shards of the partition at the place.
func (f *factList) shards(place string, shards []ebonyworks.Shard) {
	for _, shard := range shards {
		inner := jsonc.Join(place, element("Shards", string(shard.ID)))
		f.element(inner, 2, fmt.Sprintf("%s on %s", keysName(shard.Keys), shard.Service))
	}
}

func element(list, id string) string {
	return list + "[" + id + "]"
}

func kindName(kind ebonyworks.RouteKind) string {
	if kind == ebonyworks.ReservationRoute {
		return "Reservation"
	}
	return "Search"
}

func policyName(route ebonyworks.Route) string {
	switch {
	case route.Kind == ebonyworks.ReservationRoute:
		return "none"
	case route.Policy == ebonyworks.PreferCoverage:
		return "Coverage"
	default:
		return "Latency"
	}
}

func domainNames(domains []ebonyworks.DomainID) string {
	if len(domains) == 0 {
		return "all"
	}
	names := make([]string, len(domains))
	for i, domain := range domains {
		names[i] = string(domain)
	}
	return strings.Join(names, ", ")
}

// keysName writes a range with quoted bounds; an open end is empty.
func keysName(keys ebonyworks.KeyRange) string {
	to := ""
	if keys.To != "" {
		to = fmt.Sprintf("%q", keys.To)
	}
	return fmt.Sprintf("%q..%s", keys.From, to)
}

// describeDeadlines writes the deadlines of a route.
func describeDeadlines(route ebonyworks.Route) string {
	return fmt.Sprintf("%v by default, at most %v", route.DefaultDeadline, route.MaxDeadline)
}
