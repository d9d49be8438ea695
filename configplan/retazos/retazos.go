// Package retazos is the deployment of Consorcio Retazos Unidos de Costa Rica:
// rival quilting houses that share one search over bee blocks.
package retazos

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
)

// Catalogues of the deployment.
const (
	CatalogoBloques ebonyworks.CatalogueID = "catálogo-bloques"
	ReservaBee      ebonyworks.CatalogueID = "reserva-bee"
	BodegaCasa      ebonyworks.CatalogueID = "bodega-casa"
	AvisoGremio     ebonyworks.CatalogueID = "aviso-gremio"
)

// Routes of the deployment.
const (
	SearchBlocks ebonyworks.RouteID = "search-blocks"
	HouseStock   ebonyworks.RouteID = "house-stock"
	ReserveBlock ebonyworks.RouteID = "reserve-block"
	NotifyGuild  ebonyworks.RouteID = "notify-guild"
)

// Deadlines of the routes. Searches have time to get missing shards, since a
// partial catalogue is worse than a late one.
const (
	searchDeadline         = time.Second
	maxSearchDeadline      = 5 * time.Second
	reservationDeadline    = 2 * time.Second
	maxReservationDeadline = 10 * time.Second
)

// Domains returns the failure domains.
func Domains() []ebonyworks.DomainID {
	return []ebonyworks.DomainID{"Heredia", "Alajuela", "Cartago", "San José"}
}

// Plan returns the deployment with servers at the given addresses.
func Plan(addresses configplan.Addresses) *configplan.Plan {
	plan := &configplan.Plan{Addresses: addresses}
	return plan.
		Catalogue(sharded(CatalogoBloques, 20)).
		Catalogue(sharded(ReservaBee, 30)).
		Catalogue(single(BodegaCasa, 5)).
		Catalogue(single(AvisoGremio, 4)).
		Route(search(SearchBlocks, CatalogoBloques)).
		Route(search(HouseStock, BodegaCasa)).
		Route(reservation(ReserveBlock, ReservaBee)).
		Route(reservation(NotifyGuild, AvisoGremio))
}

// sharded describes a catalogue of many small services.
func sharded(id ebonyworks.CatalogueID, services int) configplan.CatalogueSpec {
	return configplan.CatalogueSpec{
		ID:                id,
		Services:          services,
		ServersPerService: 2,
		Slots:             2,
		ConnectionCap:     25,
		ConnectTime:       6 * time.Millisecond,
		Domains:           Domains(),
	}
}

// single describes a catalogue of one service.
func single(id ebonyworks.CatalogueID, servers int) configplan.CatalogueSpec {
	return configplan.CatalogueSpec{
		ID:                id,
		Services:          1,
		ServersPerService: servers,
		Slots:             4,
		ConnectionCap:     40,
		ConnectTime:       time.Millisecond,
		Domains:           Domains(),
	}
}

func search(id ebonyworks.RouteID, catalogue ebonyworks.CatalogueID) ebonyworks.Route {
	return ebonyworks.Route{
		ID:              id,
		Catalogue:       catalogue,
		Kind:            ebonyworks.SearchRoute,
		Policy:          ebonyworks.PreferCoverage,
		DefaultDeadline: searchDeadline,
		MaxDeadline:     maxSearchDeadline,
	}
}

func reservation(id ebonyworks.RouteID, catalogue ebonyworks.CatalogueID) ebonyworks.Route {
	return ebonyworks.Route{
		ID:              id,
		Catalogue:       catalogue,
		Kind:            ebonyworks.ReservationRoute,
		DefaultDeadline: reservationDeadline,
		MaxDeadline:     maxReservationDeadline,
	}
}
