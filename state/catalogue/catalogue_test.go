package catalogue_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/state/catalogue"
)

func report(incarnation ebonyworks.Incarnation, numbers ...ebonyworks.SnapshotNumber) ebonyworks.ServerReport {
	result := ebonyworks.ServerReport{Server: "a", Incarnation: incarnation}
	for _, number := range numbers {
		result.Snapshots = append(result.Snapshots, ebonyworks.Snapshot{Number: number, Epoch: 1})
	}
	return result
}

// Guards against reports that arrive out of order and restore snapshots that the
// server has dropped, or hide the newest ones.
func TestObserveKeepsTheNewestReport(t *testing.T) {
	cases := []struct {
		name    string
		reports []ebonyworks.ServerReport
		held    []ebonyworks.SnapshotNumber
	}{
		{"newer replaces", []ebonyworks.ServerReport{report(1, 1, 2), report(1, 2, 3)}, []ebonyworks.SnapshotNumber{3, 2}},
		{"older is ignored", []ebonyworks.ServerReport{report(1, 2, 3), report(1, 1, 2)}, []ebonyworks.SnapshotNumber{3, 2}},
		{"dropped stays dropped", []ebonyworks.ServerReport{report(1, 3), report(1, 2, 3)}, []ebonyworks.SnapshotNumber{3}},
		{"restarted server holds fewer", []ebonyworks.ServerReport{report(1, 2, 3), report(2, 1)}, []ebonyworks.SnapshotNumber{1}},
		{"earlier incarnation is ignored", []ebonyworks.ServerReport{report(2, 1), report(1, 2, 3)}, []ebonyworks.SnapshotNumber{1}},
		{"empty report is ignored", []ebonyworks.ServerReport{report(1, 1), report(1)}, []ebonyworks.SnapshotNumber{1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var index catalogue.SnapshotIndex
			assert.Equal(t, catalogue.Unreported, index.Holds("a", ebonyworks.Snapshot{Number: 1, Epoch: 1}))
			for _, received := range tc.reports {
				index.Observe(received)
			}
			var held []ebonyworks.SnapshotNumber
			for _, snapshot := range index.Snapshots([]ebonyworks.ServerID{"a"}) {
				held = append(held, snapshot.Number)
			}
			assert.Equal(t, tc.held, held)
		})
	}
}
