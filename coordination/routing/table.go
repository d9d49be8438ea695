// Package routing finds the route of an opaque request by its host and path.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/ebonyworks/ebonyworks"
)

// Table finds routes of one configuration. Use New. It is safe for concurrent
// use.
type Table struct {
	configuration *ebonyworks.ForwardConfiguration
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*Route
}

// Route is a route of a table, with the distribution of its requests.
type Route struct {
	ebonyworks.ForwardRoute
	mutex sync.Mutex
	// credit is the claim of each backend to the next requests; it sums up to
	// zero between requests.
	credit []float64
}

// New indexes the routes of a configuration.
func New(configuration *ebonyworks.ForwardConfiguration) *Table {
	table := &Table{configuration: configuration, hosts: make(map[string][]*Route)}
	for i := range configuration.Routes {
		route := &Route{ForwardRoute: configuration.Routes[i]}
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table
}

// Configuration returns the configuration that the table was made from.
func (t *Table) Configuration() *ebonyworks.ForwardConfiguration { return t.configuration }

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// InheritWeights takes over the distribution of routes that the earlier table had
// with the same backends, so that a change of other routes doesn't restart it.
func (t *Table) InheritWeights(earlier *Table) {
	if earlier == nil {
		return
	}
	known := make(map[ebonyworks.RouteID]*Route)
	for _, routes := range earlier.hosts {
		for _, route := range routes {
			known[route.ID] = route
		}
	}
	for _, routes := range t.hosts {
		for _, route := range routes {
			if before := known[route.ID]; before != nil && slices.Equal(before.Backends, route.Backends) {
				route.credit = before.credits()
			}
		}
	}
}

// Next returns the service of the next request, so that each backend gets its
// share of any run of requests (smooth weighted round robin).
func (r *Route) Next() ebonyworks.ServiceID {
	if len(r.Backends) == 0 {
		return ""
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.credit) != len(r.Backends) {
		r.credit = make([]float64, len(r.Backends))
	}
	total := 0.0
	best := 0
	for i, backend := range r.Backends {
		r.credit[i] += backend.Weight
		total += backend.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= total
	return r.Backends[best].Service
}

func (r *Route) credits() []float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.credit)
}
