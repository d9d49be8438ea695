// Package eventlog is a stand-in of the log for tests.
package eventlog

import (
	"slices"
	"sync"

	"github.com/ebonyworks/ebonyworks"
)

// Log keeps events. It is safe for concurrent use. The zero value is usable.
type Log struct {
	mutex  sync.Mutex
	events []ebonyworks.Event
}

var _ ebonyworks.EventRecorder = (*Log)(nil)

// Record keeps an event.
func (l *Log) Record(recorded ebonyworks.Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, recorded)
}

// Events returns the events so far.
func (l *Log) Events() []ebonyworks.Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.events)
}

// Take returns the ids of the events since the last call.
func (l *Log) Take() []ebonyworks.EventID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var ids []ebonyworks.EventID
	for _, recorded := range l.events {
		ids = append(ids, recorded.ID)
	}
	l.events = nil
	return ids
}

// Count returns how often an event was recorded.
func (l *Log) Count(id ebonyworks.EventID) int {
	count := 0
	for _, recorded := range l.Events() {
		if recorded.ID == id {
			count++
		}
	}
	return count
}
