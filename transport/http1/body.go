package http1

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks/state/buffer"
)

const (
	// defaultMaxBody bounds the body of a response in bytes if the request names
	// no bound.
	defaultMaxBody = 32 << 20
	// initialAlloc is the number of bytes that are allocated before they arrive.
	// Beyond it, the buffer grows only with the bytes received, so that a server that
	// announces more than it sends doesn't cause a large allocation.
	initialAlloc = 16 << 10
	// maxChunkLineBytes bounds the line before a chunk, including its extensions, and
	// maxExtensionBytes bounds all chunk extensions of one response together.
	maxChunkLineBytes = 256
	maxExtensionBytes = 16 << 10
	// The first uncheckedChunks chunks may have any size. Beyond them, chunks must
	// have at least minMeanChunk bytes on average, because a chunk costs the same work
	// whatever its size.
	uncheckedChunks = 4 << 10
	minMeanChunk    = 64
)

var (
	errBodyTooLarge = errors.New("response body is too large")
	errSmallChunks  = errors.New("response has too many small chunks")
)

// framing tells how the end of a response body is found.
type framing int

const (
	noBody framing = iota
	byLength
	byChunks
	byClose
)

// framingOf returns the framing of the body, and its length if the framing is
// byLength.
func framingOf(method string, parsed *head) (framing, int64, error) {
	if method == http.MethodHead || parsed.status < http.StatusOK || parsed.status == http.StatusNoContent || parsed.status == http.StatusNotModified {
		return noBody, 0, nil
	}
	lengths := parsed.header["Content-Length"]
	if codings := parsed.header["Transfer-Encoding"]; len(codings) > 0 {
		if parsed.http10 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return noBody, 0, errors.Wrap(errMalformed, "transfer encoding")
		}
		// A length beside chunked framing is a sign of response splitting (RFC 9112,
		// section 6.3), so the connection isn't reused.
		parsed.closes = parsed.closes || len(lengths) > 0
		return byChunks, 0, nil
	}
	if len(lengths) == 0 {
		return byClose, 0, nil
	}
	for _, length := range lengths[1:] {
		if length != lengths[0] {
			return noBody, 0, errors.Wrap(errMalformed, "content length")
		}
	}
	length, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil {
		return noBody, 0, errors.Wrap(errMalformed, "content length")
	}
	return byLength, int64(length), nil
}

// body collects the body of a response. It allocates at most about twice the
// bytes that have arrived.
type body struct {
	buffer.Buffer
	conn *connection
	// limit is the maximum size of the body in bytes.
	limit int64
}

// readBody reads the whole body.
func (c *connection) readBody(method string, parsed *head, limit int64) ([]byte, error) {
	kind, length, err := framingOf(method, parsed)
	if err != nil {
		return nil, err
	}
	collected := body{Buffer: buffer.Buffer{Budget: c.budget}, conn: c, limit: limit}
	defer collected.Free()
	switch kind {
	case byLength:
		err = collected.read(length)
	case byChunks:
		err = collected.readChunks()
	case byClose:
		parsed.closes = true
		err = collected.readAll()
	case noBody:
	}
	if err != nil {
		return nil, err
	}
	return collected.Bytes, nil
}

// read appends count bytes of the connection to the body.
func (b *body) read(count int64) error {
	if count > b.limit-int64(len(b.Bytes)) {
		return errBodyTooLarge
	}
	for count > 0 {
		piece := min(count, max(initialAlloc, int64(len(b.Bytes))))
		if err := b.Grow(piece, b.limit); err != nil {
			return err
		}
		begin := len(b.Bytes)
		b.Bytes = b.Bytes[:begin+int(piece)]
		if _, err := io.ReadFull(b.conn.reader, b.Bytes[begin:]); err != nil {
			return unexpectedEOF(err)
		}
		count -= piece
	}
	return nil
}

// readAll reads the body until the peer closes the connection.
func (b *body) readAll() error {
	if err := b.ReadAll(io.LimitReader(b.conn.reader, b.limit+1), initialAlloc); err != nil {
		return err
	}
	if int64(len(b.Bytes)) > b.limit {
		return errBodyTooLarge
	}
	return nil
}

// readChunks reads the chunks and the trailer.
func (b *body) readChunks() error {
	extensions := 0
	for count := 1; ; count++ {
		line, err := b.conn.readChunkLine()
		if err != nil {
			return err
		}
		digits, extension, _ := strings.Cut(line, ";")
		if extensions += len(extension); extensions > maxExtensionBytes {
			return errHeadTooLarge
		}
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 63)
		if err != nil {
			return errors.Wrap(errMalformed, "chunk size")
		}
		if size == 0 {
			_, err := b.conn.readLines()
			return unexpectedEOF(err)
		}
		if err := b.read(int64(size)); err != nil {
			return err
		}
		if count > uncheckedChunks && len(b.Bytes) < (count-uncheckedChunks)*minMeanChunk {
			return errSmallChunks
		}
		if line, err := b.conn.readChunkLine(); err != nil || line != "" {
			return errors.Wrap(errMalformed, "end of chunk")
		}
	}
}

// readChunkLine reads one line and returns it without its line ending.
func (c *connection) readChunkLine() (string, error) {
	line, err := c.reader.ReadSlice('\n')
	if len(line) > maxChunkLineBytes {
		return "", errHeadTooLarge
	}
	if err != nil {
		return "", unexpectedEOF(err)
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, so that a truncated body
// isn't mistaken for a complete one.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
