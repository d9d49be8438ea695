package event

import (
	"fmt"
	"runtime/debug"

	"github.com/ebonyworks/ebonyworks"
)

// maxStack bounds the stack in the log, in bytes.
const maxStack = 3 << 10

// RecordPanic records a panic that was recovered at the place, with the stack that
// led to it. A nil recorder discards it.
func RecordPanic(recorder ebonyworks.Recorder, place string, value any) {
	if recorder == nil {
		return
	}
	stack := debug.Stack()
	recorder.Record(New(PanicContained,
		Attribute("Place", place),
		Attribute("Error", fmt.Sprint(value)),
		Attribute("Stack", string(stack[:min(len(stack), maxStack)]))))
}
