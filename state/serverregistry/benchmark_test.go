package serverregistry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
)

// BenchmarkListing measures how long a starting host takes to apply a listing of all
// servers.
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
				var registry serverregistry.Registry
				for _, registration := range registrations {
					registry.Put(registration, 1)
				}
				registry.RemoveUnlisted(map[ebonyworks.ServerID]bool{}, 0, time.Time{})
			}
		})
	}
}
