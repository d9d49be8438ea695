package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// Guards against panics on malformed input, and against responses that net/http
// parses differently.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.0 500 Error\nA: b\n\nabc",
		"HTTP/1.1 204 No Content\r\nA: b\r\nA: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &connection{reader: bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes)}
		response, _, err := conn.read(&Request{Method: http.MethodGet, MaxBody: 1 << 20})
		if err != nil {
			return
		}
		if len(response.Body) > 1<<20 {
			t.Fatal("body is larger than MaxBody")
		}
		//nolint:bodyclose // There is no connection.
		standard, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), &http.Request{Method: http.MethodGet})
		if err != nil {
			// net/http rejects some input that is accepted here, for example a length
			// with a trailing space. In all else, this parser is at least as strict.
			return
		}
		body, err := io.ReadAll(standard.Body)
		if err != nil {
			return
		}
		if standard.StatusCode != response.Status || !bytes.Equal(body, response.Body) {
			t.Fatalf("read as %d %q, and as %d %q by the standard library", response.Status, response.Body, standard.StatusCode, body)
		}
	})
}
