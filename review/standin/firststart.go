package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const hostName = "loba75.example"

// singleRoute returns a configuration with one route to one service.
func singleRoute(version uint64) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "r-1", "Host": hostName, "Prefix": "/baxa442/", "RouteKind": "idempotent", "TimeoutMs": 3000,
			"TargetLatencyMs": 500, "Priority": 2, "Service": "fiwu23c", "MaxAttempts": 2,
		}},
		"Services": []map[string]any{{"Name": "fiwu23c", "HealthPath": "/health", "MaxConns": 42, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// startServers starts the servers of the service.
func startServers(kv *store, service string, count int, work time.Duration) []*server {
	var started []*server
	for i := range count {
		s := &server{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zones[i%len(zones)],
			address: fmt.Sprintf("%s.%d:8120", network, nextServer()), slots: make(chan struct{}, 4), work: work,
			body: func(*http.Request, string) []byte { return bytes.Repeat([]byte("b"), 3000) },
		}
		s.start(kv)
		started = append(started, s)
		time.Sleep(heartbeat / time.Duration(count))
	}
	return started
}

// firstStart: the operator writes the first configuration shortly before the hosts
// start for the first time. A stale read of the key may be seconds old, and one of the
// servers is not. No request may remain unserved for that reason.
func firstStart(trouble bool) bool {
	must(freePorts())
	kv := newStore()
	if trouble {
		kv.staleKeyBy = 3 * time.Second
	}
	storeAddress := network + ".2:8102"
	serve(storeAddress, kv)
	startServers(kv, "fiwu23c", 5, 20*time.Millisecond)
	time.Sleep(4 * time.Second)
	revision := kv.put("op/config", singleRoute(7))
	record.logf("operator: version 7 acknowledged at revision %d", revision)
	time.Sleep(500 * time.Millisecond)
	addFronts(layout)
	started := time.Now()
	for _, f := range fronts {
		f.start(storeAddress, true)
	}
	go balance()
	time.Sleep(time.Until(started.Add(10 * time.Second)))
	record.logf("traffic starts")
	load := &clients{method: http.MethodGet, host: hostName, path: "/baxa442/", deadline: 3 * time.Second}
	load.run(20*time.Second, 50*time.Millisecond)
	served := 0
	for _, end := range load.ends {
		if end.status == http.StatusOK && end.stamp != "" {
			served++
		}
	}
	record.logf("requests: %d, served: %d", len(load.ends), served)
	fmt.Printf("requests: %d, served: %d\n", len(load.ends), served)
	if len(load.ends) < 100 {
		cantRun(fmt.Errorf("only %d requests were sent", len(load.ends)))
	}
	return served == 0
}
