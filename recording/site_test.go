package recording_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/ticket"
	"github.com/ebonyworks/ebonyworks/entry"
	"github.com/ebonyworks/ebonyworks/operator"
	"github.com/ebonyworks/ebonyworks/protocol/notice"
	"github.com/ebonyworks/ebonyworks/recording"
)

var errUnreachable = errors.New("unreachable")

// replay is a fleet of hosts with a player as their backend.
type replay struct {
	t             *testing.T
	configuration *ebonyworks.Configuration
	values        map[ebonyworks.Key]ebonyworks.Value
	recordings    []*recording.Recording
	player        *recording.Player
	hosts         []*entry.Host
	results       []recording.Result
	played        []recording.Played
	// passOn makes replies that named something else look served.
	passOn  bool
	foreign atomic.Int64
}

func newReplay(t *testing.T, scenario string, seed uint64, passOn bool) *replay {
	r := &replay{t: t, recordings: readRecordings(t, scenario), values: make(map[ebonyworks.Key]ebonyworks.Value), passOn: passOn}
	publication, configuration, problems, err := operator.Directory("testdata/configuration").Read()
	require.NoError(t, err)
	require.Empty(t, problems)
	r.configuration = configuration
	for _, value := range publication.Values() {
		value.Version = 1
		r.values[value.Key] = value
	}
	key, err := ticket.NewKey("k", make([]byte, ticket.MinSecretBytes))
	require.NoError(t, err)
	for i, read := range r.recordings {
		host, err := entry.New(entry.Options{
			Self:      ebonyworks.Host{ID: read.Host, Incarnation: 1, Address: address(i), Domain: "Sapporo"},
			Seeds:     []netip.AddrPort{address(0), address(1)},
			Keys:      []ticket.Key{key},
			Backend:   backend{r},
			Platform:  platform{r},
			Peer:      peers{r},
			Documents: notice.Codec{},
			HeadKey:   notice.HeadKey,
			PartKey:   notice.PartKey,
			Seed:      seed + uint64(i)*100,
		})
		require.NoError(t, err)
		r.hosts = append(r.hosts, host)
	}
	return r
}

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(index + 1)}), 8180)
}

func travel(ctx context.Context) error {
	select {
	case <-time.After(time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// backend is the player, with or without the checks of the transport.
type backend struct{ *replay }

func (b backend) Search(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, search ebonyworks.SubSearch) ebonyworks.SubAnswer {
	answer := b.player.Search(ctx, service, server, search)
	other := answer.Snapshot != search.Snapshot || answer.Shard != search.Shard
	if b.passOn && answer.Result == ebonyworks.AttemptInvalid && answer.Shard != "" && other {
		b.foreign.Add(1)
		answer.Result = ebonyworks.AttemptServed
		answer.Rows = []ebonyworks.Row{{Key: search.Keys.From + "1", Fields: []ebonyworks.Field{{Name: "Snapshot", Value: "0"}}}}
	}
	return answer
}

func (b backend) Reserve(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server, reservation ebonyworks.SubReservation) ebonyworks.SubConfirmation {
	return b.player.Reserve(ctx, service, server, reservation)
}

func (b backend) Status(ctx context.Context, service *ebonyworks.Service, server ebonyworks.Server) (ebonyworks.ServerReport, ebonyworks.AttemptResult) {
	return b.player.Status(ctx, service, server)
}

// platform is a configuration service that never changes.
type platform struct{ *replay }

func (p platform) Read(ctx context.Context, key ebonyworks.Key) (ebonyworks.Value, error) {
	value, ok := p.values[key]
	if !ok {
		return value, errUnreachable
	}
	return value, travel(ctx)
}

func (p platform) Watch(ctx context.Context, key ebonyworks.Key, after ebonyworks.Version) (ebonyworks.Value, error) {
	if p.values[key].Version > after {
		return p.Read(ctx, key)
	}
	select {
	case <-time.After(10 * time.Second):
	case <-ctx.Done():
	}
	return p.Read(ctx, key)
}

func (p platform) Hosts(ctx context.Context) ([]ebonyworks.ListedHost, error) {
	return nil, travel(ctx)
}

// peers connects the hosts.
type peers struct{ *replay }

func (p peers) reach(ctx context.Context, to netip.AddrPort) (*entry.Host, error) {
	for i, host := range p.hosts {
		if address(i) == to {
			return host, travel(ctx)
		}
	}
	return nil, errUnreachable
}

func (p peers) Exchange(ctx context.Context, to netip.AddrPort, message ebonyworks.Exchange) (ebonyworks.Exchange, error) {
	host, err := p.reach(ctx, to)
	if err != nil {
		return ebonyworks.Exchange{}, err
	}
	return host.HandleExchange(ctx, message)
}

func (p peers) Relay(ctx context.Context, via, target netip.AddrPort) (bool, error) {
	host, err := p.reach(ctx, via)
	if err != nil {
		return false, err
	}
	return host.HandleRelay(ctx, target)
}

func (p peers) FetchHead(ctx context.Context, from netip.AddrPort) ([]byte, error) {
	host, err := p.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return host.HandleFetchHead(ctx)
}

func (p peers) FetchPart(ctx context.Context, from netip.AddrPort, digest ebonyworks.Digest) ([]byte, error) {
	host, err := p.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return host.HandleFetchPart(ctx, digest)
}

// Reserve, Outcome and HandOver aren't used: tickets stay with their host.
func (p peers) Reserve(context.Context, ebonyworks.Host, ebonyworks.Reservation) (ebonyworks.Outcome, ebonyworks.Delivery) {
	return ebonyworks.Outcome{}, ebonyworks.NotDelivered
}

func (p peers) Outcome(context.Context, ebonyworks.Host, string) (ebonyworks.Outcome, ebonyworks.Delivery) {
	return ebonyworks.Outcome{}, ebonyworks.NotDelivered
}

func (p peers) HandOver(context.Context, ebonyworks.Host, ebonyworks.ClosedLedger) error {
	return errUnreachable
}

func (p peers) Report(ctx context.Context, to netip.AddrPort, reports []ebonyworks.CrashReport) error {
	host, err := p.reach(ctx, to)
	if err != nil {
		return err
	}
	return host.HandleReport(ctx, reports)
}
