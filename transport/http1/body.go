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
	// firstPiece is the size in bytes up to which memory is taken before the bytes
	// arrive. A server that announces more than it sends doesn't get the rest.
	firstPiece = 16 << 10
	// maxChunkLine bounds the line before a chunk, with its extensions, and
	// maxExtensions those of one response together.
	maxChunkLine  = 256
	maxExtensions = 16 << 10
	// freeChunks may have any size. Further ones have meanChunk bytes on average:
	// the work for a chunk doesn't depend on its size.
	freeChunks = 4 << 10
	meanChunk  = 64
)

var (
	errBodyTooLarge = errors.New("response body is too large")
	errSmallChunks  = errors.New("response has too many small chunks")
)

// framing tells where the body of a response ends.
type framing int

const (
	noBody framing = iota
	byLength
	byChunks
	byClose
)

// framingOf returns the framing of the body, and its length if that says so.
func framingOf(method string, parsed *head) (framing, int64, error) {
	if method == http.MethodHead || parsed.status < http.StatusOK || parsed.status == http.StatusNoContent || parsed.status == http.StatusNotModified {
		return noBody, 0, nil
	}
	lengths := parsed.header["Content-Length"]
	if codings := parsed.header["Transfer-Encoding"]; len(codings) > 0 {
		if parsed.old || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return noBody, 0, errors.Wrap(errMalformed, "transfer encoding")
		}
		// Two lengths are a sign of a response that was tampered with.
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

// body collects the body of a response. It takes memory only for bytes that
// have arrived, or for about as many.
type body struct {
	buffer.Buffer
	conn *connection
	// limit is the largest size in bytes.
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

// read reads that many more bytes.
func (b *body) read(count int64) error {
	if count > b.limit-int64(len(b.Bytes)) {
		return errBodyTooLarge
	}
	for count > 0 {
		piece := min(count, max(firstPiece, int64(len(b.Bytes))))
		if err := b.Grow(piece, b.limit); err != nil {
			return err
		}
		begin := len(b.Bytes)
		b.Bytes = b.Bytes[:begin+int(piece)]
		if _, err := io.ReadFull(b.conn.reader, b.Bytes[begin:]); err != nil {
			return cutShort(err)
		}
		count -= piece
	}
	return nil
}

// readAll reads up to the end of the connection.
func (b *body) readAll() error {
	if err := b.ReadAll(io.LimitReader(b.conn.reader, b.limit+1), firstPiece); err != nil {
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
		if extensions += len(extension); extensions > maxExtensions {
			return errHeadTooLarge
		}
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 63)
		if err != nil {
			return errors.Wrap(errMalformed, "chunk size")
		}
		if size == 0 {
			_, err := b.conn.readLines()
			return cutShort(err)
		}
		if err := b.read(int64(size)); err != nil {
			return err
		}
		if count > freeChunks && len(b.Bytes) < (count-freeChunks)*meanChunk {
			return errSmallChunks
		}
		if line, err := b.conn.readChunkLine(); err != nil || line != "" {
			return errors.Wrap(errMalformed, "end of chunk")
		}
	}
}

// readChunkLine reads one line without its end.
func (c *connection) readChunkLine() (string, error) {
	line, err := c.reader.ReadSlice('\n')
	if len(line) > maxChunkLine {
		return "", errHeadTooLarge
	}
	if err != nil {
		return "", cutShort(err)
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// cutShort turns the end of the connection into an error that isn't taken for
// the end of the body.
func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
