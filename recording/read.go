package recording

import (
	"bufio"
	"io"
	"reflect"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
)

const (
	// format is the version of the format that is written and read.
	format = 1
	// maxLineBytes bounds one line. The longest reply that is kept has maxRows
	// rows.
	maxLineBytes = 1 << 20
)

// Read decodes a recording. Unknown, repeated and missing names are errors,
// and errors name the line.
func Read(source io.Reader) (*Recording, error) {
	recording := &Recording{}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		if err := recording.add(scanner.Bytes(), number == 1); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrapf(err, "line %d", number+1)
	}
	if number == 0 {
		return nil, errors.New("line 1: the recording is empty")
	}
	return recording, nil
}

func (r *Recording) add(text []byte, first bool) error {
	var line lineWire
	if problems := jsonc.Decode(text, &line); len(problems) > 0 {
		return errors.Errorf("%s: %s", problems[0].Path, problems[0].Message)
	}
	if set := countSet(line); set != 1 {
		return errors.Errorf("must have one of Start, Attempt, Call and End, not %d", set)
	}
	if hasStart := line.Start != (startWire{}); hasStart != first {
		return errors.New("Start must be the first line and no other")
	}
	if r.Closed {
		return errors.New("no line may follow End")
	}
	switch {
	case first:
		return r.begin(line.Start)
	case line.End != (endWire{}):
		r.Closed, r.Left = line.End.Closed, line.End.Left
	case line.Attempt.Kind != "":
		r.Attempts = append(r.Attempts, fromAttempt(line.Attempt))
	default:
		if line.Call.Kind == kindWire(StatusKind) {
			return errors.New("Call.Kind: must be Search or Reserve")
		}
		r.Calls = append(r.Calls, fromCall(line.Call))
	}
	return nil
}

func countSet(line lineWire) int {
	set := 0
	value := reflect.ValueOf(line)
	for i := range value.NumField() {
		if !value.Field(i).IsZero() {
			set++
		}
	}
	return set
}

func (r *Recording) begin(start startWire) error {
	if start.Format != format {
		return errors.Errorf("Start.Format: must be %d, not %d", format, start.Format)
	}
	started, err := time.Parse(time.RFC3339Nano, start.Started)
	if err != nil {
		return errors.New("Start.Started: must be a time in the form of RFC 3339")
	}
	r.Started = started
	r.Host = ebonyworks.HostID(start.Host)
	return nil
}
