package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode"
)

// caller sends requests to a front on connections that it keeps open.
type caller struct {
	world  *world
	client *http.Client
	front  *front
}

// answer is the end of one request. status is zero if the connection ended without an answer.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
}

var requests atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("q%05d", requests.Add(1)) }

func newCaller(w *world, f *front) *caller {
	return &caller{world: w, front: f, client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

// send sends one request and waits for its answer until the deadline.
func (c *caller) send(method, path, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.front.caller+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	// net/http sends a request again by itself if it could get its body again.
	request.GetBody = nil
	id := newID()
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.world.record.add("%s is sent to front %s: %s %s", id, c.front.name, method, path)
	response, err := c.client.Do(request)
	if err != nil {
		c.world.record.add("%s has no answer: %v", id, err)
		return answer{id: id}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		c.world.record.add("%s has an incomplete answer: %v", id, err)
		return answer{id: id}
	}
	c.world.record.add("%s is answered %d, %d bytes: %s", id, response.StatusCode, len(content), printable(content))
	return answer{id, response.StatusCode, response.Header, string(content)}
}

// printable returns the content if it is text, and nothing otherwise.
func printable(content []byte) string {
	text := strings.TrimSpace(string(content))
	for _, letter := range text {
		if !unicode.IsPrint(letter) {
			return ""
		}
	}
	return text
}
