package configplan_test

import (
	"fmt"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
)

func ExamplePlan() {
	plan := &configplan.Plan{}
	plan.Catalogue(configplan.CatalogueSpec{
		ID:                "blocks",
		Services:          2,
		ServersPerService: 2,
		Slots:             2,
		ConnectionCap:     25,
		ConnectTime:       6 * time.Millisecond,
		Domains:           []ebonyworks.DomainID{"Heredia", "Cartago"},
	})
	plan.Route(ebonyworks.Route{
		ID:              "search-blocks",
		Catalogue:       "blocks",
		DefaultDeadline: 250 * time.Millisecond,
		MaxDeadline:     time.Second,
	})
	publication, problems := plan.Publish(1, ebonyworks.ConfigurationVersion{})
	for _, problem := range problems {
		fmt.Println(problem.Path, problem.Message)
	}
	for _, value := range publication.Values() {
		fmt.Println(value.Key)
	}
	// Output:
	// Configuration/Parts/Catalogue/blocks
	// Configuration/Parts/Routes
	// Configuration/Head
}
