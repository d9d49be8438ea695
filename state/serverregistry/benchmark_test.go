package serverregistry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
)

// BenchmarkListing measures what a host does with a listing of all servers when
// it starts.
func BenchmarkListing(b *testing.B) {
	for _, servers := range []int{270, 2400} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			registrations := make([]ebonyworks.Registration, servers)
			for i := range registrations {
				registrations[i] = ebonyworks.Registration{
					Server: ebonyworks.Server{
						ID:      ebonyworks.ServerID(fmt.Sprintf("server-%04d", i)),
						Address: netip.MustParseAddrPort("10.0.0.1:80"),
					},
					Service: ebonyworks.ServiceID(fmt.Sprintf("service-%03d", i/3)),
					Slots:   2,
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				var known serverregistry.Registry
				for _, registration := range registrations {
					known.Put(registration, 1)
				}
				known.RemoveUnlisted(map[ebonyworks.ServerID]bool{}, 0, time.Time{})
			}
		})
	}
}
