package storerelay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/storerelay"
)

// content is what the host knows.
type content struct {
	asOf     atomic.Uint64
	advanced chan struct{}
	// abandoned is closed when there is no source any more.
	abandoned chan struct{}
	age       time.Duration
	fresh     atomic.Bool
}

func (c *content) AsOf() ebonyworks.StoreRevision { return ebonyworks.StoreRevision(c.asOf.Load()) }
func (c *content) Advanced() <-chan struct{}      { return c.advanced }
func (c *content) SourceLost() <-chan struct{}     { return c.abandoned }
func (c *content) Ready() bool                    { return true }
func (c *content) Age() (time.Duration, bool)     { return c.age, c.fresh.Load() }
func (c *content) SinceRecovery() time.Duration        { return 0 }
func (c *content) Via() []ebonyworks.HostID       { return []ebonyworks.HostID{"reader"} }

func (c *content) Since(after ebonyworks.StoreRevision) ebonyworks.StoreListing {
	return ebonyworks.StoreListing{AsOf: c.AsOf(), Complete: after == 0, Changes: []ebonyworks.StoreChange{{Revision: c.AsOf(), Removed: "a"}}}
}

func newContent() *content {
	known := &content{advanced: make(chan struct{}), abandoned: make(chan struct{}), age: time.Second}
	known.fresh.Store(true)
	known.asOf.Store(5)
	return known
}

// Guards against followers that learn of a change late, or ask in vain again and
// again.
func TestFollowWaitsForChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := newContent()
		served := storerelay.New(known, known)
		begin := time.Now()
		report, err := served.Follow(t.Context(), 5, time.Second)
		require.NoError(t, err)
		assert.Equal(t, time.Second, time.Since(begin))
		assert.Empty(t, report.Changes)
		assert.EqualValues(t, 5, report.AsOf)
		go func() {
			time.Sleep(100 * time.Millisecond)
			known.asOf.Store(6)
			close(known.advanced)
		}()
		begin = time.Now()
		report, err = served.Follow(t.Context(), 5, time.Second)
		require.NoError(t, err)
		assert.Equal(t, 100*time.Millisecond, time.Since(begin))
		assert.Len(t, report.Changes, 1)
		assert.Equal(t, time.Second, report.Age)
		assert.Equal(t, []ebonyworks.HostID{"reader"}, report.Via)
		report, err = served.Follow(t.Context(), 0, time.Second)
		require.NoError(t, err)
		assert.True(t, report.Complete)
	})
}

// Guards against followers that wait on for a host whose source is lost.
func TestFollowersLearnOfLostSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := newContent()
		served := storerelay.New(known, known)
		go func() {
			time.Sleep(100 * time.Millisecond)
			known.fresh.Store(false)
			close(known.abandoned)
		}()
		begin := time.Now()
		report, err := served.Follow(t.Context(), 5, time.Second)
		require.NoError(t, err)
		assert.Equal(t, 100*time.Millisecond, time.Since(begin))
		assert.True(t, report.Stale)
	})
}

// Guards against content that is passed on although nobody knows if it is still
// true.
func TestStaleContentIsKept(t *testing.T) {
	known := newContent()
	known.fresh.Store(false)
	report, err := storerelay.New(known, known).Follow(t.Context(), 0, time.Second)
	require.NoError(t, err)
	assert.Equal(t, ebonyworks.StoreReport{Stale: true}, report)
}

// Guards against followers that wait for a host that is stopping, and against
// more of them than it has memory for.
func TestFollowersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := newContent()
		served := storerelay.New(known, known)
		ends := make(chan error, storerelay.MaxFollowers)
		for range storerelay.MaxFollowers {
			go func() {
				_, err := served.Follow(context.Background(), 5, time.Minute)
				ends <- err
			}()
		}
		synctest.Wait()
		_, err := served.Follow(context.Background(), 5, time.Minute)
		assert.ErrorIs(t, err, storerelay.ErrBusy)
		served.Stop()
		for range storerelay.MaxFollowers {
			assert.ErrorIs(t, <-ends, storerelay.ErrUnavailable)
		}
		_, err = served.Follow(context.Background(), 0, 0)
		assert.ErrorIs(t, err, storerelay.ErrUnavailable)
	})
}
