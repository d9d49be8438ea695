package server

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonyworks/ebonyworks"
)

// Schedule tells when snapshots of a catalogue appear. The zero value is a
// single snapshot that never changes.
type Schedule struct {
	// Period is the time between snapshots; zero means that only snapshot 1 exists.
	Period time.Duration
	// Retention is how many snapshots a server keeps, at least 1.
	Retention int
	// Spread is the longest time from the creation of a snapshot to its arrival
	// at a server.
	Spread time.Duration
}

// Timeline numbers the snapshots of one catalogue by the wall clock, so that
// several processes agree on them, and tells the partition epoch of each.
type Timeline struct {
	schedule Schedule

	mu sync.Mutex
	// epochs are ordered by snapshot; the first holds for all earlier ones.
	epochs []epochStart
}

// epochStart is the first snapshot of a partition epoch.
type epochStart struct {
	from  ebonyworks.SnapshotNumber
	epoch ebonyworks.PartitionEpoch
}

// NewTimeline returns a timeline whose snapshots have the given epoch.
func NewTimeline(schedule Schedule, epoch ebonyworks.PartitionEpoch) *Timeline {
	schedule.Retention = max(schedule.Retention, 1)
	return &Timeline{schedule: schedule, epochs: []epochStart{{epoch: epoch}}}
}

// Latest returns the newest snapshot that exists, whether or not it has
// reached any server.
func (t *Timeline) Latest(now time.Time) ebonyworks.SnapshotNumber {
	if t.schedule.Period <= 0 {
		return 1
	}
	return ebonyworks.SnapshotNumber(now.UnixNano() / int64(t.schedule.Period))
}

// Held returns the snapshots that a server holds, by increasing number.
func (t *Timeline) Held(server ebonyworks.ServerID, now time.Time) []ebonyworks.Snapshot {
	latest := t.Latest(now)
	for latest > 1 && t.arrival(server, latest).After(now) {
		latest--
	}
	oldest := ebonyworks.SnapshotNumber(1)
	if keep := ebonyworks.SnapshotNumber(t.schedule.Retention); latest > keep {
		oldest = latest - keep + 1
	}
	var held []ebonyworks.Snapshot
	for number := oldest; number <= latest; number++ {
		if !t.arrival(server, number).After(now) {
			held = append(held, ebonyworks.Snapshot{Number: number, Epoch: t.Epoch(number)})
		}
	}
	return held
}

// arrival returns when a snapshot reaches a server.
func (t *Timeline) arrival(server ebonyworks.ServerID, number ebonyworks.SnapshotNumber) time.Time {
	if t.schedule.Period <= 0 {
		return time.Time{}
	}
	created := time.Unix(0, int64(number)*int64(t.schedule.Period))
	if t.schedule.Spread <= 0 {
		return created
	}
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(number))
	_, _ = digest.WriteString(string(server))
	return created.Add(time.Duration(digest.Sum64() % uint64(t.schedule.Spread)))
}

// Epoch returns the partition epoch of a snapshot.
func (t *Timeline) Epoch(number ebonyworks.SnapshotNumber) ebonyworks.PartitionEpoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	epoch := t.epochs[0].epoch
	for _, start := range t.epochs {
		if start.from <= number {
			epoch = start.epoch
		}
	}
	return epoch
}

// Switch sets the epoch of all snapshots from the given one. Switches that
// were planned for the same or later snapshots are dropped. Only the last 64
// are kept.
func (t *Timeline) Switch(from ebonyworks.SnapshotNumber, epoch ebonyworks.PartitionEpoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := 0
	for kept < len(t.epochs) && (kept == 0 || t.epochs[kept].from < from) {
		kept++
	}
	const limit = 64
	if kept >= limit {
		t.epochs = t.epochs[1:]
		kept--
	}
	t.epochs = append(t.epochs[:kept:kept], epochStart{from: from, epoch: epoch})
}
