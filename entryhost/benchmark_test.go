package entryhost

import (
	"strconv"
	"testing"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/serverstate"
)

// BenchmarkAsk measures the search for servers that are due for a status
// request, which runs ten times a second: the index of the servers, and the
// look at each of them when none is due.
func BenchmarkAsk(b *testing.B) {
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
			known := &serverstate.Table{}
			index := indexServers(configuration)
			known.DueForStatus(index.servers, servers)
			b.ReportAllocs()
			for b.Loop() {
				known.DueForStatus(index.servers, maxAsked)
			}
		})
	}
}
