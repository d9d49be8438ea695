package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks/state/buffer"
	"github.com/ebonyworks/ebonyworks/transport/httpstatus"
)

const (
	// MaxHeadBytes bounds the status line and the header of a response, and each
	// trailer, in bytes.
	MaxHeadBytes = 64 << 10
	// MaxHeadLines bounds the lines of a head, because each header field takes far
	// more memory than its bytes.
	MaxHeadLines = 256
	// maxInterim bounds the interim (1xx) responses before the final one.
	maxInterim = 8
)

var (
	errHeadTooLarge = errors.New("response head is too large")
	errMalformed    = errors.New("malformed response")
)

// head is the parsed status line and header of a response.
type head struct {
	status int
	header http.Header
	// closes is set if the connection can't be reused after the response.
	closes bool
	// http10 is set for HTTP/1.0, which has no transfer codings.
	http10 bool
}

// readHead reads the status line and the header.
func (c *connection) readHead() (head, error) {
	raw, err := c.readLines()
	if err != nil {
		return head{}, err
	}
	return parseHead(raw)
}

// readLines reads up to an empty line and returns the lines before it.
func (c *connection) readLines() (string, error) {
	c.lines = c.lines[:0]
	begin, count := 0, 0
	for {
		piece, err := c.reader.ReadSlice('\n')
		if len(c.lines)+len(piece) > MaxHeadBytes || count > MaxHeadLines {
			return "", errHeadTooLarge
		}
		if len(c.lines)+len(piece) > readBufferBytes && !c.reserveHead() {
			return "", buffer.ErrNoMemory
		}
		c.lines = append(c.lines, piece...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", err
		}
		if len(bytes.TrimRight(c.lines[begin:], "\r\n")) == 0 {
			return string(c.lines[:begin]), nil
		}
		begin = len(c.lines)
		count++
	}
}

// reserveHead reserves the memory of a large head for the rest of the exchange: that of
// the lines, which are copied once. It returns false if the budget is exhausted.
func (c *connection) reserveHead() bool {
	if c.budget == nil || c.headReserved {
		return true
	}
	c.headReserved = c.budget.TakeLarge(2 * MaxHeadBytes)
	return c.headReserved
}

// releaseHead frees the memory of a large head. The connection may be kept.
func (c *connection) releaseHead() {
	if c.headReserved {
		c.budget.Return(2 * MaxHeadBytes)
		c.headReserved = false
	}
	if cap(c.lines) > readBufferBytes {
		c.lines = nil
	}
}

// parseHead parses the lines of a head.
func parseHead(raw string) (head, error) {
	first, rest, _ := strings.Cut(raw, "\n")
	parsed := head{}
	version, after, _ := strings.Cut(strings.TrimRight(first, "\r"), " ")
	code, _, _ := strings.Cut(after, " ")
	status, valid := httpstatus.Parse(code)
	if !valid || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return head{}, errors.Wrap(errMalformed, "status line")
	}
	parsed.status = status
	header, err := parseFields(rest)
	if err != nil {
		return head{}, err
	}
	parsed.header = header
	parsed.http10 = version == "HTTP/1.0"
	parsed.closes = parsed.http10 || hasToken(parsed.header["Connection"], "close")
	return parsed, nil
}

// parseFields parses header lines. Continuation lines are rejected, because they
// are obsolete.
func parseFields(raw string) (http.Header, error) {
	count := strings.Count(raw, "\n")
	header := make(http.Header, count)
	// One array holds the values of all fields to save allocations; a repeated field
	// gets a slice of its own.
	values := make([]string, 0, count)
	for len(raw) > 0 {
		var line string
		line, raw, _ = strings.Cut(raw, "\n")
		name, value, found := strings.Cut(strings.TrimRight(line, "\r"), ":")
		if !found || !isToken(name) {
			return nil, errors.Wrap(errMalformed, "header line")
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		value = textproto.TrimString(value)
		if known := header[key]; known != nil {
			header[key] = append(known, value)
			continue
		}
		values = append(values, value)
		header[key] = values[len(values)-1 : len(values) : len(values)]
	}
	return header, nil
}

// isToken reports whether the name is a token as RFC 9110 defines it for field
// names.
func isToken(name string) bool {
	const others = "!#$%&'*+-.^_`|~"
	for _, char := range []byte(name) {
		isAlphanumeric := char >= '0' && char <= '9' || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		if !isAlphanumeric && strings.IndexByte(others, char) < 0 {
			return false
		}
	}
	return name != ""
}

// hasToken reports whether one of the comma-separated lists contains the token.
func hasToken(values []string, token string) bool {
	for _, value := range values {
		for _, field := range strings.Split(value, ",") {
			if strings.EqualFold(textproto.TrimString(field), token) {
				return true
			}
		}
	}
	return false
}
