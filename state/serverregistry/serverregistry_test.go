package serverregistry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/serverregistry"
)

func registration(id, service string, born int) ebonyworks.Registration {
	return ebonyworks.Registration{
		Server:  ebonyworks.Server{ID: ebonyworks.ServerID(id), Address: netip.MustParseAddrPort("10.0.0.1:80")},
		Service: ebonyworks.ServiceID(service), Incarnation: ebonyworks.Incarnation(born), Slots: 2,
	}
}

func names(d *serverregistry.Registry, service ebonyworks.ServiceID) []string {
	view := d.Service(service)
	if view == nil {
		return nil
	}
	var ids []string
	for _, server := range view.Servers {
		ids = append(ids, string(server.ID))
	}
	return ids
}

// Guards against work for servers that left, and against servers that stay
// away after they came back.
func TestLifeOfServer(t *testing.T) {
	var d serverregistry.Registry
	change, ok := d.Put(registration("a", "s", 1), 1)
	assert.True(t, ok && change.New && change.Usable)
	d.Put(registration("b", "s", 1), 2)
	assert.Equal(t, []string{"a", "b"}, names(&d, "s"))
	leaving := registration("a", "s", 1)
	leaving.Draining = true
	change, ok = d.Put(leaving, 3)
	assert.True(t, ok && !change.Usable && !change.New)
	assert.Equal(t, []string{"b"}, names(&d, "s"))
	_, ok = d.Remove("a", 4, time.Time{})
	assert.True(t, ok)
	change, ok = d.Put(registration("a", "s", 2), 5)
	assert.True(t, ok && change.New)
	assert.Equal(t, []string{"a", "b"}, names(&d, "s"))
	d.Put(registration("a", "other", 3), 6)
	assert.Equal(t, []string{"b"}, names(&d, "s"))
	assert.Equal(t, []string{"a"}, names(&d, "other"))
}

// Guards against old news: changes that arrive twice or in another order, and
// entries that an earlier life of a server wrote after a later one.
func TestOldNewsChangesNothing(t *testing.T) {
	var d serverregistry.Registry
	d.Put(registration("a", "s", 5), 10)
	leaving := registration("a", "s", 4)
	leaving.Draining = true
	_, ok := d.Put(leaving, 11)
	assert.False(t, ok, "an earlier life")
	leaving.Incarnation = 5
	_, ok = d.Put(leaving, 9)
	assert.False(t, ok, "an older revision")
	_, ok = d.Remove("a", 9, time.Time{})
	assert.False(t, ok)
	assert.Equal(t, []string{"a"}, names(&d, "s"))
	_, ok = d.Put(registration("a", "s", 5), 12)
	assert.False(t, ok, "nothing changed")
}

// Guards against a shard without servers after an outage of the store: entries
// that lapsed are kept until the servers had the time to register again, and
// what is missing then is gone.
func TestLapsedEntriesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d serverregistry.Registry
		d.Put(registration("a", "s", 1), 1)
		d.Put(registration("b", "s", 1), 2)
		d.Put(registration("later", "s", 1), 30)
		until := time.Now().Add(2 * time.Second)
		changes := d.RemoveUnlisted(map[ebonyworks.ServerID]bool{}, 20, until)
		require.Len(t, changes, 2)
		assert.Equal(t, []string{"a", "b", "later"}, names(&d, "s"))
		time.Sleep(time.Second)
		d.Put(registration("a", "s", 1), 31)
		assert.Empty(t, d.Expire())
		time.Sleep(time.Second)
		assert.Len(t, d.Expire(), 1)
		assert.Equal(t, []string{"a", "later"}, names(&d, "s"))
	})
}

// Guards against a server that left and is in use again: by a late registration, by
// the listing of a host that knows less, or while its entry is kept.
func TestRemovedStaysRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d serverregistry.Registry
		d.Put(registration("a", "s", 1), 5)
		d.Put(registration("kept", "s", 1), 5)
		_, ok := d.Remove("a", 7, time.Time{})
		require.True(t, ok)
		_, ok = d.Remove("kept", 7, time.Now().Add(time.Second))
		require.True(t, ok)
		for _, id := range []string{"a", "kept"} {
			_, ok = d.Put(registration(id, "s", 1), 6)
			assert.False(t, ok)
		}
		time.Sleep(2 * time.Second)
		d.Expire()
		assert.Empty(t, d.Servers())
		_, ok = d.Put(registration("kept", "s", 1), 7)
		assert.False(t, ok)
		_, ok = d.Put(registration("a", "s", 1), 8)
		assert.True(t, ok, "it registered again")
	})
}

// Guards against a host that follows this one and never learns that a server left,
// since this one has forgotten it or never knew it.
func TestSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d serverregistry.Registry
		d.Put(registration("a", "s", 1), 5)
		d.Put(registration("b", "s", 1), 6)
		d.Put(registration("c", "s", 1), 7)
		d.Remove("a", 8, time.Time{})
		d.Remove("b", 9, time.Now().Add(time.Second))
		d.Remove("unknown", 10, time.Time{})
		changes, complete := d.ChangesSince(6)
		assert.False(t, complete)
		names := make(map[ebonyworks.ServerID]ebonyworks.StoreRevision)
		for _, change := range changes {
			if change.Registration != nil {
				assert.EqualValues(t, "c", change.Registration.Server.ID)
				continue
			}
			names[change.Removed] = change.Revision
		}
		assert.Equal(t, map[ebonyworks.ServerID]ebonyworks.StoreRevision{"a": 8, "b": 9, "unknown": 10}, names)
		changes, complete = d.ChangesSince(0)
		assert.True(t, complete)
		assert.Len(t, changes, 1, "an entry that is only kept isn't in the store")
		d.RemoveUnlisted(map[ebonyworks.ServerID]bool{"c": true}, 20, time.Time{})
		_, complete = d.ChangesSince(15)
		assert.True(t, complete, "servers that came and left before the listing were never known")
		_, complete = d.ChangesSince(20)
		assert.False(t, complete)
	})
}

// Guards against removals that take up memory without end.
func TestRemovalsAreBounded(t *testing.T) {
	var d serverregistry.Registry
	for i := range serverregistry.MaxServers + 10 {
		d.Remove(ebonyworks.ServerID(fmt.Sprint(i)), ebonyworks.StoreRevision(i+1), time.Time{})
	}
	changes, complete := d.ChangesSince(1)
	assert.True(t, complete)
	assert.Empty(t, changes)
	changes, complete = d.ChangesSince(serverregistry.MaxServers)
	assert.False(t, complete)
	assert.Len(t, changes, 10)
}
