package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// otherWriter: a route is added. Another writer writes one entry under the key of each
// server of its service, with a service that isn't named in the configuration. Each
// server writes its own entry again within a heartbeat. Afterwards the route has to be
// served.
func otherWriter(trouble bool) bool {
	must(freePorts())
	kv := newStore()
	storeAddress := network + ".2:8102"
	serve(storeAddress, kv)
	go kv.expire()
	startServers(kv, "fiwu23c", 5, 20*time.Millisecond)
	targets := startServers(kv, "nyka74d", 4, 20*time.Millisecond)
	record.logf("operator: version 7 acknowledged at revision %d", kv.put("op/config", singleRoute(7)))
	addFronts(layout)
	for _, f := range fronts {
		f.start(storeAddress, true)
	}
	go balance()
	time.Sleep(10 * time.Second)
	first := &clients{method: http.MethodGet, host: hostName, path: "/baxa442/", deadline: 3 * time.Second}
	later := &clients{method: http.MethodPost, host: hostName, path: "/gepu38/", body: "one", deadline: 3 * time.Second}
	var loads sync.WaitGroup
	loads.Go(func() { first.run(47*time.Second, 100*time.Millisecond) })
	time.Sleep(2 * time.Second)
	record.logf("operator: version 9 acknowledged at revision %d", kv.put("op/config", laterRoute(9)))
	time.Sleep(4 * time.Second)
	loads.Go(func() { later.run(41*time.Second, 100*time.Millisecond) })
	time.Sleep(5 * time.Second)
	if trouble {
		for i, s := range targets {
			revision := kv.put("servers/"+s.id, map[string]any{
				"Service": "qosu17x", "Address": fmt.Sprintf("%s.%d:8120", network, 240+i), "Zone": s.zone, "Version": "v1", "Slots": 4,
				"State": "ready", "WarmupLeftMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
			})
			record.logf("another writer wrote servers/%s at revision %d", s.id, revision)
		}
	}
	begin := time.Now()
	time.Sleep(2 * heartbeat)
	for _, s := range targets {
		items, _ := kv.state(0)
		record.logf("the store holds for %s the entry of revision %d", s.id, items["servers/"+s.id].Revision)
	}
	// The steady state begins once the disruption has been over for longer than ContactMs.
	steady := begin.Add(6 * time.Second)
	end := steady.Add(28 * time.Second)
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
