package daemon

import (
	"io"
	"os"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/event"
	"github.com/ebonyworks/ebonyworks/recording"
	"github.com/ebonyworks/ebonyworks/settings"
)

// fileMode lets operators read logs and traces, and only the daemon write them.
const fileMode = 0o644

// recordingMode keeps recordings from other users: they hold callers' keys.
const recordingMode = 0o600

func (p *process) logWriter() (io.Writer, error) {
	switch p.settings.Log.Output {
	case settings.LogStdout:
		return p.out, nil
	case settings.LogFile:
		return p.appendTo(p.settings.Log.File)
	default:
		return os.Stderr, nil
	}
}

func (p *process) traceWriter() (io.Writer, error) {
	switch p.settings.Traces.Exporter {
	case settings.TracesStdout:
		return p.out, nil
	case settings.TracesFile:
		return p.appendTo(p.settings.Traces.File)
	default:
		return nil, nil
	}
}

func (p *process) appendTo(path string) (io.Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open output file")
	}
	p.closers = append(p.closers, file)
	return file, nil
}

// withRecording returns the backend, wrapped so that its requests are recorded if
// the settings name a recording file.
func (p *process) withRecording(backend ebonyworks.Backend) (ebonyworks.Backend, error) {
	if p.settings.Recording == "" {
		return backend, nil
	}
	file, err := os.OpenFile(p.settings.Recording, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, recordingMode)
	if err != nil {
		return nil, errors.Wrap(err, "open recording")
	}
	p.closers = append(p.closers, file)
	p.recording = recording.NewRecorder(backend, file, recording.Options{Host: p.settings.Host})
	p.recorder.Record(event.New(event.RecordingStarted, event.Attribute("File", p.settings.Recording)))
	return p.recording, nil
}

func (p *process) closeRecording() {
	if p.recording == nil {
		return
	}
	left, err := p.recording.Close()
	if left == 0 && err == nil {
		return
	}
	attributes := []ebonyworks.Attribute{event.Attribute("Left", strconv.Itoa(left))}
	if err != nil {
		attributes = append(attributes, event.Attribute("Error", err.Error()))
	}
	p.recorder.Record(event.New(event.RecordingIncomplete, attributes...))
}
