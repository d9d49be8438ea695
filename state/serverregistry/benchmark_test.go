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
			listing := ebonyworks.StoreListing{Complete: true}
			for i := range servers {
				listing.Changes = append(listing.Changes, ebonyworks.StoreChange{Revision: 1, Registration: &ebonyworks.Registration{
					Server: ebonyworks.Server{
						ID:      ebonyworks.ServerID(fmt.Sprintf("server-%04d", i)),
						Address: netip.MustParseAddrPort("10.0.0.1:80"),
					},
					Service: ebonyworks.ServiceID(fmt.Sprintf("service-%03d", i/3)),
					Slots:   2,
				}})
			}
			b.ReportAllocs()
			for b.Loop() {
				var registry serverregistry.Registry
				registry.Apply(listing, time.Time{})
			}
		})
	}
}
