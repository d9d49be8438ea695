package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// queueLength is how many requests a server queues beyond its slots.
const queueLength = 12

// recordBytes is the size of a record.
const recordBytes = 16

// server is a stand-in for a backend server. It runs as many requests at a time as it has
// slots, queues some more, and drops a request when its connection closes.
type server struct {
	world   *world
	id      string
	service string
	zone    string
	address string
	slots   int
	// work is how long a request takes.
	work time.Duration
	// records is the number of records of an answer; zero for an answer in words.
	records int
	// quiet leaves all but the runs of requests out of the record.
	quiet    bool
	born     int64
	sequence atomic.Int64

	http    *http.Server
	free    chan struct{}
	running atomic.Int64
	waiting atomic.Int64

	mutex    sync.Mutex
	arrivals []arrival
	draining bool
	beatEnd  context.CancelFunc
}

// arrival is a request that reached a server.
type arrival struct {
	request string
	at      time.Time
}

// registration is the entry of a server in the store.
type registration struct {
	Service, Address, Zone, Version string
	Slots                           int
	State                           string
	WarmupLeftMs                    int64
	Sequence                        int64
	Born                            int64 `json:"born"`
}

// newServer starts a server at a free port and registers it.
func newServer(w *world, id, service, zone string, slots int, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", w.ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		world: w, id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, work: work,
		born: time.Now().UnixMilli(), free: make(chan struct{}, slots),
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 15 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.beatEnd = cancel
	s.register("ready")
	go s.beat(ctx)
	return s, nil
}

// register writes the entry of the server, and returns when the store has accepted it.
func (s *server) register(state string) time.Time {
	return s.world.store.put("servers/"+s.id, registration{
		Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", Slots: s.slots, State: state,
		Sequence: s.sequence.Add(1), Born: s.born,
	})
}

// beat writes the entry every heartbeat interval.
func (s *server) beat(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
			s.mutex.Lock()
			state := "ready"
			if s.draining {
				state = "draining"
			}
			s.register(state)
			s.mutex.Unlock()
		}
	}
}

// drain reports that the server is draining, and returns when the store has accepted that.
func (s *server) drain() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	return s.register("draining")
}

// exit ends the server: its connections close, and its entry is removed.
func (s *server) exit() {
	s.beatEnd()
	_ = s.http.Close()
	s.world.store.remove("servers/" + s.id)
}

// arrivalsAfter returns the requests that reached the server after the time.
func (s *server) arrivalsAfter(after time.Time) []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var late []arrival
	for _, one := range s.arrivals {
		if one.at.After(after) {
			late = append(late, one)
		}
	}
	return late
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	header := writer.Header()
	header.Set("Request-Id", id)
	header.Set("Keep-Alive", "timeout=15")
	if target := request.Header.Get("Target-Instance"); target != "" && target != s.id {
		header.Set("Instance-Id", s.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	s.mutex.Unlock()
	if !s.quiet {
		s.world.record.add("%s reaches server %s: %s %s, %d bytes", id, s.id, request.Method, request.URL.RequestURI(), len(body))
	}
	deadline := 30 * time.Second
	if left, err := strconv.Atoi(request.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(left) * time.Millisecond
	}
	expired := time.After(deadline)
	if !s.takeSlot(request.Context(), expired) {
		s.setLoad(header)
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.free }()
	s.running.Add(1)
	defer s.running.Add(-1)
	s.world.record.add("%s runs on server %s", id, s.id)
	status := http.StatusOK
	select {
	case <-time.After(s.work):
	case <-expired:
		status = http.StatusGatewayTimeout
	case <-request.Context().Done():
		s.world.record.add("%s is dropped by server %s: its connection closed", id, s.id)
		return
	}
	s.setLoad(header)
	header.Set("Server-Stamp", fmt.Sprintf("%s.%s", s.id, id))
	writer.WriteHeader(status)
	_, _ = writer.Write(s.body(id))
	if !s.quiet {
		s.world.record.add("%s is answered %d by server %s", id, status, s.id)
	}
}

// body returns the body of the answer to the request.
func (s *server) body(id string) []byte {
	if s.records == 0 {
		return []byte("done by " + s.id + " for " + id + "\n")
	}
	content := make([]byte, recordBytes*s.records)
	_, _ = rand.Read(content)
	return content
}

// takeSlot waits for a slot. It returns false if the queue is full, or if the request ends
// before.
func (s *server) takeSlot(ctx context.Context, expired <-chan time.Time) bool {
	select {
	case s.free <- struct{}{}:
		return true
	default:
	}
	if s.waiting.Add(1) > queueLength {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.free <- struct{}{}:
		return true
	case <-expired:
		return false
	case <-ctx.Done():
		return false
	}
}

func (s *server) setLoad(header http.Header) {
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots))
}
