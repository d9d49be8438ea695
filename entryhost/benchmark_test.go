package entryhost

import (
	"strconv"
	"testing"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

// BenchmarkPollServers measures how long it takes to find the servers that are due for a
// status request, which runs ten times a second: indexing the servers, and checking
// each of them when none is due.
func BenchmarkPollServers(b *testing.B) {
	for _, servers := range []int{300, 1200, 2400} {
		services := make([]ebonyworks.Service, servers/6)
		for i := range services {
			services[i].ID = ebonyworks.ServiceID("service-" + strconv.Itoa(i))
			for j := range 6 {
				id := ebonyworks.ServerID("server-" + strconv.Itoa(6*i+j))
				services[i].Servers = append(services[i].Servers, ebonyworks.Server{ID: id})
			}
		}
		configuration := &ebonyworks.Configuration{Catalogues: []ebonyworks.Catalogue{{Services: services}}}
		b.Run("Index/servers="+strconv.Itoa(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				indexServers(configuration)
			}
		})
		b.Run("Due/servers="+strconv.Itoa(servers), func(b *testing.B) {
			states := &serverstate.Table{}
			index := indexServers(configuration)
			states.DueForStatus(index.servers, servers)
			b.ReportAllocs()
			for b.Loop() {
				states.DueForStatus(index.servers, maxPollsInFlight)
			}
		})
	}
}
