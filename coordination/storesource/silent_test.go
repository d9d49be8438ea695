package storesource_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/storesource"
	"github.com/ebonyworks/ebonyworks/coordination/wakeup"
	"github.com/ebonyworks/ebonyworks/standin/platformstore"
)

// Guards against readers of the store that hear nothing of it any more, turn to each
// other, and keep all that follow them from a change that other hosts know.
func TestReadersWithoutNewsFollowThoseWithNews(t *testing.T) {
	for _, silent := range []int{1, 2, 3} {
		for _, hosts := range []int{24, 40, 67} {
			for offset := range 6 {
				t.Run(fmt.Sprintf("%d readers of %d hosts, offset %d", silent, hosts, offset), func(t *testing.T) {
					inFleet(t, hosts, 4, func(t *testing.T, f *fleet) {
						time.Sleep(time.Duration(offset) * applyTime / 6)
						f.turnAway(platformstore.Silent, f.readers()[:silent])
						// The watches that wait still show the first change.
						assert.LessOrEqual(t, f.until(f.configure(2)), applyTime)
						time.Sleep(2 * time.Second)
						assert.LessOrEqual(t, f.until(f.configure(3)), applyTime)
					})
				})
			}
		}
	}
}

// unequalPeers answer at once, but only the last one has news, and is farther away.
type unequalPeers struct{ last ebonyworks.HostID }

func (p unequalPeers) Follow(ctx context.Context, host ebonyworks.Host, after ebonyworks.StoreRevision, _ time.Duration) (ebonyworks.StoreReport, error) {
	if host.ID != p.last {
		return ebonyworks.StoreReport{StoreListing: ebonyworks.StoreListing{AsOf: after}}, nil
	}
	if !wakeup.Wait(ctx, 2*farDelay, nil) {
		return ebonyworks.StoreReport{}, ctx.Err()
	}
	return ebonyworks.StoreReport{StoreListing: ebonyworks.StoreListing{AsOf: after + 1}}, nil
}

// Guards against a host that lost its source and follows the nearest host, which is
// as far behind, instead of one with news.
func TestLostReaderFollowsHostWithNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &platformstore.Store{}
		store.SetTrouble(platformstore.Refused)
		u := &storesource.FailoverReader{
			Self: ebonyworks.Host{ID: "self", Domain: "d"}, Store: store.Reader("self"), Peers: unequalPeers{"other-3"}, ApplyTime: applyTime,
			Alive: func() []ebonyworks.Host {
				return []ebonyworks.Host{{ID: "other-1", Domain: "c"}, {ID: "other-2", Domain: "e"}, {ID: "other-3", Domain: "f"}}
			},
		}
		for range 3 {
			listing, err := u.Watch(t.Context(), 7, applyTime)
			require.NoError(t, err)
			assert.EqualValues(t, 8, listing.AsOf)
		}
	})
}

// Guards against changes that are late on all other hosts, whose sources don't notice
// for long that they were cut off from the store.
func TestReadersAreCutOffAtOnce(t *testing.T) {
	for offset := range 12 {
		t.Run(fmt.Sprintf("offset %d", offset), func(t *testing.T) {
			inFleet(t, 40, 4, func(t *testing.T, f *fleet) {
				time.Sleep(time.Duration(offset) * applyTime / 12)
				f.fail(storeCut, f.readers())
				took := f.until(f.configure(2))
				assert.LessOrEqual(t, took, applyTime)
				t.Log(took)
			})
		})
	}
}
