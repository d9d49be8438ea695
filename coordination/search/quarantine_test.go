package search_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/coordination/quarantine"
	"github.com/ebonyworks/ebonyworks/coordination/search"
)

// crashBeforeSend records two crashes caused by the search when the first permit for
// a server is granted.
type crashBeforeSend struct {
	*fakeCluster
	server      ebonyworks.ServerID
	inspector   *quarantine.Controller
	fingerprint ebonyworks.Fingerprint
	done        atomic.Bool
}

func (c *crashBeforeSend) Acquire(ctx context.Context, service *ebonyworks.Service, server ebonyworks.ServerID) (ebonyworks.Permit, bool) {
	if server == c.server && c.done.CompareAndSwap(false, true) {
		c.inspector.RecordCrash(c.fingerprint, "stock-finder-01a", 1)
		c.inspector.RecordCrash(c.fingerprint, "stock-finder-02a", 1)
	}
	return c.fakeCluster.Acquire(ctx, service, server)
}

// Guards against a missed shard when crashes are reported after an attempt was decided
// and before it is sent: once another shard proves the request safe, the withheld
// attempt has to be sent, since its server hasn't been tried.
func TestWithheldAttemptIsSentOnceSafe(t *testing.T) {
	cases := map[string]fault{"retry": lost, "hedge": hang}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeCluster(1)
				f.reportAll(snapshot(3, 1))
				f.plan = func(server ebonyworks.ServerID, _ ebonyworks.SubSearch) fault {
					switch server {
					case "stock-finder-00a":
						return first
					case "stock-finder-00b":
						return noFault
					default:
						return slow
					}
				}
				request := ebonyworks.Search{Request: "r1", Route: routeID, Deadline: time.Now().Add(time.Second)}
				fingerprint := search.Fingerprint(request)
				inspector := &quarantine.Controller{}
				inspector.RecordSuccess(fingerprint)
				coordinator := f.coordinator()
				coordinator.Quarantine = inspector
				coordinator.Quota = &crashBeforeSend{fakeCluster: f, server: "stock-finder-00b", inspector: inspector, fingerprint: fingerprint}
				outcome := coordinator.Search(t.Context(), request)
				require.Nil(t, outcome.Refusal)
				assert.Empty(t, outcome.Answer.Coverage.Missed)
			})
		})
	}
}
