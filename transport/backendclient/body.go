package backendclient

import (
	"bytes"
	"sync/atomic"

	"github.com/go-faster/errors"
)

var errAborted = errors.New("request was aborted before it was sent")

const (
	bodyUnread int32 = iota
	bodyStarted
	bodyAborted
)

// abortableBody is a request body that records whether any of it was read by the
// connection. A server runs a request only after it has received the whole body, so
// a request whose body was aborted unread hasn't run and never will.
type abortableBody struct {
	reader *bytes.Reader
	state  atomic.Int32
}

func newAbortableBody(body []byte) *abortableBody {
	return &abortableBody{reader: bytes.NewReader(body)}
}

// Read reads from the body; it fails if the body was aborted.
func (b *abortableBody) Read(buffer []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyStarted) && b.state.Load() == bodyAborted {
		return 0, errAborted
	}
	return b.reader.Read(buffer)
}

// Close does nothing; the body holds no resources.
func (b *abortableBody) Close() error { return nil }

// abortIfUnread makes later reads fail if nothing has been read yet, and reports
// whether that is so.
func (b *abortableBody) abortIfUnread() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyAborted)
}
