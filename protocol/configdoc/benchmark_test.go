package configdoc_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// BenchmarkHostList measures the size of the platform's host list and the time to
// decode it, which each host does whenever it reads the list.
func BenchmarkHostList(b *testing.B) {
	for _, count := range []int{100, 1000, 2800} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			var hosts []ebonyworks.ListedHost
			for i := range count {
				hosts = append(hosts, ebonyworks.ListedHost{
					Name: fmt.Sprintf("stock-finder-%03d-a", i), Role: ebonyworks.ServerRole, Domain: "Sapporo",
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 21000),
				})
			}
			list, err := configdoc.Codec{}.EncodeHosts(hosts)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				if _, problems := (configdoc.Codec{}).DecodeHosts(list); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
			b.ReportMetric(float64(len(list)), "list-B")
			b.ReportMetric(float64(len(list))/float64(count), "list-B/host")
		})
	}
}
