package event

import (
	"fmt"
	"runtime/debug"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// ErrPanicked is the error of a call that ended in a recovered panic.
var ErrPanicked = errors.New("unexpected error of this host")

// maxStack bounds the stack in the log, in bytes.
const maxStack = 3 << 10

// RecoverPanic is deferred by a piece of work that must not take the process down. After
// a panic it calls failed, which sets the return values of the work and returns the
// location for the log.
func RecoverPanic(recorder ebonyworks.EventRecorder, failed func() (location string)) {
	if value := recover(); value != nil {
		RecordPanic(recorder, failed(), value)
	}
}

// RecordPanic records a panic that was recovered at the location, with the stack that
// led to it. A nil recorder discards it.
func RecordPanic(recorder ebonyworks.EventRecorder, location string, value any) {
	if recorder == nil {
		return
	}
	stack := debug.Stack()
	recorder.Record(New(PanicRecovered,
		Attribute("Place", location),
		Attribute("Error", fmt.Sprint(value)),
		Attribute("Stack", string(stack[:min(len(stack), maxStack)]))))
}
