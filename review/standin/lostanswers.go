package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// laterRoute returns the configuration with a second route, which isn't idempotent.
func laterRoute(version uint64) map[string]any {
	configuration := singleRoute(version)
	configuration["Routes"] = append(configuration["Routes"].([]map[string]any), map[string]any{
		"Name": "r-2", "Host": hostName, "Prefix": "/gepu38/", "RouteKind": "non_idempotent", "TimeoutMs": 3000,
		"TargetLatencyMs": 500, "Priority": 2, "Service": "nyka74d", "MaxAttempts": 1,
	})
	configuration["Services"] = append(configuration["Services"].([]map[string]any),
		map[string]any{"Name": "nyka74d", "HealthPath": "/health", "MaxConns": 42, "Protocol": "h1", "Tls": false})
	return configuration
}

// lostAnswers: a route is added on which callers send requests of the same content. In
// 5 s, two servers lose at most 8 % of their answers, of requests that follow each
// other. No server crashes. Afterwards the route has to be served.
func lostAnswers(trouble bool) bool {
	must(freePorts())
	kv := newStore()
	storeAddress := network + ".2:8102"
	serve(storeAddress, kv)
	go kv.expire()
	startServers(kv, "fiwu23c", 5, 20*time.Millisecond)
	var mutex sync.Mutex
	losing, runs, lostCount, lost, ranAt := false, 0, 0, map[string]int{}, map[string]int{}
	loses := func(s *server, request *http.Request) bool {
		mutex.Lock()
		defer mutex.Unlock()
		if !losing || !strings.HasPrefix(request.RequestURI, "/gepu38/") {
			return false
		}
		runs++
		ranAt[s.id]++
		// From the 110th run on, answers are lost until two servers have lost one.
		if runs < 110 || len(lost) >= 2 || lostCount >= 4 {
			return false
		}
		lost[s.id]++
		lostCount++
		return true
	}
	for _, s := range startServers(kv, "nyka74d", 4, 20*time.Millisecond) {
		s.loses = loses
	}
	record.logf("operator: version 7 acknowledged at revision %d", kv.put("op/config", singleRoute(7)))
	addFronts(layout)
	for _, f := range fronts {
		f.start(storeAddress, true)
	}
	go balance()
	time.Sleep(10 * time.Second)
	first := &clients{method: http.MethodGet, host: hostName, path: "/baxa442/", deadline: 3 * time.Second}
	later := &clients{method: http.MethodPost, host: hostName, path: "/gepu38/next", same: true, body: "one", deadline: 3 * time.Second}
	var loads sync.WaitGroup
	loads.Go(func() { first.run(72*time.Second, 100*time.Millisecond) })
	time.Sleep(2 * time.Second)
	record.logf("operator: version 9 acknowledged at revision %d", kv.put("op/config", laterRoute(9)))
	time.Sleep(4 * time.Second)
	loads.Go(func() { later.run(66*time.Second, 40*time.Millisecond) })
	time.Sleep(4 * time.Second)
	mutex.Lock()
	losing = trouble
	mutex.Unlock()
	record.logf("answers may be lost: %v", trouble)
	time.Sleep(5 * time.Second)
	mutex.Lock()
	losing = false
	total := lostCount
	record.logf("answers are no longer lost; run %v, lost %v", ranAt, lost)
	mutex.Unlock()
	// The servers that lost answers lost 8 % of those to the requests that they ran, or less.
	ran := 0
	for id := range lost {
		ran += ranAt[id]
	}
	if trouble && (len(lost) < 2 || total*100 > 8*ran) {
		cantRun(fmt.Errorf("lost %d answers of %d at %d servers", total, ran, len(lost)))
	}
	// The steady state begins once all machines are in touch again.
	steady := time.Now().Add(4 * time.Second)
	end := steady.Add(45 * time.Second)
	loads.Wait()
	firstServed, firstAll := first.served(steady, end)
	laterServed, laterAll := later.served(steady, end)
	summary := fmt.Sprintf("steady state: first route %d of %d served, later route %d of %d served", firstServed, firstAll, laterServed, laterAll)
	record.logf("%s", summary)
	fmt.Println(summary)
	if firstAll < 100 || laterAll < 100 || firstServed == 0 {
		cantRun(fmt.Errorf("too few requests"))
	}
	return 4*laterServed*firstAll < firstServed*laterAll
}
