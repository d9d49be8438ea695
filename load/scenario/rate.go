package scenario

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/load/workload"
)

const percent = 100

// Capacity returns the rate of requests per second at which the busiest service
// has all its slots in use: its slots, divided by the mean service time and by
// the sub-requests that one request of the mix sends to it on average.
func Capacity(configuration *ebonyworks.Configuration, mix workload.Mix, mean time.Duration) float64 {
	perRequest := subRequests(configuration, mix)
	var lowest float64
	for _, catalogue := range configuration.Catalogues {
		for _, service := range catalogue.Services {
			needed := perRequest[service.ID]
			if needed == 0 {
				continue
			}
			slots := float64(service.Slots * len(service.Servers))
			rate := slots / (mean.Seconds() * needed)
			if lowest == 0 || rate < lowest {
				lowest = rate
			}
		}
	}
	return lowest
}

// SubRequests returns how many sub-requests one request of the mix needs on
// average, over all services.
func SubRequests(configuration *ebonyworks.Configuration, mix workload.Mix) float64 {
	var total float64
	for _, needed := range subRequests(configuration, mix) {
		total += needed
	}
	return total
}

func subRequests(configuration *ebonyworks.Configuration, mix workload.Mix) map[ebonyworks.ServiceID]float64 {
	var weights int
	for _, route := range mix.Routes {
		weights += route.Weight
	}
	needed := make(map[ebonyworks.ServiceID]float64)
	for _, route := range mix.Routes {
		shards := Shards(configuration, route.ID)
		share := float64(route.Weight) / float64(weights)
		// A request for a single key needs one of the shards.
		single := 1.0
		if route.Kind == ebonyworks.SearchRoute {
			single = float64(route.SingleKey) / percent
		}
		perShard := share * (1 - single + single/float64(len(shards)))
		for _, shard := range shards {
			needed[shard.Service] += perShard
		}
	}
	return needed
}

// Shards returns the shards of the newest partition that the route searches.
func Shards(configuration *ebonyworks.Configuration, id ebonyworks.RouteID) []ebonyworks.Shard {
	route, ok := configuration.Route(id)
	if !ok {
		return nil
	}
	catalogue, ok := configuration.Catalogue(route.Catalogue)
	if !ok || len(catalogue.Partitions) == 0 {
		return nil
	}
	return catalogue.Partitions[len(catalogue.Partitions)-1].Shards
}
