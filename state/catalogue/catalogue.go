// Package catalogue keeps which snapshots each backend server holds, as the
// servers reported it, and finds the snapshot that a search can be pinned to.
package catalogue

import (
	"cmp"
	"slices"
	"sync"

	"github.com/ebonyworks/ebonyworks"
)

// maxSnapshots bounds the snapshots that are kept per server, so that a faulty
// report can't fill the memory of the host.
const maxSnapshots = 64

// Holding tells whether a server holds a snapshot.
type Holding int

const (
	// Unreported means that the server has not reported its snapshots yet.
	Unreported Holding = iota
	// Held means that the server last reported the snapshot.
	Held
	// Missing means that the server last reported other snapshots only.
	Missing
)

// SnapshotIndex records the snapshots of servers. The zero value is empty and
// ready for use. It is safe for concurrent use.
type SnapshotIndex struct {
	mu sync.RWMutex
	// servers holds, for each server, the snapshots of its newest report in
	// ascending order of number.
	servers map[ebonyworks.ServerID]holdings
}

type holdings struct {
	incarnation ebonyworks.Incarnation
	snapshots   []ebonyworks.Snapshot
}

// Observe replaces what is known of a server by its report. Reports of an
// older incarnation and empty reports are ignored.
func (c *SnapshotIndex) Observe(report ebonyworks.ServerReport) {
	if report.Server == "" || len(report.Snapshots) == 0 {
		return
	}
	c.mu.RLock()
	known, ok := c.servers[report.Server]
	c.mu.RUnlock()
	if ok && !supersedes(known, report) {
		return
	}
	c.replace(report)
}

// supersedes reports whether the report says something new. Replies can arrive
// out of order, and the newest snapshot of one incarnation never decreases.
func supersedes(known holdings, report ebonyworks.ServerReport) bool {
	if report.Incarnation != known.incarnation {
		return report.Incarnation > known.incarnation
	}
	newest := maxNumber(report.Snapshots)
	if newest != maxNumber(known.snapshots) {
		return newest > maxNumber(known.snapshots)
	}
	return len(report.Snapshots) < len(known.snapshots)
}

func maxNumber(snapshots []ebonyworks.Snapshot) ebonyworks.SnapshotNumber {
	var newest ebonyworks.SnapshotNumber
	for _, snapshot := range snapshots {
		newest = max(newest, snapshot.Number)
	}
	return newest
}

func (c *SnapshotIndex) replace(report ebonyworks.ServerReport) {
	snapshots := slices.Clone(report.Snapshots)
	slices.SortFunc(snapshots, func(a, b ebonyworks.Snapshot) int { return cmp.Compare(a.Number, b.Number) })
	if excess := len(snapshots) - maxSnapshots; excess > 0 {
		snapshots = snapshots[excess:]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers == nil {
		c.servers = make(map[ebonyworks.ServerID]holdings)
	}
	known, ok := c.servers[report.Server]
	if ok && !supersedes(known, report) {
		return
	}
	c.servers[report.Server] = holdings{incarnation: report.Incarnation, snapshots: snapshots}
}

// RemoveSnapshot records that a server refused the snapshot because it no longer
// holds it.
func (c *SnapshotIndex) RemoveSnapshot(server ebonyworks.ServerID, snapshot ebonyworks.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.servers[server]
	if !ok {
		return
	}
	// The slice is shared with readers, so the change is made on a copy.
	known.snapshots = slices.DeleteFunc(slices.Clone(known.snapshots), func(held ebonyworks.Snapshot) bool {
		return held == snapshot
	})
	c.servers[server] = known
}

// Holds tells whether the server holds the snapshot.
func (c *SnapshotIndex) Holds(server ebonyworks.ServerID, snapshot ebonyworks.Snapshot) Holding {
	c.mu.RLock()
	defer c.mu.RUnlock()
	known, ok := c.servers[server]
	if !ok {
		return Unreported
	}
	if slices.Contains(known.snapshots, snapshot) {
		return Held
	}
	return Missing
}

// Reported tells whether the server has reported its snapshots.
func (c *SnapshotIndex) Reported(server ebonyworks.ServerID) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	_, ok := c.servers[server]
	return ok
}

// Retain forgets all servers but the given ones.
func (c *SnapshotIndex) Retain(servers []ebonyworks.Server) {
	keep := make(map[ebonyworks.ServerID]holdings, len(servers))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, server := range servers {
		if known, ok := c.servers[server.ID]; ok {
			keep[server.ID] = known
		}
	}
	c.servers = keep
}

// Snapshots returns the snapshots that any of the servers holds, newest first.
func (c *SnapshotIndex) Snapshots(servers []ebonyworks.ServerID) []ebonyworks.Snapshot {
	var all []ebonyworks.Snapshot
	c.mu.RLock()
	for _, server := range servers {
		for _, snapshot := range c.servers[server].snapshots {
			if !slices.Contains(all, snapshot) {
				all = append(all, snapshot)
			}
		}
	}
	c.mu.RUnlock()
	slices.SortFunc(all, func(a, b ebonyworks.Snapshot) int { return cmp.Compare(b.Number, a.Number) })
	return all
}
