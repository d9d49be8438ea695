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

// thawedPeer answers each call, the first one only after this host stood still.
type thawedPeer struct{ asked atomic.Int64 }

func (p *thawedPeer) Follow(_ context.Context, _ ebonyworks.Host, after ebonyworks.StoreRevision, _ time.Duration) (ebonyworks.StoreReport, error) {
	if p.asked.Add(1) == 1 {
		time.Sleep(2 * applyTime)
		return ebonyworks.StoreReport{StoreListing: ebonyworks.StoreListing{AsOf: after}}, nil
	}
	return ebonyworks.StoreReport{StoreListing: ebonyworks.StoreListing{AsOf: after + 1}}, nil
}

// Guards against a report that was on its way while this host stood still and is
// taken for the state of the store.
func TestReportThatIsTooOldIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &platformstore.Store{}
		store.SetTrouble(platformstore.Refused)
		peers := &thawedPeer{}
		self := ebonyworks.Host{ID: "self", Domain: "d"}
		u := &storesource.FailoverReader{
			Self: self, Store: store.Reader(self.ID), Peers: peers, ApplyTime: applyTime, Random: rand.New(rand.NewPCG(1, 1)),
			Alive: func() []ebonyworks.Host {
				return []ebonyworks.Host{{ID: "other-1", Domain: "d"}, {ID: "other-2", Domain: "d"}, {ID: "other-3", Domain: "d"}}
			},
		}
		listing, err := u.Watch(t.Context(), 7, applyTime)
		require.NoError(t, err)
		assert.EqualValues(t, 8, listing.AsOf)
		assert.Greater(t, peers.asked.Load(), int64(1))
		age, known := u.Age()
		assert.True(t, known)
		assert.Less(t, age, time.Second)
	})
}
