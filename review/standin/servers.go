package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which servers write their entries. An entry without a
// write for three intervals is removed.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in of a backend server.
type server struct {
	id, service, address, zone string
	slots                      chan struct{}
	work                       time.Duration
	body                       func(request *http.Request, id string) []byte
	// loses decides, once a request has run, whether its answer is lost with a reset.
	loses func(s *server, request *http.Request) bool

	mutex    sync.Mutex
	sequence uint64
	born     int64
	state    string
}

// start serves requests and writes the entry of the server until the process ends.
func (s *server) start(kv *store) {
	s.born = time.Now().UnixMilli()
	s.state = "ready"
	serve(s.address, s)
	go func() {
		for {
			s.mutex.Lock()
			s.sequence++
			entry := map[string]any{
				"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": cap(s.slots),
				"State": s.state, "WarmupLeftMs": 0, "Sequence": s.sequence, "born": s.born,
			}
			s.mutex.Unlock()
			if !kv.down.Load() {
				kv.put("servers/"+s.id, entry)
			}
			time.Sleep(heartbeat)
		}
	}()
}

func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	if request.Header.Get("Target-Instance") != s.id {
		writer.Header().Set("Instance-Id", s.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	select {
	case s.slots <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	record.logf("run %s at %s of %s: %s %s", id, s.id, s.service, request.Method, request.RequestURI)
	time.Sleep(s.work)
	if s.loses != nil && s.loses(s, request) {
		record.logf("answer of %s at %s is lost", id, s.id)
		panic(http.ErrAbortHandler)
	}
	body := s.body(request, id)
	writer.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s", s.id, id))
	writer.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), cap(s.slots)))
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body)
}

var serverCount int

// nextServer returns the last byte of the address of the next server.
func nextServer() int {
	serverCount++
	return 99 + serverCount
}
