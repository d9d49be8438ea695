package membership

import (
	"time"

	"github.com/ebonyworks/ebonyworks"
)

// crashOverhead is the encoded size of a crash report without its name.
const crashOverhead = 32

// CrashStore holds the crash reports that hosts share.
type CrashStore interface {
	// Reports returns the reports worth sending, the most important first.
	Reports() []ebonyworks.CrashReport
	// Merge learns the reports of another host.
	Merge(reports []ebonyworks.CrashReport)
}

// CrashGossip is a Contributor that carries the reports of a CrashStore.
type CrashGossip struct {
	// Store must not be nil.
	Store CrashStore
}

// Contribute adds reports within the budget.
func (c CrashGossip) Contribute(message *ebonyworks.GossipMessage, budget int) {
	for _, report := range c.Store.Reports() {
		budget -= crashOverhead + len(report.Server)
		if budget < 0 {
			return
		}
		message.Crashes = append(message.Crashes, report)
	}
}

// Receive hands the reports to the store.
func (c CrashGossip) Receive(message ebonyworks.GossipMessage, _ time.Time) {
	if len(message.Crashes) > 0 {
		c.Store.Merge(message.Crashes)
	}
}

// MarkStale does nothing: a death stays a death.
func (c CrashGossip) MarkStale() {}
