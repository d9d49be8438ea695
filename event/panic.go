package event

import (
	"fmt"
	"runtime/debug"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
)

// ErrPanicked stands for a panic that was contained.
var ErrPanicked = errors.New("unexpected error of this host")

// maxStack bounds the stack in the log, in bytes.
const maxStack = 3 << 10

// RecoverPanic is deferred by a piece of work that must not take the process down. After
// a panic it calls failed, which sets what the work returns and tells the place for
// the log.
func RecoverPanic(recorder ebonyworks.EventRecorder, failed func() (place string)) {
	if value := recover(); value != nil {
		RecordPanic(recorder, failed(), value)
	}
}

// RecordPanic records a panic that was recovered at the place, with the stack that
// led to it. A nil recorder discards it.
func RecordPanic(recorder ebonyworks.EventRecorder, place string, value any) {
	if recorder == nil {
		return
	}
	stack := debug.Stack()
	recorder.Record(New(PanicRecovered,
		Attribute("Place", place),
		Attribute("Error", fmt.Sprint(value)),
		Attribute("Stack", string(stack[:min(len(stack), maxStack)]))))
}
