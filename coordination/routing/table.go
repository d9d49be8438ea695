// Package routing finds the route of an opaque request by its host name and path, and
// distributes the requests of a route over its backends by weight.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/ebonyworks/ebonyworks"
)

// Table is an index of the routes of one configuration. Use New. It is safe for
// concurrent use.
type Table struct {
	configuration *ebonyworks.ForwardConfiguration
	// hosts holds the routes of each host name in lower case, longest prefix first.
	hosts map[string][]*Route
	// services are those of the configuration by id.
	services map[ebonyworks.ServiceID]*ebonyworks.ForwardService
}

// Route is a route of a table with the state of its smooth weighted round robin.
type Route struct {
	ebonyworks.ForwardRoute
	mutex sync.Mutex
	// currentWeights holds the current weight of each backend; the one with the largest
	// gets the next request. Their sum is zero between requests. mutex guards it.
	currentWeights []float64
}

// New indexes the routes of a configuration.
func New(configuration *ebonyworks.ForwardConfiguration) *Table {
	table := &Table{configuration: configuration, hosts: make(map[string][]*Route)}
	for i := range configuration.Routes {
		route := &Route{ForwardRoute: configuration.Routes[i]}
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	table.services = make(map[ebonyworks.ServiceID]*ebonyworks.ForwardService, len(configuration.Services))
	for i := range configuration.Services {
		table.services[configuration.Services[i].ID] = &configuration.Services[i]
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table
}

// Configuration returns the configuration that the table was built from.
func (t *Table) Configuration() *ebonyworks.ForwardConfiguration { return t.configuration }

// Service returns the configuration of the service, or false if it has none.
func (t *Table) Service(id ebonyworks.ServiceID) (ebonyworks.ForwardService, bool) {
	service := t.services[id]
	if service == nil {
		return ebonyworks.ForwardService{}, false
	}
	return *service, true
}

// Match returns the route of the host name with the longest prefix that matches the
// path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// InheritWeights copies the current weights of routes that the earlier table holds with
// the same backends, so that a change of other routes doesn't reset their round robin.
func (t *Table) InheritWeights(earlier *Table) {
	if earlier == nil {
		return
	}
	earlierRoutes := make(map[ebonyworks.RouteID]*Route)
	for _, routes := range earlier.hosts {
		for _, route := range routes {
			earlierRoutes[route.ID] = route
		}
	}
	for _, routes := range t.hosts {
		for _, route := range routes {
			if before := earlierRoutes[route.ID]; before != nil && slices.Equal(before.Backends, route.Backends) {
				route.currentWeights = before.weights()
			}
		}
	}
}

// Next returns the service for the next request. Any series of requests is distributed
// by the weights (smooth weighted round robin).
func (r *Route) Next() ebonyworks.ServiceID {
	if len(r.Backends) == 0 {
		return ""
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.currentWeights) != len(r.Backends) {
		r.currentWeights = make([]float64, len(r.Backends))
	}
	return r.Backends[r.advance(r.currentWeights)].Service
}

// Peek returns what the next call of Next will return.
func (r *Route) Peek() ebonyworks.ServiceID {
	if len(r.Backends) == 0 {
		return ""
	}
	weights := r.weights()
	if len(weights) != len(r.Backends) {
		weights = make([]float64, len(r.Backends))
	}
	return r.Backends[r.advance(weights)].Service
}

// advance updates the current weights for one request, and returns the index of its
// backend.
func (r *Route) advance(weights []float64) int {
	total := 0.0
	best := 0
	for i, backend := range r.Backends {
		weights[i] += backend.Weight
		total += backend.Weight
		if weights[i] > weights[best] {
			best = i
		}
	}
	weights[best] -= total
	return best
}

func (r *Route) weights() []float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.currentWeights)
}
