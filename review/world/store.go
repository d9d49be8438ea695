package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWait is the longest wait of a watch, and maxPage the number of items of a page.
const (
	maxWait = 30 * time.Second
	maxPage = 500
)

// item is a key of the store, or the tombstone of one.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	Created   uint64 `json:",omitempty"`
	Lease     uint64
	Tombstone bool `json:",omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	address string

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

// newStore starts a store at a free port of the loopback address.
func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /ebonyworks/kv-key", s.serveKey)
	routes.HandleFunc("GET /ebonyworks/kv-range", s.serveRange)
	routes.HandleFunc("GET /ebonyworks/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(listener, routes) }()
	return s, nil
}

// put writes a key and returns when the store has accepted it.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	created := s.revision
	if before, found := s.items[key]; found {
		created = before.Created
	}
	written := item{Key: key, Value: encoded, Revision: s.revision, Created: created}
	s.items[key] = written
	s.publish(written)
	return time.Now()
}

// remove removes a key and returns when the store has accepted that.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Tombstone: true})
	return time.Now()
}

// publish adds an event to the history. The mutex is held.
func (s *store) publish(event item) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	found, ok := s.items[request.URL.Query().Get("Key")]
	asOf := s.revision
	s.mutex.Unlock()
	if !ok {
		reply(writer, http.StatusNotFound, map[string]any{"AsOf": asOf})
		return
	}
	reply(writer, http.StatusOK, struct {
		item
		AsOf uint64
	}{found, asOf})
}

func (s *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("Prefix"), request.URL.Query().Get("after")
	s.mutex.Lock()
	page := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, found)
		}
	}
	asOf := s.revision
	s.mutex.Unlock()
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(page) > maxPage
	reply(writer, http.StatusOK, map[string]any{"items": page[:min(len(page), maxPage)], "HasMore": hasMore, "AsOf": asOf})
}

func (s *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	end := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	for {
		s.mutex.Lock()
		events := []item{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("Prefix")) {
				events = append(events, event)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(writer, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}
