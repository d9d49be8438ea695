package recording_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
	"github.com/ebonyworks/ebonyworks/entryhost"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
	"github.com/ebonyworks/ebonyworks/recording"
	"github.com/ebonyworks/ebonyworks/standin/memplatform"
	"github.com/ebonyworks/ebonyworks/standin/network"
)

// replay is a fleet of hosts with a player as their backend.
type replay struct {
	t             *testing.T
	configuration *ebonyworks.Configuration
	values        memplatform.Values
	network       network.Network
	recordings    []*recording.Recording
	player        *recording.Player
	hosts         []*entryhost.Host
	results       []recording.Result
	played        []recording.Played
	// passOn makes replies that named something else look served.
	passOn  bool
	foreign atomic.Int64
}

func newReplay(t *testing.T, scenario string, seed uint64, passOn bool) *replay {
	r := &replay{t: t, recordings: readRecordings(t, scenario), network: network.Network{Delay: time.Millisecond}, passOn: passOn}
	publication, configuration, problems, err := configplan.Directory("testdata/configuration").Read()
	require.NoError(t, err)
	require.Empty(t, problems)
	r.configuration = configuration
	r.values.Publish(publication.Values())
	key, err := ticket.NewKey("k", make([]byte, ticket.MinSecretBytes))
	require.NoError(t, err)
	for i, read := range r.recordings {
		host, err := entryhost.New(entryhost.Options{
			Self:        ebonyworks.Host{ID: read.Host, Incarnation: 1, Address: address(i), Domain: "Sapporo"},
			Seeds:       []netip.AddrPort{address(0), address(1)},
			Keys:        []ticket.Key{key},
			Backend:     backend{r},
			Platform:    &r.values,
			Peer:        r.network.Link(address(i)),
			Decoder:     configdoc.Codec{},
			ManifestKey: configdoc.ManifestKey,
			PartKey:     configdoc.PartKey,
			Seed:        seed + uint64(i)*100,
		})
		require.NoError(t, err)
		r.network.Join(address(i), host)
		r.hosts = append(r.hosts, host)
	}
	return r
}

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(index + 1)}), 8180)
}

// backend is the player, with or without the checks of the transport.
type backend struct{ *replay }

func (b backend) Search(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, search ebonyworks.SubSearch) ebonyworks.SubSearchReply {
	answer := b.player.Search(ctx, service, server, search)
	other := answer.Snapshot != search.Snapshot || answer.Shard != search.Shard
	if b.passOn && answer.Result == ebonyworks.AttemptInvalid && answer.Shard != "" && other {
		b.foreign.Add(1)
		answer.Result = ebonyworks.AttemptServed
		answer.Rows = []ebonyworks.Row{{Key: search.Keys.From + "1", Fields: []ebonyworks.Field{{Name: "Snapshot", Value: "0"}}}}
	}
	return answer
}

func (b backend) Reserve(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, reservation ebonyworks.SubReservation) ebonyworks.SubReservationReply {
	return b.player.Reserve(ctx, service, server, reservation)
}

func (b backend) Status(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	return b.player.Status(ctx, service, server)
}
