package configsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/configsync"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/state/activeconfig"
)

// alone is the membership of a host without peers.
type alone struct{}

func (alone) Alive() []ebonyworks.Host                        { return nil }
func (alone) UnreachableAddresses() []netip.AddrPort          { return nil }
func (alone) PullState(context.Context, netip.AddrPort) error { return nil }
func (alone) TriggerGossip()                                  {}

// constant is a configuration service whose values don't change.
type constant map[ebonyworks.ConfigurationKey]ebonyworks.ConfigurationValue

func (c constant) Read(_ context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	return c[key], nil
}

func (c constant) Watch(ctx context.Context, key ebonyworks.ConfigurationKey, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	if after >= c[key].Version {
		<-ctx.Done()
		return ebonyworks.ConfigurationValue{}, ctx.Err()
	}
	return c[key], nil
}

func (c constant) Hosts(context.Context) ([]ebonyworks.ListedHost, error) { return nil, nil }

// ready closes itself when the configuration is settled.
type ready chan struct{}

func (r ready) Record(recorded ebonyworks.Event) {
	if recorded.ID == event.ConfigurationSettled {
		close(r)
	}
}

func Example() {
	head, part, _ := publication(7, "routes of revision 7")
	service := constant{
		headKey:           {Key: headKey, Version: 1, Bytes: head},
		partKey("routes"): {Key: partKey("routes"), Version: 1, Bytes: part},
	}
	var inForce activeconfig.Edition
	settled := make(ready)
	b := configsync.New(configsync.Config{
		Self: "entry-1", ManifestKey: headKey, PartKey: partKey, Platform: configsync.NewRateLimitedPlatform(service),
		Decoder: documents{}, Membership: alone{}, ActiveConfig: &inForce,
		Random: rand.New(rand.NewPCG(1, 1)), Recorder: settled,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	<-settled
	fmt.Println(inForce.Mark().Revision, b.Readiness().Ready(), b.Stale())
	cancel()
	<-done
	// Output: 7 true false
}
