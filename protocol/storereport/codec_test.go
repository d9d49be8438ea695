package storereport_test

import (
	"bytes"
	"compress/flate"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/storereport"
)

func listing() ebonyworks.StoreListing {
	return ebonyworks.StoreListing{AsOf: 9, Changes: []ebonyworks.StoreChange{
		{Revision: 7, Configuration: &ebonyworks.ForwardConfiguration{
			Revision: 3,
			Routes: []ebonyworks.ForwardRoute{
				{ID: "gather", Host: "h", Prefix: "/a/", Idempotent: true, Timeout: time.Second, TargetLatency: 50 * time.Millisecond, Priority: 1, MaxAttempts: 2, Shards: []ebonyworks.ServiceID{"x", "y"}, TopRecords: 5, MinCoverage: 0.75},
				{ID: "single", Host: "h", Prefix: "/b/", Timeout: time.Second, TargetLatency: time.Second, MaxAttempts: 1, Backends: []ebonyworks.WeightedService{{Service: "z", Weight: 2}}},
			},
			Services: []ebonyworks.ForwardService{{ID: "x", ConnectionCap: 26}},
			Limits:   ebonyworks.CallerLimits{HeaderBytes: 100, BodyBytes: 200, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
		}},
		{Revision: 8, Registration: &ebonyworks.Registration{
			Server:  ebonyworks.Server{ID: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d"},
			Service: "x", Incarnation: 4, Sequence: 5, Slots: 2, Draining: true, Warmup: time.Second,
		}},
		{Revision: 9, Removed: "gone"},
	}}
}

// Guards against a view that hosts without the store can't use because a field
// is lost on the way, or because its encoding reports an error.
func TestRoundTrip(t *testing.T) {
	encoded, err := storereport.Encode(listing())
	require.NoError(t, err)
	decoded, err := storereport.Decode(encoded)
	require.NoError(t, err)
	assert.Equal(t, listing(), decoded)
}

// Guards against a peer whose view names a server without an address.
func TestDecodeRefusesIncompleteRegistration(t *testing.T) {
	incomplete := listing()
	incomplete.Changes[1].Registration.Server.Address = netip.AddrPort{}
	encoded, err := storereport.Encode(incomplete)
	require.NoError(t, err)
	_, err = storereport.Decode(encoded)
	assert.Error(t, err)
}

// Guards against panics on bytes of a broken peer.
func FuzzDecode(f *testing.F) {
	encoded, err := storereport.Encode(listing())
	require.NoError(f, err)
	f.Add(encoded)
	f.Add([]byte(`{"Registrations":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := storereport.Decode(data)
		if err != nil {
			return
		}
		_, err = storereport.Encode(decoded)
		assert.NoError(t, err)
	})
}

// Guards against a bundle that takes up the memory of the host that follows.
func TestDecodeIsBounded(t *testing.T) {
	var packed bytes.Buffer
	packed.WriteByte(1)
	writer, err := flate.NewWriter(&packed, flate.BestCompression)
	require.NoError(t, err)
	_, err = writer.Write([]byte(`{"Registrations":[`))
	require.NoError(t, err)
	for range 16 {
		_, err = writer.Write(make([]byte, 1<<20))
		require.NoError(t, err)
	}
	require.NoError(t, writer.Close())
	assert.Less(t, packed.Len(), 1<<20)
	_, err = storereport.Decode(packed.Bytes())
	assert.ErrorContains(t, err, "too large")
	for _, broken := range [][]byte{nil, {1}, {1, 0xff, 0xff}, {0}, {0, '{'}} {
		_, err = storereport.Decode(broken)
		assert.Error(t, err)
	}
}
