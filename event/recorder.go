package event

import (
	"io"

	"github.com/phuslu/log"

	"github.com/ebonyworks/ebonyworks"
)

// Recorder writes events as JSON lines. The zero value discards them.
type Recorder struct {
	logger *log.Logger
	// entries is read-only after NewRecorder.
	entries map[ebonyworks.EventID]Entry
}

// NewRecorder returns a recorder that writes to w.
func NewRecorder(w io.Writer) *Recorder {
	recorder := &Recorder{
		logger:  &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: w}},
		entries: make(map[ebonyworks.EventID]Entry),
	}
	for _, entry := range Catalogue() {
		recorder.entries[entry.ID] = entry
	}
	return recorder
}

// Record writes the event with the message of its catalogue entry.
func (r *Recorder) Record(event ebonyworks.Event) {
	if r == nil || r.logger == nil {
		return
	}
	entry := r.entries[event.ID]
	line := r.line(entry.Level).Int("Event", int(event.ID))
	for _, attribute := range event.Attributes {
		line = line.Str(attribute.Name, attribute.Value)
	}
	line.Msg(entry.Message)
}

func (r *Recorder) line(level Level) *log.Entry {
	switch level {
	case Error:
		return r.logger.Error()
	case Warning:
		return r.logger.Warn()
	default:
		return r.logger.Info()
	}
}
