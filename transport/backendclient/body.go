package backendclient

import (
	"bytes"
	"sync/atomic"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("request was abandoned before it was sent")

const (
	bodyUnread int32 = iota
	bodyReading
	bodySealed
)

// sealedBody is a request body that proves whether any of it was handed to the
// connection. A request is executed only after its whole body has arrived, so
// one whose body was sealed unread has not run and never will.
type sealedBody struct {
	reader *bytes.Reader
	state  atomic.Int32
}

func newSealedBody(body []byte) *sealedBody {
	return &sealedBody{reader: bytes.NewReader(body)}
}

// Read reads from the body unless it has been sealed.
func (b *sealedBody) Read(buffer []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyReading) && b.state.Load() == bodySealed {
		return 0, errSealed
	}
	return b.reader.Read(buffer)
}

// Close does nothing; the body holds no resources.
func (b *sealedBody) Close() error { return nil }

// seal makes later reads fail. It returns true if nothing has been read.
func (b *sealedBody) seal() bool {
	return b.state.CompareAndSwap(bodyUnread, bodySealed)
}
