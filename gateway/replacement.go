package gateway

import (
	"slices"
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// maxReplacementTarget is the longest target latency of a route that leaves no time for an
// attempt that opens a connection after the hedge delay: 20 ms for the caller's network
// path and the relay by another host, 10 ms until the hedge, 7 ms for the connection, 5 ms
// for the work and 3 ms for the merge.
const maxReplacementTarget = 45 * time.Millisecond

// replacesCanceled reports whether the connections of canceled attempts are replaced while
// the routes are in force.
func replacesCanceled(routes []ebonyworks.ForwardRoute) bool {
	return slices.ContainsFunc(routes, func(route ebonyworks.ForwardRoute) bool {
		return route.TargetLatency <= maxReplacementTarget
	})
}

// updateReplacement enables or disables the replacement of connections as the routes in
// force need it.
func (g *Gateway) updateReplacement() {
	if table := g.follower.Table(); table != nil && g.options.Connections != nil {
		g.options.Connections.ReplaceCanceled(replacesCanceled(table.Configuration().Routes))
	}
}
