package scenario_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/configplan/retazos"
	"github.com/ebonyworks/ebonyworks/load/scenario"
	"github.com/ebonyworks/ebonyworks/load/workload"
)

func configuration(t *testing.T) *ebonyworks.Configuration {
	configuration, problems := kitakaze.Plan(configplan.Addresses{}).Configuration()
	require.Empty(t, problems)
	return configuration
}

const start = `{
	// One route only.
	"User": "Kitakaze", "MeanServiceTime": "20ms",
	"Houses": [{"Name": "sapporo", "Weight": 1}],
	"Routes": [{"Name": "search-hair", "Weight": 1, "Filter": "Shade"}],
	"Scenarios": [`

// Guards against defaults that aren't applied and units that are misread.
func TestDecode(t *testing.T) {
	settings, problems := scenario.Decode([]byte(start+`{
		"Name": "kill", "WarmUp": "2s", "Prime": 60,
		"Phases": [{"Name": "One", "Percent": 35, "Duration": "8s"}, {"Name": "Two", "Percent": 0, "Duration": "1.5s"}],
		"Faults": [{"Kind": "Slow", "At": "3s", "For": "1s", "Factor": 10, "Servers": {"Replica": 2, "Services": "Even"}}],
	}]}`), configuration(t))
	require.Empty(t, problems)
	assert.Equal(t, scenario.DefaultClientDelay, settings.ClientDelay)
	assert.Equal(t, scenario.DefaultMaxOutstanding, settings.MaxOutstanding)
	assert.Equal(t, scenario.DefaultDistinct, settings.Mix.Distinct)
	found, ok := settings.Scenario("kill")
	require.True(t, ok)
	assert.Equal(t, 9500*time.Millisecond, found.Duration())
	assert.Equal(t, scenario.Fault{
		Kind: scenario.Slow, At: 3 * time.Second, For: time.Second, Factor: 10,
		Servers: scenario.Selector{Replica: 2, Services: scenario.Even},
	}, found.Faults[0])
}

// Guards against mistakes that are accepted, reported without their place, or
// hidden by an earlier mistake.
func TestMistakes(t *testing.T) {
	const phases = `"Phases": [{"Name": "All", "Percent": 50, "Duration": "1s"}]`
	tests := []struct {
		name, text string
		places     []string
	}{
		{"empty object", `{}`, []string{"User", "MeanServiceTime", "Houses", "Routes", "Scenarios"}},
		{"nothing listed", `{"User": "", "MeanServiceTime": "0s", "Skew": "1", "MaxOutstanding": 0, "Houses": [], "Routes": [], "Scenarios": []}`,
			[]string{"User", "MeanServiceTime", "MaxOutstanding", "Skew", "Houses", "Routes", "Scenarios"}},
		{"skew", `{"User": "K", "MeanServiceTime": "1ms", "Skew": "NaN", "Houses": [], "Routes": [], "Scenarios": []}`, []string{"Skew"}},
		{"routes", `{"User": "K", "MeanServiceTime": "1ms", "Houses": [{"Name": "h", "Weight": 0}], "Routes": [
			{"Name": "no", "Weight": 1}, {"Name": "search-hair", "Weight": 1, "SingleKey": 101}, {"Name": "reserve-bundle", "Weight": 1, "Filter": "x"}],
			"Scenarios": [{"Name": "a", ` + phases + `}]}`,
			[]string{"Houses[0].Weight", "Routes[0].Name", "Routes[1].Filter", "Routes[1].SingleKey", "Routes[2]"}},
		{"names", start + `{"Name": "A b", "Phases": []}, {"Name": "a", ` + phases + `}, {"Name": "a", ` + phases + `}]}`,
			[]string{"Scenarios[0].Name", "Scenarios[0].Phases", "Scenarios[2].Name"}},
		{"phase", start + `{"Name": "a", "WarmUp": "-1s", "Phases": [{"Name": "", "Percent": -1, "Duration": "0s"}]}]}`,
			[]string{"Scenarios[0].WarmUp", "Scenarios[0].Phases[0].Name", "Scenarios[0].Phases[0].Percent", "Scenarios[0].Phases[0].Duration"}},
		{"faults", start + `{"Name": "a", ` + phases + `, "Faults": [
			{"Kind": "Slow"}, {"Kind": "Kill", "Factor": 2}, {"Kind": "Burn"}, {"Kind": "Lie", "Report": "Sleepy"}, {"Kind": "Freeze", "At": "1s"},
			{"Kind": "Kill", "Servers": {"Domain": "Tokyo"}}, {"Kind": "Kill", "Servers": {"Services": "Both"}}, {"Kind": "Crash"}]}]}`,
			[]string{
				"Scenarios[0].Faults[0].Factor", "Scenarios[0].Faults[1].Factor", "Scenarios[0].Faults[2].Kind", "Scenarios[0].Faults[3].Report",
				"Scenarios[0].Faults[4].At", "Scenarios[0].Faults[5].Servers", "Scenarios[0].Faults[6].Servers.Services", "Scenarios[0].Faults[7].Value",
			}},
		{"resends", start + `{"Name": "a", ` + phases + `, "Resends": [{"Route": "reserve-bundle", "House": "h", "Filter": {"Name": "n", "Value": ""}, "Every": "0s"}]}]}`,
			[]string{"Scenarios[0].Resends[0].Route", "Scenarios[0].Resends[0].Every"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings, problems := scenario.Decode([]byte(test.text), configuration(t))
			assert.Nil(t, settings)
			var places []string
			for _, problem := range problems {
				places = append(places, problem.Path)
				assert.NotEmpty(t, problem.Message)
			}
			assert.Equal(t, test.places, places)
		})
	}
}

// Guards against shipped settings that don't fit the shipped deployments.
func TestShippedSettings(t *testing.T) {
	tests := []struct {
		file string
		plan *configplan.Plan
	}{
		{"kitakaze.json", kitakaze.Plan(configplan.Addresses{})},
		{"retazos.json", retazos.Plan(configplan.Addresses{})},
	}
	for _, test := range tests {
		text, err := os.ReadFile("../../examples/scenarios/" + test.file)
		require.NoError(t, err)
		configuration, problems := test.plan.Configuration()
		require.Empty(t, problems)
		settings, problems := scenario.Decode(text, configuration)
		require.Empty(t, problems)
		assert.Len(t, settings.Scenarios, 15)
		for _, each := range settings.Scenarios {
			assert.LessOrEqual(t, each.WarmUp+each.Duration(), 26*time.Second, each.Name)
		}
	}
}

// Guards against rates that load the services other than stated.
func TestCapacity(t *testing.T) {
	const mean = 20 * time.Millisecond
	tests := []struct {
		name         string
		routes       []workload.Route
		rate, perOne float64
	}{
		// 2 servers with 2 slots run 200 sub-requests of 20 ms per second.
		{"whole catalogue", []workload.Route{{ID: kitakaze.SearchHair, Weight: 1}}, 200, 20},
		{"single keys", []workload.Route{{ID: kitakaze.SearchHair, Weight: 1, SingleKey: 100}}, 4000, 1},
		{"half single keys", []workload.Route{{ID: kitakaze.SearchHair, Weight: 1, SingleKey: 50}}, 200 / 0.525, 10.5},
		{"two routes", []workload.Route{{ID: kitakaze.SearchHair, Weight: 3}, {ID: kitakaze.FittingHistory, Weight: 1}}, 200 / 0.75, 22.5},
		// 4 servers with 6 slots run 1,200 reservations per second.
		{"reservations", []workload.Route{{ID: kitakaze.ReserveBundle, Kind: ebonyworks.ReservationRoute, Weight: 1}}, 1200, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			mix := workload.Mix{Routes: test.routes}
			assert.InEpsilon(t, test.rate, scenario.Capacity(configuration(t), mix, mean), 1e-9)
			assert.InEpsilon(t, test.perOne, scenario.SubRequests(configuration(t), mix), 1e-9)
		})
	}
}

// Guards against faults that hit other servers than stated.
func TestSelect(t *testing.T) {
	tests := []struct {
		selector scenario.Selector
		count    int
		first    ebonyworks.ServerID
	}{
		{scenario.Selector{}, 108, "stock-finder-01-a"},
		{scenario.Selector{Replica: 1}, 52, "stock-finder-01-a"},
		{scenario.Selector{Replica: 2, Services: scenario.Even}, 25, "stock-finder-02-b"},
		{scenario.Selector{Catalogue: kitakaze.ShopLedger, Services: scenario.Odd}, 30, "shop-ledger-01-a"},
		{scenario.Selector{Domain: "Sapporo", Catalogue: kitakaze.StockFinder}, 10, "stock-finder-01-a"},
		{scenario.Selector{Domain: "Tokyo"}, 0, ""},
	}
	for _, test := range tests {
		chosen := test.selector.Select(configuration(t))
		require.Len(t, chosen, test.count, test.selector)
		if test.count > 0 {
			assert.Equal(t, test.first, chosen[0])
		}
	}
}
