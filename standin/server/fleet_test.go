package server_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/retazos"
	"github.com/ebonyworks/ebonyworks/standin/server"
	"github.com/ebonyworks/ebonyworks/transport/backendclient"
)

// addresses returns loopback addresses that no other process uses, so that
// several runs of the tests don't disturb each other.
func addresses(test byte) configplan.Addresses {
	pid := os.Getpid()
	first := netip.AddrFrom4([4]byte{127, byte(100 + pid%100), byte(pid / 100 % 250), test})
	return configplan.Addresses{First: netip.AddrPortFrom(first, 20910), PerHost: true}
}

// deployment returns a configuration at addresses of this test alone.
func deployment(t *testing.T) *ebonyworks.Configuration {
	configuration, problems := retazos.Plan(addresses(1)).Configuration()
	require.Empty(t, problems)
	return configuration
}

// admin calls the admin interface and decodes its reply.
func admin(t *testing.T, handler http.Handler, method, target, body string, reply any) int {
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body)))
	if reply != nil {
		require.NoError(t, json.Unmarshal(response.Body.Bytes(), reply), response.Body.String())
	}
	return response.Code
}

// Guards against a fleet that serves another deployment than the configured
// one, and against faults that reach other servers than the chosen ones.
func TestFleet(t *testing.T) {
	configuration := deployment(t)
	fleet := server.NewFleet(server.FleetOptions{Seed: 7, FineClock: true, Selector: server.Selector{Catalogue: "bodega-casa"}})
	defer fleet.Close()
	require.NoError(t, fleet.Apply(configuration))
	handler := server.NewAdmin(fleet, func() (*ebonyworks.Configuration, error) { return configuration, nil })
	var list server.StateList
	admin(t, handler, "GET", "/servers", "", &list)
	require.Len(t, list.Servers, 5)

	catalogue, _ := configuration.Catalogue("bodega-casa")
	house := &catalogue.Services[0]
	client := backendclient.NewClient(backendclient.Options{})
	defer client.Close()
	reservation := ebonyworks.SubReservation{Request: "r", Catalogue: catalogue.ID, Shard: catalogue.Partitions[0].Shards[0].ID, Key: "k"}
	assert.Equal(t, ebonyworks.AttemptServed, client.Reserve(t.Context(), house, house.Servers[0], reservation).Result)
	var executions server.ExecutionList
	admin(t, handler, "GET", "/executions?Request=r", "", &executions)
	assert.Equal(t, []server.Execution{{Server: house.Servers[0].ID, Request: "r", Key: "k", Started: 1, Finished: 1}}, executions.Executions)

	var affected server.AffectedList
	second := "?Server=" + string(house.Servers[1].ID)
	admin(t, handler, "PUT", "/faults"+second, `{"Shed":true}`, &affected)
	assert.Equal(t, []ebonyworks.ServerID{house.Servers[1].ID}, affected.Servers)
	assert.Equal(t, ebonyworks.AttemptShed, client.Reserve(t.Context(), house, house.Servers[1], reservation).Result)
	assert.Equal(t, ebonyworks.AttemptServed, client.Reserve(t.Context(), house, house.Servers[2], reservation).Result)
	admin(t, handler, "POST", "/kill"+second+"&DownMilliseconds=60000", "", &affected)
	admin(t, handler, "POST", "/drain?Domain="+url.QueryEscape(string(house.Servers[3].Domain)), "", &affected)
	assert.Contains(t, affected.Servers, house.Servers[3].ID)
	list = server.StateList{}
	admin(t, handler, "GET", "/servers"+second, "", &list)
	assert.Equal(t, server.Stopped, list.Servers[0].State)
	admin(t, handler, "POST", "/start"+second, "", &affected)
	admin(t, handler, "GET", "/servers"+second, "", &list)
	assert.Equal(t, server.Running, list.Servers[0].State)

	for target, body := range map[string]string{"/faults": "{}", "/faults?All=true": `{"Unknown":1}`, "/faults?All=true&": `{`} {
		assert.Equal(t, http.StatusBadRequest, admin(t, handler, "PUT", target, body, nil), target+body)
	}
	assert.Equal(t, http.StatusBadRequest, admin(t, handler, "POST", "/kill?All=true&DownMilliseconds=x", "", nil))
	assert.Equal(t, http.StatusBadRequest, admin(t, handler, "POST", "/epoch?Catalogue=other&From=1&Epoch=1", "", nil))
	assert.Equal(t, http.StatusNoContent, admin(t, handler, "POST", "/reload", "", nil))
	assert.Error(t, server.NewFleet(server.FleetOptions{}).Apply(configuration), "addresses are in use")
}

// Guards against a repartition that changes snapshots which already exist, and
// against servers that keep running after they left the configuration.
func TestFleetFollowsConfiguration(t *testing.T) {
	plan := retazos.Plan(addresses(128))
	configuration, problems := plan.Configuration()
	require.Empty(t, problems)
	const period = time.Hour
	fleet := server.NewFleet(server.FleetOptions{Schedule: server.Schedule{Period: period, Retention: 2}, Selector: server.Selector{Catalogue: "aviso-gremio"}})
	defer fleet.Close()
	require.NoError(t, fleet.Apply(configuration))
	timeline, ok := fleet.Timeline("aviso-gremio")
	require.True(t, ok)
	now := time.Now()

	catalogue, _ := configuration.Catalogue("aviso-gremio")
	change := configplan.NextPartition(catalogue.Partitions[0]).Split(catalogue.Partitions[0].Shards[0].ID, "i", "upper", catalogue.Services[0].ID)
	repartitioned, problems := plan.Repartition("aviso-gremio", change).Configuration()
	require.Empty(t, problems)
	require.NoError(t, fleet.Apply(repartitioned))
	latest := timeline.Latest(now)
	old, next := catalogue.Partitions[0].Epoch, catalogue.Partitions[0].Epoch+1
	assert.Equal(t, old, timeline.Epoch(latest))
	assert.Equal(t, next, timeline.Epoch(latest+3))

	servers := fleet.Select(server.Selector{})
	catalogue, _ = repartitioned.Catalogue("aviso-gremio")
	catalogue.Services[0].Servers = catalogue.Services[0].Servers[1:]
	require.NoError(t, fleet.Apply(repartitioned))
	assert.Len(t, fleet.Select(server.Selector{}), len(servers)-1)
	assert.Equal(t, server.Stopped, servers[0].State().State)
}
