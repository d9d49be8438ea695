package daemon

import (
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks/settings"
)

// fileMode lets operators read logs and traces, and only the daemon write them.
const fileMode = 0o644

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
