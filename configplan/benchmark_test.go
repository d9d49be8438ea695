package configplan_test

import (
	"bytes"
	"compress/gzip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

// BenchmarkConfiguration measures what a host does with a published
// configuration of one catalogue: decoding and validation, the size of the
// largest value, and the memory of the accepted configuration.
func BenchmarkConfiguration(b *testing.B) {
	for _, servers := range []int{300, 1200, 2400} {
		b.Run("servers="+strconv.Itoa(servers), func(b *testing.B) {
			plan := &configplan.Plan{}
			plan.Catalogue(configplan.CatalogueSpec{
				ID: "stock-finder", Services: servers / 6, ServersPerService: 6, Slots: 2, ConnectionCap: 25,
				ConnectTime: 6 * time.Millisecond, Domains: []ebonyworks.DomainID{"d1", "d2", "d3", "d4", "d5", "d6"},
			})
			plan.Route(ebonyworks.Route{ID: "search-hair", Catalogue: "stock-finder", DefaultDeadline: time.Second, MaxDeadline: time.Second})
			publication, problems := plan.Publish(7, ebonyworks.ConfigurationVersion{Revision: 6})
			require.Empty(b, problems)
			largest, total, compressed := 0, 0, 0
			for _, value := range publication.Values() {
				largest = max(largest, len(value.Bytes))
				total += len(value.Bytes)
				compressed += compressedBytes(b, value.Bytes)
			}
			before := heapBytes()
			held := assemble(b, publication)
			memory := float64(heapBytes() - before)
			b.ReportAllocs()
			for b.Loop() {
				assemble(b, publication)
			}
			b.ReportMetric(float64(largest), "largest-B")
			b.ReportMetric(float64(total), "total-B")
			b.ReportMetric(float64(compressed), "gzip-B")
			b.ReportMetric(float64(largest)/float64(servers), "wire-B/server")
			b.ReportMetric(memory/float64(servers), "heap-B/server")
			runtime.KeepAlive(held)
		})
	}
}

func assemble(b *testing.B, publication configdoc.Publication) *ebonyworks.Configuration {
	b.Helper()
	configuration, problems := configdoc.Codec{}.Assemble(publication.Version(), publication.Manifest, publication.Parts)
	if len(problems) > 0 {
		b.Fatal(problems)
	}
	return configuration
}

// compressedBytes is the size in which peers pass the bytes on.
func compressedBytes(b *testing.B, document []byte) int {
	b.Helper()
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, err := writer.Write(document)
	require.NoError(b, err)
	require.NoError(b, writer.Close())
	return buffer.Len()
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
