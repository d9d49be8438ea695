// Package kitakaze is the deployment of Kitakaze Hair Bank Franchise Head
// Office: fitting rooms across Hokkaido that search donor hair stock.
package kitakaze

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
)

// Catalogues of the deployment.
const (
	StockFinder ebonyworks.CatalogueID = "stock-finder"
	ShopLedger  ebonyworks.CatalogueID = "shop-ledger"
	FittingDesk ebonyworks.CatalogueID = "fitting-desk"
	DonorIntake ebonyworks.CatalogueID = "donor-intake"
)

// Routes of the deployment.
const (
	SearchHair       ebonyworks.RouteID = "search-hair"
	FittingHistory   ebonyworks.RouteID = "fitting-history"
	ReserveBundle    ebonyworks.RouteID = "reserve-bundle"
	RegisterDonation ebonyworks.RouteID = "register-donation"
)

// Deadlines of the routes. A search that waits for a client in the chair is
// answered soon rather than late.
const (
	searchDeadline         = 250 * time.Millisecond
	maxSearchDeadline      = 2 * time.Second
	reservationDeadline    = 2 * time.Second
	maxReservationDeadline = 10 * time.Second
)

// Domains returns the failure domains.
func Domains() []ebonyworks.DomainID {
	return []ebonyworks.DomainID{"Sapporo", "Asahikawa", "Hakodate", "Kushiro"}
}

// Plan returns the deployment with servers at the given addresses.
func Plan(addresses configplan.Addresses) *configplan.Plan {
	plan := &configplan.Plan{Addresses: addresses}
	return plan.
		Catalogue(sharded(StockFinder, 20)).
		Catalogue(sharded(ShopLedger, 30)).
		Catalogue(desk(FittingDesk)).
		Catalogue(desk(DonorIntake)).
		Route(search(SearchHair, StockFinder)).
		Route(search(FittingHistory, ShopLedger)).
		Route(reservation(ReserveBundle, FittingDesk)).
		Route(reservation(RegisterDonation, DonorIntake))
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

// desk describes a catalogue of one service.
func desk(id ebonyworks.CatalogueID) configplan.CatalogueSpec {
	return configplan.CatalogueSpec{
		ID:                id,
		Services:          1,
		ServersPerService: 4,
		Slots:             6,
		ConnectionCap:     110,
		ConnectTime:       time.Millisecond,
		Domains:           Domains(),
	}
}

func search(id ebonyworks.RouteID, catalogue ebonyworks.CatalogueID) ebonyworks.Route {
	return ebonyworks.Route{
		ID:              id,
		Catalogue:       catalogue,
		Kind:            ebonyworks.SearchRoute,
		Policy:          ebonyworks.PreferLatency,
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
