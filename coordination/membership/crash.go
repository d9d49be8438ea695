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

// CrashCarrier is a Contributor that carries the reports of a CrashStore.
type CrashCarrier struct {
	// Book must not be nil.
	Book CrashStore
}

// Contribute adds reports within the budget.
func (c CrashCarrier) Contribute(message *ebonyworks.GossipMessage, budget int) {
	for _, report := range c.Book.Reports() {
		budget -= crashOverhead + len(report.Server)
		if budget < 0 {
			return
		}
		message.Crashes = append(message.Crashes, report)
	}
}

// Receive hands the reports to the store.
func (c CrashCarrier) Receive(message ebonyworks.GossipMessage, _ time.Time) {
	if len(message.Crashes) > 0 {
		c.Book.Merge(message.Crashes)
	}
}

// MarkStale does nothing: a death stays a death.
func (c CrashCarrier) MarkStale() {}
