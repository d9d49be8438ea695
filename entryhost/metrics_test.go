package entryhost_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/telemetry"
	"github.com/ebonyworks/ebonyworks/telemetry/instrument"
)

var series = regexp.MustCompile(`(?m)^(ebonyworks_[a-z_]+?)(?:_bucket|_sum|_count)?\{([^}]*)\} (\S+)$`)

// scrape returns the value of each time series by its name with labels, and the label
// names of each metric.
func scrape(t *testing.T, exported *telemetry.Telemetry) (values map[string]string, labels map[string][]string) {
	recorder := httptest.NewRecorder()
	exported.MetricsHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	values, labels = make(map[string]string), make(map[string][]string)
	for _, match := range series.FindAllStringSubmatch(recorder.Body.String(), -1) {
		var own, names []string
		for pair := range strings.SplitSeq(match[2], ",") {
			name, _, _ := strings.Cut(pair, "=")
			if strings.HasPrefix(name, "otel_") || name == "le" {
				continue
			}
			own = append(own, pair)
			names = append(names, name)
		}
		values[match[1]+"{"+strings.Join(own, ",")+"}"] = match[3]
		slices.Sort(names)
		labels[match[1]] = names
	}
	return values, labels
}

// scrapeName returns the name under which the Prometheus exporter exposes a metric.
func scrapeName(definition instrument.Definition) string {
	name := strings.ReplaceAll(definition.Name, ".", "_")
	if definition.Unit == "s" {
		name += "_seconds"
	}
	if definition.Kind == instrument.Counter {
		name += "_total"
	}
	return name
}

// Guards against metrics that are missing, wrong or not described, and against label
// values that callers can choose.
func TestMetricsOfHost(t *testing.T) {
	run(t, func(t *testing.T, s *deployment) {
		exported, err := telemetry.New(context.Background(), telemetry.Options{Process: "test", Host: "entry-3"})
		require.NoError(t, err)
		defer func() { require.NoError(t, exported.Shutdown(context.Background())) }()
		s.telemetry = exported
		s.start(fleetSize, 1)
		s.awaitReady()
		require.Nil(t, s.search(fleetSize).Refusal)
		host := s.hosts[fleetSize].host
		outcome := host.Search(context.Background(), ebonyworks.Search{Route: "chosen-by-caller", Deadline: time.Now().Add(time.Second)})
		require.NotNil(t, outcome.Refusal)
		require.Equal(t, ebonyworks.OutcomeRan, s.reserve("key-of-caller", fleetSize, fleetSize)[0].Kind)
		s.forEachServer(kitakaze.StockFinder, func(index int, server *fakeServer) {
			if index == 0 {
				server.draining = true
				server.drainStart = time.Now()
			} else {
				server.downUntil = time.Now().Add(time.Hour)
			}
		})
		s.search(fleetSize)
		time.Sleep(5 * time.Second)
		values, labels := scrape(t, exported)
		for name, want := range map[string]string{
			"ebonyworks_host_revision{}":                                                 "1",
			"ebonyworks_host_configuration_stale{}":                                      "0",
			"ebonyworks_host_ready{}":                                                    "1",
			`ebonyworks_members{state="alive"}`:                                          fmt.Sprint(fleetSize),
			`ebonyworks_members{state="dead"}`:                                           "0",
			`ebonyworks_servers{state="leaving"}`:                                        "20",
			`ebonyworks_servers{state="failing"}`:                                        "20",
			`ebonyworks_refusals_total{code="unknown_route"}`:                            "1",
			"ebonyworks_ledger_records{}":                                                "1",
			"ebonyworks_fingerprints_quarantined{}":                                      "0",
			`ebonyworks_requests_in_flight{route="` + string(kitakaze.SearchHair) + `"}`: "0",
		} {
			assert.Equal(t, want, values[name], name)
		}
		assert.NotEqual(t, "0", values["ebonyworks_platform_calls_total{}"])
		for name := range values {
			assert.NotRegexp(t, "chosen-by-caller|key-of-caller|fitting-room-1", name)
		}
		want := make(map[string][]string)
		for _, definition := range instrument.Catalogue() {
			want[scrapeName(definition)] = definition.Labels
		}
		for name, names := range labels {
			described, ok := want[name]
			assert.True(t, ok, "%s is in no catalogue", name)
			assert.ElementsMatch(t, described, names, name)
		}
		for name := range want {
			assert.Contains(t, labels, name)
		}
	})
}

// Guards against metrics that docs/telemetry.md doesn't describe, and against rows there
// for metrics that no longer exist.
func TestMetricsMatchPage(t *testing.T) {
	page, err := os.ReadFile("../docs/telemetry.md")
	require.NoError(t, err)
	var rows []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if cells := strings.Split(line, " | "); strings.HasPrefix(line, "| `ebonyworks.") && len(cells) == 6 {
			rows = append(rows, strings.Join(cells[:4], " | "))
			assert.NotEmpty(t, strings.TrimSpace(strings.Trim(cells[4]+cells[5], "|")))
		}
	}
	var want []string
	for _, definition := range append(instrument.Catalogue(), instrument.GatewayCatalogue()...) {
		unit, labels := definition.Unit, strings.Join(definition.Labels, ", ")
		if unit == "" {
			unit = "-"
		}
		if labels == "" {
			labels = "-"
		}
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s", definition.Name, definition.Kind, unit, labels))
	}
	assert.Equal(t, want, rows)
}
