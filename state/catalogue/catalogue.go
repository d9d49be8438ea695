// Package catalogue records which snapshots each backend server reported that it
// holds, so that a search can be pinned to one of them.
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

// SnapshotIndex records which snapshots each server holds. The zero value is empty and
// ready for use. It is safe for concurrent use.
type SnapshotIndex struct {
	mu sync.RWMutex
	// servers holds the snapshots of each server's newest report, in ascending order of
	// their numbers.
	servers map[ebonyworks.ServerID]holdings
}

type holdings struct {
	incarnation ebonyworks.Incarnation
	snapshots   []ebonyworks.Snapshot
}

// Observe replaces the snapshots of a server by those of its report. Reports of an
// older incarnation and empty reports are ignored.
func (i *SnapshotIndex) Observe(report ebonyworks.ServerReport) {
	if report.Server == "" || len(report.Snapshots) == 0 {
		return
	}
	i.mu.RLock()
	known, ok := i.servers[report.Server]
	i.mu.RUnlock()
	if ok && !supersedes(known, report) {
		return
	}
	i.replace(report)
}

// supersedes reports whether the report is newer than the recorded one and differs
// from it. Replies can arrive out of order, so a report with an older newest snapshot
// is outdated: the newest snapshot of one incarnation never decreases.
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

func (i *SnapshotIndex) replace(report ebonyworks.ServerReport) {
	snapshots := slices.Clone(report.Snapshots)
	slices.SortFunc(snapshots, func(a, b ebonyworks.Snapshot) int { return cmp.Compare(a.Number, b.Number) })
	if excess := len(snapshots) - maxSnapshots; excess > 0 {
		snapshots = snapshots[excess:]
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.servers == nil {
		i.servers = make(map[ebonyworks.ServerID]holdings)
	}
	known, ok := i.servers[report.Server]
	if ok && !supersedes(known, report) {
		return
	}
	i.servers[report.Server] = holdings{incarnation: report.Incarnation, snapshots: snapshots}
}

// RemoveSnapshot records that a server refused a search because it no longer holds the
// snapshot.
func (i *SnapshotIndex) RemoveSnapshot(server ebonyworks.ServerID, snapshot ebonyworks.Snapshot) {
	i.mu.Lock()
	defer i.mu.Unlock()
	known, ok := i.servers[server]
	if !ok {
		return
	}
	// The slice is shared with readers, so a copy is modified.
	known.snapshots = slices.DeleteFunc(slices.Clone(known.snapshots), func(held ebonyworks.Snapshot) bool {
		return held == snapshot
	})
	i.servers[server] = known
}

// Holds tells whether the server holds the snapshot.
func (i *SnapshotIndex) Holds(server ebonyworks.ServerID, snapshot ebonyworks.Snapshot) Holding {
	i.mu.RLock()
	defer i.mu.RUnlock()
	known, ok := i.servers[server]
	if !ok {
		return Unreported
	}
	if slices.Contains(known.snapshots, snapshot) {
		return Held
	}
	return Missing
}

// Reported reports whether the server has reported its snapshots.
func (i *SnapshotIndex) Reported(server ebonyworks.ServerID) bool {
	i.mu.RLock()
	defer i.mu.RUnlock()
	_, ok := i.servers[server]
	return ok
}

// Retain drops the records of all servers but the given ones.
func (i *SnapshotIndex) Retain(servers []ebonyworks.Server) {
	keep := make(map[ebonyworks.ServerID]holdings, len(servers))
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, server := range servers {
		if known, ok := i.servers[server.ID]; ok {
			keep[server.ID] = known
		}
	}
	i.servers = keep
}

// Snapshots returns the snapshots that any of the servers holds, newest first.
func (i *SnapshotIndex) Snapshots(servers []ebonyworks.ServerID) []ebonyworks.Snapshot {
	var all []ebonyworks.Snapshot
	i.mu.RLock()
	for _, server := range servers {
		for _, snapshot := range i.servers[server].snapshots {
			if !slices.Contains(all, snapshot) {
				all = append(all, snapshot)
			}
		}
	}
	i.mu.RUnlock()
	slices.SortFunc(all, func(a, b ebonyworks.Snapshot) int { return cmp.Compare(b.Number, a.Number) })
	return all
}
