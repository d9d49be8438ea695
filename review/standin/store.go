package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is one version of a key in the store, as it is sent.
type item struct {
	Key       string
	Value     string `json:",omitempty"`
	Revision  uint64
	Created   uint64 `json:",omitempty"`
	Lease     uint64
	Tombstone bool `json:",omitempty"`

	at time.Time
}

// store is a stand-in of the platform's store. It keeps all changes.
type store struct {
	// staleKeyBy and staleRangeBy are the ages of stale reads.
	staleKeyBy, staleRangeBy time.Duration
	// down is set while the store answers every call with 503.
	down atomic.Bool

	mutex   sync.Mutex
	log     []item
	changed chan struct{}
}

func newStore() *store { return &store{changed: make(chan struct{})} }

// put writes a key and returns the revision. The return is the acknowledgement.
func (s *store) put(key string, value any) uint64 {
	encoded, err := json.Marshal(value)
	must(err)
	return s.add(item{Key: key, Value: base64.StdEncoding.EncodeToString(encoded)})
}

func (s *store) remove(key string) uint64 { return s.add(item{Key: key, Tombstone: true}) }

func (s *store) add(added item) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	added.Revision = uint64(len(s.log)) + 1
	added.Created = added.Revision
	added.at = time.Now()
	s.log = append(s.log, added)
	close(s.changed)
	s.changed = make(chan struct{})
	return added.Revision
}

// expire removes the entries of servers that weren't written for three heartbeats, also
// while the store is down.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		items, _ := s.state(0)
		for key, found := range items {
			if strings.HasPrefix(key, "servers/") && time.Since(found.at) > 3*heartbeat {
				record.logf("store: entry %s expired", key)
				s.remove(key)
			}
		}
	}
}

// state returns the items as of the given age, and the revision.
func (s *store) state(age time.Duration) (map[string]item, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := make(map[string]item)
	before := time.Now().Add(-age)
	var asOf uint64
	for _, change := range s.log {
		if change.at.After(before) {
			break
		}
		asOf = change.Revision
		if change.Tombstone {
			delete(items, change.Key)
			continue
		}
		items[change.Key] = change
	}
	return items, asOf
}

func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeLatency)
	if s.down.Load() {
		answer(writer, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	query := request.URL.Query()
	stale := query.Get("StaleOk") == "1"
	switch request.URL.Path {
	case "/ebonyworks/kv-key":
		age := time.Duration(0)
		if stale {
			age = s.staleKeyBy
		}
		items, asOf := s.state(age)
		found, ok := items[query.Get("Key")]
		record.logf("store kv-key %s StaleOk=%v for %s: found=%v AsOf=%d", query.Get("Key"), stale, request.RemoteAddr, ok, asOf)
		if !ok {
			answer(writer, http.StatusNotFound, map[string]any{"AsOf": asOf})
			return
		}
		answer(writer, http.StatusOK, map[string]any{"Key": found.Key, "Value": found.Value, "Revision": found.Revision, "Created": found.Created, "Lease": 0, "AsOf": asOf})
	case "/ebonyworks/kv-range":
		age := time.Duration(0)
		if stale {
			age = s.staleRangeBy
		}
		items, asOf := s.state(age)
		var listed []item
		for key, found := range items {
			if strings.HasPrefix(key, query.Get("Prefix")) && key > query.Get("after") {
				listed = append(listed, found)
			}
		}
		sort.Slice(listed, func(i, j int) bool { return listed[i].Key < listed[j].Key })
		record.logf("store kv-range %s StaleOk=%v for %s: %d items AsOf=%d", query.Get("Prefix"), stale, request.RemoteAddr, len(listed), asOf)
		answer(writer, http.StatusOK, map[string]any{"items": listed, "HasMore": false, "AsOf": asOf})
	case "/ebonyworks/kv-watch":
		s.watch(writer, request)
	default:
		answer(writer, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mutex.Lock()
		changed := s.changed
		asOf := uint64(len(s.log))
		events := []item{}
		for _, change := range s.log {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("Prefix")) {
				events = append(events, change)
			}
		}
		s.mutex.Unlock()
		if s.down.Load() {
			answer(writer, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		if len(events) > 0 {
			answer(writer, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answer(writer, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func answer(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	must(err)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

// storeLatency is how long the store takes to answer.
const storeLatency = 4 * time.Millisecond

// serve listens at the address and serves the handler.
func serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	must(err)
	go func() { _ = http.Serve(listener, handler) }()
}

// setDown starts or ends an outage. Waiting watches are cut.
func (s *store) setDown(down bool) {
	if s.down.Swap(down) == down {
		return
	}
	record.logf("store down: %v", down)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
