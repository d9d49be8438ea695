// Package workload generates requests from a mix of routes, customers and queries.
package workload

import (
	"fmt"
	"math/rand/v2"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load"
)

// keyAlphabet are the characters that start the keys of the shipped
// deployments.
const keyAlphabet = "0123456789abcdefghijklmnopqrstuvwxyz"

// keyLength is the number of random characters of a key.
const keyLength = 6

// House is a tenant and its share of the requests.
type House struct {
	ID     ebonyworks.CustomerID
	Weight int
}

// Route is a route and its share of the requests.
type Route struct {
	ID     ebonyworks.RouteID
	Kind   ebonyworks.RouteKind
	Weight int
	// SingleKey is the part of the distinct searches, in percent, that ask for
	// one key instead of the whole catalogue.
	SingleKey int
	// Filter is the field that searches filter on, and Values the values that
	// it takes; without values, each distinct query has a value of its own.
	Filter string
	Values []string
}

// Mix describes what callers ask for. Weights are positive.
type Mix struct {
	Houses []House
	Routes []Route
	// Distinct is the number of distinct searches of each route.
	Distinct int
	// Skew is the exponent of the Zipf distribution over the distinct searches;
	// it is above 1.
	Skew float64
}

// Demand draws requests. It isn't safe for concurrent use.
type Demand struct {
	mix       Mix
	generator *rand.Rand
	zipf      *rand.Zipf
	// searches are the distinct searches of each route, the most frequent first.
	searches [][]load.Request
	reserved int
}

// New returns a demand for the mix. The distinct searches depend on the mix
// alone; what is drawn from them also depends on the generator.
func New(mix Mix, generator *rand.Rand) *Demand {
	d := &Demand{
		mix:       mix,
		generator: generator,
		zipf:      rand.NewZipf(generator, mix.Skew, 1, uint64(mix.Distinct-1)),
	}
	for i, route := range mix.Routes {
		var searches []load.Request
		if route.Kind == ebonyworks.SearchRoute {
			searches = distinct(route, mix.Distinct, rand.New(rand.NewPCG(uint64(i), 0)))
		}
		d.searches = append(d.searches, searches)
	}
	return d
}

// distinct returns the searches of one route. Every n-th one asks for a single
// key, so that their share holds for frequent and rare searches alike.
func distinct(route Route, count int, generator *rand.Rand) []load.Request {
	searches := make([]load.Request, 0, count)
	for i := range count {
		request := load.Request{
			Route:   route.ID,
			Filters: []ebonyworks.Field{{Name: route.Filter, Value: value(route, i)}},
		}
		single := (i+1)*route.SingleKey/100 > i*route.SingleKey/100
		if single {
			request.Keys = ebonyworks.SingleKey(key(generator))
		}
		searches = append(searches, request)
	}
	return searches
}

// value returns the filter value of the distinct search. When values repeat, a
// suffix that no row has keeps the searches distinct.
func value(route Route, index int) string {
	if len(route.Values) == 0 {
		return fmt.Sprintf("%s-%03d", route.Filter, index)
	}
	text := route.Values[index%len(route.Values)]
	if round := index / len(route.Values); round > 0 {
		return fmt.Sprintf("%s-%d", text, round)
	}
	return text
}

func key(generator *rand.Rand) string {
	text := make([]byte, keyLength)
	for i := range text {
		text[i] = keyAlphabet[generator.IntN(len(keyAlphabet))]
	}
	return string(text)
}

// Draw returns the next request.
func (d *Demand) Draw() load.Request {
	route := d.route()
	house := d.house()
	if d.mix.Routes[route].Kind == ebonyworks.ReservationRoute {
		return d.reservation(d.mix.Routes[route], house)
	}
	request := d.searches[route][d.zipf.Uint64()]
	request.House = house
	return request
}

// reservation returns a reservation with a body that occurs once, as those of
// real callers do.
func (d *Demand) reservation(route Route, house ebonyworks.CustomerID) load.Request {
	d.reserved++
	return load.Request{
		Route:  route.ID,
		House:  house,
		Kind:   ebonyworks.ReservationRoute,
		Key:    fmt.Sprintf("%s-%d", key(d.generator), d.reserved),
		Fields: []ebonyworks.Field{{Name: "Purpose", Value: "load"}},
	}
}

// Distinct returns every distinct search once.
func (d *Demand) Distinct() []load.Request {
	var all []load.Request
	for _, searches := range d.searches {
		for _, request := range searches {
			request.House = d.mix.Houses[0].ID
			all = append(all, request)
		}
	}
	return all
}

func (d *Demand) route() int {
	weights := make([]int, 0, len(d.mix.Routes))
	for _, route := range d.mix.Routes {
		weights = append(weights, route.Weight)
	}
	return d.weighted(weights)
}

func (d *Demand) house() ebonyworks.CustomerID {
	weights := make([]int, 0, len(d.mix.Houses))
	for _, house := range d.mix.Houses {
		weights = append(weights, house.Weight)
	}
	return d.mix.Houses[d.weighted(weights)].ID
}

// weighted returns an index with a probability in proportion to its weight.
func (d *Demand) weighted(weights []int) int {
	var total int
	for _, weight := range weights {
		total += weight
	}
	drawn := d.generator.IntN(total)
	for i, weight := range weights {
		if drawn -= weight; drawn < 0 {
			return i
		}
	}
	return len(weights) - 1
}
