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

// deathBeforeSend reports two deaths under the search when the first permit of
// a server is granted.
type deathBeforeSend struct {
	*world
	server      ebonyworks.ServerID
	inspector   *quarantine.Inspector
	fingerprint ebonyworks.Fingerprint
	done        atomic.Bool
}

func (d *deathBeforeSend) Acquire(ctx context.Context, service *ebonyworks.Service, server ebonyworks.ServerID) (ebonyworks.Permit, bool) {
	if server == d.server && d.done.CompareAndSwap(false, true) {
		d.inspector.RecordCrash(d.fingerprint, "stock-finder-01a", 1)
		d.inspector.RecordCrash(d.fingerprint, "stock-finder-02a", 1)
	}
	return d.world.Acquire(ctx, service, server)
}

// Guards against a shard that is missed because deaths became known between the
// decision for an attempt and its send, although its server was never asked and
// another shard proves the request safe.
func TestWithheldAttemptIsMadeOnceProven(t *testing.T) {
	cases := map[string]fault{"retry": lost, "hedge": hang}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1)
				w.reportAll(snapshot(3, 1))
				w.plan = func(server ebonyworks.ServerID, _ ebonyworks.SubSearch) fault {
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
				inspector := &quarantine.Inspector{}
				inspector.RecordSuccess(fingerprint)
				coordinator := w.coordinator()
				coordinator.Quarantine = inspector
				coordinator.Quota = &deathBeforeSend{world: w, server: "stock-finder-00b", inspector: inspector, fingerprint: fingerprint}
				outcome := coordinator.Search(t.Context(), request)
				require.Nil(t, outcome.Refusal)
				assert.Empty(t, outcome.Answer.Coverage.Missed)
			})
		})
	}
}
