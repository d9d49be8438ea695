package main

import (
	"fmt"
	"net/http"
	"time"
)

// restart: the store is down for 4.5 s, entries of servers lapse meanwhile and are back
// within 1.2 s of its return. Then all hosts are killed, and start again while stale
// reads are 6 s old. Without trouble the hosts are killed in the same way, but the store
// wasn't down.
func restart(trouble bool) bool {
	const (
		outage     = 4500 * time.Millisecond
		returned   = heartbeat + 200*time.Millisecond
		downtime   = 1500 * time.Millisecond
		seedsLater = 250 * time.Millisecond
		recovery   = 12 * time.Second
	)
	must(freePorts())
	kv := newStore()
	storeAddress := network + ".2:8102"
	serve(storeAddress, kv)
	go kv.expire()
	startServers(kv, "fiwu23c", 5, 20*time.Millisecond)
	record.logf("operator: version 7 acknowledged at revision %d", kv.put("op/config", singleRoute(7)))
	// No seed shares a zone with a host that starts before it, which it would follow.
	addFronts([]string{"heredia", "heredia", "cartago", "alajuela", "alajuela", "san-jose"})
	for _, f := range fronts {
		f.start(storeAddress, true)
	}
	go balance()
	time.Sleep(10 * time.Second)
	kv.staleKeyBy, kv.staleRangeBy = 6*time.Second, 6*time.Second
	record.logf("traffic starts; stale reads are 6 s old")
	load := &clients{method: http.MethodGet, host: hostName, path: "/baxa442/", deadline: 3 * time.Second}
	begin := time.Now()
	ended := make(chan struct{})
	go func() {
		load.run(45*time.Second, 50*time.Millisecond)
		close(ended)
	}()
	time.Sleep(8 * time.Second)
	if trouble {
		kv.setDown(true)
	}
	time.Sleep(outage)
	kv.setDown(false)
	time.Sleep(returned)
	killed := time.Now()
	killFronts()
	time.Sleep(downtime)
	for _, f := range fronts[3:] {
		f.start(storeAddress, false)
	}
	time.Sleep(seedsLater)
	for _, f := range fronts[:3] {
		f.start(storeAddress, false)
	}
	back := time.Now()
	<-ended
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, end := range load.ends {
		served := 0
		if end.status == http.StatusOK && end.stamp != "" {
			served = 1
		}
		switch {
		case end.sent.After(begin) && end.sent.Before(killed.Add(-3*time.Second)):
			before++
			servedBefore += served
		case end.sent.After(back.Add(recovery)):
			after++
			servedAfter += served
		}
	}
	summary := fmt.Sprintf("before the kill: %d of %d served; later than 12 s after the machines were back: %d of %d served", servedBefore, before, servedAfter, after)
	record.logf("%s", summary)
	fmt.Println(summary)
	if before < 100 || after < 100 || 4*servedBefore < before {
		cantRun(fmt.Errorf("too few requests, or not served before"))
	}
	return 4*servedAfter < after
}
