package storesource_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/storesource"
	"github.com/ebonyworks/ebonyworks/standin/platformstore"
)

// stallingPeer answers the first call late, as if this host had been frozen meanwhile,
// and each later call at once.
type stallingPeer struct{ asked atomic.Int64 }

func (p *stallingPeer) Follow(_ context.Context, _ ebonyworks.Host, after ebonyworks.StoreRevision, _ time.Duration) (ebonyworks.StoreReport, error) {
	if p.asked.Add(1) == 1 {
		time.Sleep(2 * applyTime)
		return ebonyworks.StoreReport{StoreListing: ebonyworks.StoreListing{AsOf: after}}, nil
	}
	return ebonyworks.StoreReport{StoreListing: ebonyworks.StoreListing{AsOf: after + 1}}, nil
}

// Guards against a report that was in transit while this host was frozen and is used as
// if it were current.
func TestOldReportIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &platformstore.Store{}
		store.SetTrouble(platformstore.Refused)
		peers := &stallingPeer{}
		self := ebonyworks.Host{ID: "self", Domain: "d"}
		reader := &storesource.FailoverReader{
			Self: self, Store: store.Reader(self.ID), Peers: peers, ApplyTime: applyTime, Random: rand.New(rand.NewPCG(1, 1)),
			Alive: func() []ebonyworks.Host {
				return []ebonyworks.Host{{ID: "other-1", Domain: "d"}, {ID: "other-2", Domain: "d"}, {ID: "other-3", Domain: "d"}}
			},
		}
		listing, err := reader.Watch(t.Context(), 7, applyTime)
		require.NoError(t, err)
		assert.EqualValues(t, 8, listing.AsOf)
		assert.Greater(t, peers.asked.Load(), int64(1))
		age, known := reader.Age()
		assert.True(t, known)
		assert.Less(t, age, time.Second)
	})
}
