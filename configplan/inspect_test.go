package configplan_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
)

func kitakazeConfiguration(t *testing.T) *ebonyworks.Configuration {
	configuration, problems := kitakaze.Plan(configplan.Addresses{}).Configuration()
	require.Empty(t, problems)
	return configuration
}

// Guards against changes that a comparison hides, and against listing again
// what an added or removed element holds.
func TestCompare(t *testing.T) {
	older, newer := kitakazeConfiguration(t), kitakazeConfiguration(t)
	assert.Empty(t, configplan.Compare(older, newer))
	newer.Routes[0].Domains = []ebonyworks.DomainID{"Sapporo", "Kushiro"}
	newer.Routes[1].ID = "history"
	newer.Catalogues = newer.Catalogues[:3]
	newer.Catalogues[0].Services[1].Slots = 3
	newer.Catalogues[0].Services[0].Servers[0].Domain = "Hakodate"
	change := configplan.NextPartition(newer.Catalogues[0].Partitions[0]).
		Merge("stock-finder-shard-01", "stock-finder-shard-02").
		Split("stock-finder-shard-20", "z", "stock-finder-shard-21", "stock-finder-01")
	partition, problems := change.Partition()
	require.Empty(t, problems)
	newer.Catalogues[0].Partitions = append(newer.Catalogues[0].Partitions, partition)
	var lines []string
	for _, difference := range configplan.Compare(older, newer) {
		lines = append(lines, difference.String())
	}
	assert.Equal(t, []string{
		"- Routes[fitting-history]: route to shop-ledger",
		"- Catalogue/donor-intake: 1 services",
		"~ Routes[search-hair].Domains: all -> Sapporo, Kushiro",
		"~ Catalogue/stock-finder.Services[stock-finder-01].Servers[stock-finder-01-a]: 127.0.0.1:21000 in Sapporo -> 127.0.0.1:21000 in Hakodate",
		"~ Catalogue/stock-finder.Services[stock-finder-02].Slots: 2 -> 3",
		"+ Routes[history]: route to shop-ledger",
		"+ Catalogue/stock-finder.Partitions[2]: 20 shards",
		`- Catalogue/stock-finder.Partitions[1 to 2].Shards[stock-finder-shard-02]: "1ss".."3ll" on stock-finder-02`,
		`~ Catalogue/stock-finder.Partitions[1 to 2].Shards[stock-finder-shard-01]: "".."1ss" on stock-finder-01 -> "".."3ll" on stock-finder-01`,
		`~ Catalogue/stock-finder.Partitions[1 to 2].Shards[stock-finder-shard-20]: "y77".. on stock-finder-20 -> "y77".."z" on stock-finder-20`,
		`+ Catalogue/stock-finder.Partitions[1 to 2].Shards[stock-finder-shard-21]: "z".. on stock-finder-01`,
	}, lines)
}

// Guards against an explanation that shows servers a route can't use, or more
// connections than section 4 of docs/design.md allows.
func TestExplain(t *testing.T) {
	configuration := kitakazeConfiguration(t)
	_, found := configplan.Explain(configuration, "none")
	assert.False(t, found)
	resolution, found := configplan.Explain(configuration, kitakaze.SearchHair)
	require.True(t, found)
	assert.Len(t, resolution.Shards, 20)
	assert.Equal(t, 40, resolution.Connections())
	resolution, _ = configplan.Explain(configuration, kitakaze.ReserveBundle)
	assert.Equal(t, 4*6, resolution.Connections())
	configuration.Routes[0].Domains = []ebonyworks.DomainID{"Sapporo"}
	resolution, _ = configplan.Explain(configuration, kitakaze.SearchHair)
	assert.Equal(t, 10, resolution.Connections())
	var out bytes.Buffer
	require.NoError(t, resolution.Print(&out))
	assert.Contains(t, out.String(), "none in the domains of the route")
	assert.NotContains(t, out.String(), "Kushiro")
}

// Guards against shards that are always missed without anyone being told.
func TestWarnings(t *testing.T) {
	configuration := kitakazeConfiguration(t)
	assert.Empty(t, configplan.Warnings(configuration))
	configuration.Routes[0].Domains = []ebonyworks.DomainID{"Sapporo"}
	configuration.Catalogues[2].Services[0].Servers = configuration.Catalogues[2].Services[0].Servers[:1]
	servers := configuration.Catalogues[1].Services[0].Servers
	servers[1].Domain = servers[0].Domain
	warnings := configplan.Warnings(configuration)
	require.Len(t, warnings, 12)
	assert.Equal(t, ebonyworks.Problem{
		Path:    "Routes[search-hair].Domains",
		Message: `no server of service "stock-finder-02" is in them, so shard "stock-finder-shard-02" is always missed`,
	}, warnings[0])
	assert.Equal(t, []ebonyworks.Problem{
		{Path: "Catalogue/shop-ledger.Services[shop-ledger-01]", Message: `all servers are in failure domain "Sapporo"`},
		{Path: "Catalogue/fitting-desk.Services[fitting-desk-01]", Message: "has one server, so its shards are missed when that server is lost"},
	}, warnings[10:])
}

// Guards against directories that read back as another configuration, and
// against missing parts that pass or stop the reading.
func TestDirectory(t *testing.T) {
	publication, problems := kitakaze.Plan(configplan.Addresses{}).Publish(1, ebonyworks.ConfigurationVersion{})
	require.Empty(t, problems)
	path := t.TempDir()
	directory := configplan.Directory(path)
	require.NoError(t, directory.Write(publication))
	got, configuration, problems, err := directory.Read()
	require.NoError(t, err)
	require.Empty(t, problems)
	assert.Equal(t, publication, got)
	assert.Equal(t, publication.Version(), configuration.Version)
	assert.Empty(t, configplan.Compare(kitakazeConfiguration(t), configuration))

	require.NoError(t, os.Remove(filepath.Join(path, "Configuration", "Parts", "Routes")))
	_, _, problems, err = directory.Read()
	require.NoError(t, err)
	assert.Equal(t, []ebonyworks.Problem{{Path: "Parts[4]", Message: "no file for part Routes"}}, problems)
	_, _, _, err = configplan.Directory(filepath.Join(path, "none")).Read()
	assert.ErrorIs(t, err, os.ErrNotExist)
}
