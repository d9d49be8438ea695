// Command miniature prints the configuration of a small deployment, with which
// the recordings for the replay test are made.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: miniature DIRECTORY")
		os.Exit(2)
	}
	publication, problems := plan().Publish(1, ebonyworks.ConfigurationVersion{})
	if problems != nil {
		fmt.Fprintln(os.Stderr, problems)
		os.Exit(1)
	}
	if err := configplan.Directory(os.Args[1]).Write(publication); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// plan has a catalogue of three small services to search and one of a single
// service for reservations.
func plan() *configplan.Plan {
	domains := []ebonyworks.DomainID{"Sapporo", "Asahikawa", "Hakodate"}
	return (&configplan.Plan{}).
		Catalogue(configplan.CatalogueSpec{
			ID: "stock-finder", Services: 3, ServersPerService: 2,
			Slots: 2, ConnectionCap: 25, ConnectTime: 6 * time.Millisecond, Domains: domains,
		}).
		Catalogue(configplan.CatalogueSpec{
			ID: "fitting-desk", Services: 1, ServersPerService: 3,
			Slots: 4, ConnectionCap: 40, ConnectTime: time.Millisecond, Domains: domains,
		}).
		Route(ebonyworks.Route{
			ID: "search-hair", Catalogue: "stock-finder", Kind: ebonyworks.SearchRoute, Policy: ebonyworks.PreferCoverage,
			DefaultDeadline: 500 * time.Millisecond, MaxDeadline: 2 * time.Second,
		}).
		Route(ebonyworks.Route{
			ID: "reserve-bundle", Catalogue: "fitting-desk", Kind: ebonyworks.ReservationRoute,
			DefaultDeadline: time.Second, MaxDeadline: 5 * time.Second,
		})
}
