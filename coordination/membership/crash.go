package membership

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// crashReportOverhead is the encoded size in bytes of a crash report
// without the name of its server.
const crashReportOverhead = 32

// CrashStore holds the crash reports that hosts exchange.
type CrashStore interface {
	// Reports returns the reports worth sending, the most important first.
	Reports() []ebonyworks.CrashReport
	// Merge adds the reports of another host.
	Merge(reports []ebonyworks.CrashReport)
}

// CrashGossip is a Contributor that piggybacks the reports of a CrashStore on
// gossip messages.
type CrashGossip struct {
	// Store holds the reports. It must not be nil.
	Store CrashStore
}

// Contribute adds reports within the budget.
func (g CrashGossip) Contribute(message *ebonyworks.GossipMessage, budget int) {
	for _, report := range g.Store.Reports() {
		budget -= crashReportOverhead + len(report.Server)
		if budget < 0 {
			return
		}
		message.Crashes = append(message.Crashes, report)
	}
}

// Receive merges the reports of another host into the store.
func (g CrashGossip) Receive(message ebonyworks.GossipMessage, _ time.Time) {
	if len(message.Crashes) > 0 {
		g.Store.Merge(message.Crashes)
	}
}

// MarkStale does nothing: a crash report stays valid over a pause of this process.
func (g CrashGossip) MarkStale() {}
