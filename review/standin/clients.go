package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is the end of one request of a client.
type outcome struct {
	id, front  string
	sent       time.Time
	status     int
	stamp      string
	err        error
	retryAfter time.Duration
}

// clients sends requests at a rate and collects the ends of their last attempts.
type clients struct {
	method, host, path string
	body               string
	deadline           time.Duration
	// same is set if all requests have the same path.
	same bool

	number atomic.Int64
	mutex  sync.Mutex
	ends   []outcome
	wait   sync.WaitGroup
}

var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second}}

// run sends requests until the time has passed, and waits for their ends.
func (c *clients) run(length, interval time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.request()
		}()
		time.Sleep(interval)
	}
	c.wait.Wait()
}

// request sends one request, and once again if it failed and may be repeated.
func (c *clients) request() {
	begin := time.Now()
	last := c.attempt(pick(), c.deadline)
	if last.status/100 != 2 && c.method == http.MethodGet {
		time.Sleep(min(last.retryAfter, c.deadline/3))
		if left := c.deadline - time.Since(begin); left > 10*time.Millisecond {
			last = c.attempt(pick(), left)
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ends = append(c.ends, last)
}

func (c *clients) attempt(to *front, left time.Duration) outcome {
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), c.number.Add(1))
	result := outcome{id: id, front: to.name, sent: time.Now()}
	path := c.path
	if !c.same {
		path += id
	}
	request, err := http.NewRequest(c.method, "http://"+to.caller()+path, strings.NewReader(c.body))
	must(err)
	request.Host = c.host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	client := *callerClient
	client.Timeout = left
	response, err := client.Do(request)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		result.status, result.stamp = response.StatusCode, response.Header.Get("Server-Stamp")
		if seconds, bad := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); bad == nil {
			result.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	result.err = err
	record.logf("request %s to %s: status %d stamp %q error %v", id, to.name, result.status, result.stamp, err)
	return result
}

// served returns how many of the requests that were sent in the span were served, and
// how many were sent.
func (c *clients) served(begin, end time.Time) (served, all int) {
	for _, last := range c.ends {
		if last.sent.Before(begin) || last.sent.After(end) {
			continue
		}
		all++
		if last.status == http.StatusOK && last.stamp != "" {
			served++
		}
	}
	return served, all
}
