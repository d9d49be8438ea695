package configplan_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/configplan/retazos"
)

// size is what section 1 of docs/design.md states of a catalogue.
type size struct {
	id                         ebonyworks.CatalogueID
	services, servers          int
	slots, cap                 int
	connect                    time.Duration
	domains                    []ebonyworks.DomainID
	route                      ebonyworks.RouteID
	kind                       ebonyworks.RouteKind
	policy                     ebonyworks.AnswerPolicy
	firstAddress, firstService string
}

// Guards against shipped deployments that differ from the design page.
func TestDeployments(t *testing.T) {
	hokkaido := []ebonyworks.DomainID{"Sapporo", "Asahikawa", "Hakodate", "Kushiro"}
	costaRica := []ebonyworks.DomainID{"Heredia", "Alajuela", "Cartago", "San José"}
	const search, reservation = ebonyworks.SearchRoute, ebonyworks.ReservationRoute
	const latency, coverage = ebonyworks.PreferLatency, ebonyworks.PreferCoverage
	const long, short = 6 * time.Millisecond, time.Millisecond
	tests := []struct {
		name  string
		plan  *configplan.Plan
		sizes []size
	}{
		{"kitakaze", kitakaze.Plan(configplan.Addresses{}), []size{
			{"stock-finder", 20, 2, 2, 25, long, hokkaido, "search-hair", search, latency, "127.0.0.1:21000", "stock-finder-01"},
			{"shop-ledger", 30, 2, 2, 25, long, hokkaido, "fitting-history", search, latency, "127.0.0.1:21040", "shop-ledger-01"},
			{"fitting-desk", 1, 4, 6, 110, short, hokkaido, "reserve-bundle", reservation, latency, "127.0.0.1:21100", "fitting-desk-01"},
			{"donor-intake", 1, 4, 6, 110, short, hokkaido, "register-donation", reservation, latency, "127.0.0.1:21104", "donor-intake-01"},
		}},
		{"retazos", retazos.Plan(configplan.Addresses{First: netip.MustParseAddrPort("10.0.0.250:80"), PerHost: true}), []size{
			{"catálogo-bloques", 20, 2, 2, 25, long, costaRica, "search-blocks", search, coverage, "10.0.0.250:80", "catálogo-bloques-01"},
			{"bodega-casa", 1, 5, 4, 40, short, costaRica, "house-stock", search, coverage, "10.0.1.94:80", "bodega-casa-01"},
			{"reserva-bee", 30, 2, 2, 25, long, costaRica, "reserve-block", reservation, latency, "10.0.1.34:80", "reserva-bee-01"},
			{"aviso-gremio", 1, 4, 4, 40, short, costaRica, "notify-guild", reservation, latency, "10.0.1.99:80", "aviso-gremio-01"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			configuration, problems := test.plan.Configuration()
			require.Empty(t, problems)
			assert.Len(t, configuration.Catalogues, len(test.sizes))
			require.Len(t, configuration.Routes, len(test.sizes))
			for i, want := range test.sizes {
				route := configuration.Routes[i]
				assert.Equal(t, []any{want.route, want.id, want.kind, want.policy}, []any{route.ID, route.Catalogue, route.Kind, route.Policy})
				catalogue, found := configuration.Catalogue(want.id)
				require.True(t, found)
				checkCatalogue(t, want, catalogue)
			}
		})
	}
}

func checkCatalogue(t *testing.T, want size, catalogue *ebonyworks.Catalogue) {
	require.Len(t, catalogue.Services, want.services)
	assert.Equal(t, want.firstService, string(catalogue.Services[0].ID))
	assert.Equal(t, want.firstService+"-a", string(catalogue.Services[0].Servers[0].ID))
	assert.Equal(t, want.firstAddress, catalogue.Services[0].Servers[0].Address.String())
	require.Len(t, catalogue.Partitions, 1)
	assert.Len(t, catalogue.Partitions[0].Shards, want.services)
	inDomain := make(map[ebonyworks.DomainID]int)
	for i, service := range catalogue.Services {
		assert.Equal(t, []any{want.slots, want.cap, want.connect}, []any{service.Slots, service.ConnectionCap, service.ConnectTime})
		require.Len(t, service.Servers, want.servers)
		assert.Equal(t, service.ID, catalogue.Partitions[0].Shards[i].Service)
		distinct := make(map[ebonyworks.DomainID]bool)
		for _, server := range service.Servers {
			assert.Contains(t, want.domains, server.Domain)
			distinct[server.Domain] = true
			inDomain[server.Domain]++
		}
		assert.Len(t, distinct, min(want.servers, len(want.domains)))
	}
	even := want.services * want.servers / len(want.domains)
	for domain, servers := range inDomain {
		assert.InDelta(t, even, servers, 1, "servers in %s", domain)
	}
}

// Guards against a lost failure domain whose load falls on one other domain.
func TestReplicasPairAllDomains(t *testing.T) {
	configuration, problems := kitakaze.Plan(configplan.Addresses{}).Configuration()
	require.Empty(t, problems)
	pairs := make(map[[2]ebonyworks.DomainID]int)
	for _, service := range configuration.Catalogues[0].Services {
		pair := [2]ebonyworks.DomainID{service.Servers[0].Domain, service.Servers[1].Domain}
		pairs[[2]ebonyworks.DomainID{min(pair[0], pair[1]), max(pair[0], pair[1])}]++
	}
	assert.Len(t, pairs, 6)
}

// Guards against output that depends on anything but the plan.
func TestPublishIsDeterministic(t *testing.T) {
	first, problems := retazos.Plan(configplan.Addresses{}).Publish(3, ebonyworks.ConfigurationVersion{Revision: 2})
	require.Empty(t, problems)
	second, problems := retazos.Plan(configplan.Addresses{}).Publish(3, ebonyworks.ConfigurationVersion{Revision: 2})
	require.Empty(t, problems)
	assert.Equal(t, first, second)
}

func spec(change func(*configplan.CatalogueSpec)) configplan.CatalogueSpec {
	spec := configplan.CatalogueSpec{
		ID: "stock", Services: 3, ServersPerService: 2, Slots: 1, ConnectionCap: 8,
		Domains: []ebonyworks.DomainID{"Heredia"},
	}
	change(&spec)
	return spec
}

// Guards against key ranges of unequal size.
func TestKeysAreDividedEvenly(t *testing.T) {
	tests := []struct {
		change func(*configplan.CatalogueSpec)
		want   []string
	}{
		{func(s *configplan.CatalogueSpec) {}, []string{"", "c", "o"}},
		{func(s *configplan.CatalogueSpec) { s.ShardsPerService = 2 }, []string{"", "6", "c", "i", "o", "u"}},
		{func(s *configplan.CatalogueSpec) { s.Keys.Alphabet = "0123456789" }, []string{"", "333", "666"}},
		{func(s *configplan.CatalogueSpec) { s.Services = 1 }, []string{""}},
	}
	route := ebonyworks.Route{ID: "r", Catalogue: "stock", DefaultDeadline: 1, MaxDeadline: 1}
	for _, test := range tests {
		plan := &configplan.Plan{}
		configuration, problems := plan.Catalogue(spec(test.change)).Route(route).Configuration()
		require.Empty(t, problems)
		var bounds []string
		for _, shard := range configuration.Catalogues[0].Partitions[0].Shards {
			bounds = append(bounds, shard.Keys.From)
		}
		assert.Equal(t, test.want, bounds)
	}
}

// Guards against a plan that stops at its first mistake or hides one.
func TestPlanListsMistakes(t *testing.T) {
	plan := &configplan.Plan{}
	plan.Catalogue(spec(func(s *configplan.CatalogueSpec) {
		s.Services, s.ServersPerService, s.ShardsPerService, s.Domains = 0, 27, -1, nil
	}))
	plan.Catalogue(spec(func(s *configplan.CatalogueSpec) { s.ID, s.Keys.Alphabet = "b", "ba" }))
	plan.Catalogue(spec(func(s *configplan.CatalogueSpec) { s.ID, s.Services, s.Keys.Alphabet = "c", 9, "ab" }))
	plan.Partition("d", ebonyworks.Partition{})
	_, problems := plan.Publish(1, ebonyworks.ConfigurationVersion{})
	assert.Equal(t, []ebonyworks.Problem{
		{Path: "Catalogue/stock.Services", Message: "must be positive, not 0"},
		{Path: "Catalogue/stock.ServersPerService", Message: "must be from 1 to 26, not 27"},
		{Path: "Catalogue/stock.ShardsPerService", Message: "must not be negative, not -1"},
		{Path: "Catalogue/stock.Domains", Message: "must list at least one failure domain"},
		{Path: "Catalogue/b.Keys.Alphabet", Message: `must hold at least 2 ASCII characters in increasing order, not "ba"`},
		{Path: "Catalogue/c.Keys", Message: "can't be divided into 9 shards, only into 8"},
		{Path: "Catalogue/d", Message: "no such catalogue in the plan"},
		{Path: "Routes", Message: "must list at least one route"},
	}, problems)
}

// Guards against partitions that lose keys or change the previous partition.
func TestRepartition(t *testing.T) {
	original, problems := kitakaze.Plan(configplan.Addresses{}).Configuration()
	require.Empty(t, problems)
	first := original.Catalogues[0].Partitions[0]
	change := configplan.NextPartition(first).
		Split("stock-finder-shard-01", "1", "stock-finder-shard-21", "stock-finder-02").
		Merge("stock-finder-shard-03", "stock-finder-shard-04").
		Move("stock-finder-shard-05", "stock-finder-20")
	configuration, problems := configplan.Revise(original).Repartition(kitakaze.StockFinder, change).Configuration()
	require.Empty(t, problems)
	assert.Len(t, original.Catalogues[0].Partitions, 1)
	second, found := configuration.Catalogues[0].Partition(2)
	require.True(t, found)
	require.Len(t, second.Shards, 20)
	assert.Equal(t, ebonyworks.Shard{ID: "stock-finder-shard-01", Service: "stock-finder-01", Keys: ebonyworks.KeyRange{To: "1"}}, second.Shards[0])
	assert.Equal(t, ebonyworks.Shard{ID: "stock-finder-shard-21", Service: "stock-finder-02", Keys: ebonyworks.KeyRange{From: "1", To: first.Shards[0].Keys.To}}, second.Shards[1])
	assert.Equal(t, ebonyworks.KeyRange{From: first.Shards[2].Keys.From, To: first.Shards[3].Keys.To}, second.Shards[3].Keys)
	assert.Equal(t, ebonyworks.ServiceID("stock-finder-20"), second.Shards[4].Service)
	dropped, problems := configplan.Revise(configuration).DropPartitions(kitakaze.StockFinder, 2).Configuration()
	require.Empty(t, problems)
	assert.Equal(t, []ebonyworks.Partition{second}, dropped.Catalogues[0].Partitions)
	assert.Len(t, configuration.Catalogues[0].Partitions, 2)

	wrong := configplan.NextPartition(first).
		Split("stock-finder-shard-02", "0", "x", "stock-finder-01").
		Merge("stock-finder-shard-01", "stock-finder-shard-03").
		Move("none", "stock-finder-01")
	_, problems = configplan.Revise(original).Repartition(kitakaze.StockFinder, wrong).Configuration()
	assert.Equal(t, []ebonyworks.Problem{
		{Path: "Catalogue/stock-finder.Partition[2].stock-finder-shard-02", Message: `can't be split at "0", which is not inside its range`},
		{Path: "Catalogue/stock-finder.Partition[2].stock-finder-shard-01", Message: `can't be merged with "stock-finder-shard-03", which doesn't follow it`},
		{Path: "Catalogue/stock-finder.Partition[2].none", Message: "no such shard"},
	}, problems)
}
