package main

import (
	"net/http"
	"sync"
	"time"
)

// Figures of the case of the draining server.
const (
	drainTime = 3 * time.Second
	// drainExtra is how much longer the draining server serves before it exits.
	drainExtra = 2 * time.Second
	// callers is the number of callers. Each sends its next request when it has the answer to
	// the one before.
	callers       = 56
	callerTimeout = 15 * time.Second
	reserveWork   = 600 * time.Millisecond
	// measurementError allows for the delay between an event and its record.
	measurementError = 100 * time.Millisecond
)

// drainCase: one of the two servers of a reservation desk is taken away while callers wait
// for their turn. No request may reach it later than DrainMs after the store has accepted
// its report.
func drainCase(w *world, folder string) (int, error) {
	w.store.put("op/config", configuration{
		Version:  1,
		Routes:   []route{{Name: "r-reserve", Host: host, Prefix: "/reserve/", RouteKind: "non_idempotent", TimeoutMs: int(callerTimeout.Milliseconds()), TargetLatencyMs: 500, Service: "desk", MaxAttempts: 2}},
		Services: []serviceConfig{{Name: "desk", HealthPath: "/health", MaxConns: 42, Protocol: "h1"}},
		Limits:   defaultLimits,
	})
	stays, err := newServer(w, "i-stays", "desk", "heredia", 2, reserveWork)
	if err != nil {
		return notRun, err
	}
	leaves, err := newServer(w, "i-leaves", "desk", "heredia", 2, reserveWork)
	if err != nil {
		return notRun, err
	}
	f, err := startFront(w, folder, frontOptions{name: "front-1", zone: "heredia", ip: hostIP(1), cpuShare: "0.4"})
	if err != nil {
		return notRun, err
	}
	end := time.Now().Add(18 * time.Second)
	var running sync.WaitGroup
	var mutex sync.Mutex
	answers := make(map[string]int)
	for range callers {
		running.Go(func() {
			c := newCaller(w, f)
			for time.Now().Before(end) {
				got := c.send(http.MethodPost, "/reserve/2f", "bundle", callerTimeout)
				mutex.Lock()
				answers[got.id] = got.status
				mutex.Unlock()
				if got.status != http.StatusOK {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	var accepted time.Time
	if w.trouble {
		accepted = leaves.drain()
		w.record.add("server %s reports draining; the store has accepted that", leaves.id)
		time.Sleep(drainTime + drainExtra)
		w.record.add("server %s exits", leaves.id)
		leaves.exit()
	}
	running.Wait()
	w.record.add("%d requests reached server %s", len(stays.arrivalsAfter(time.Time{})), stays.id)
	if !w.trouble {
		return held, nil
	}
	late := leaves.arrivalsAfter(accepted.Add(drainTime + measurementError))
	for _, one := range late {
		w.record.add("DRAIN: %s reached server %s %.3f s after the store had accepted that it drains; answered %d",
			one.request, leaves.id, one.at.Sub(accepted).Seconds(), answers[one.request])
	}
	w.record.add("%d requests reached the draining server later than DrainMs", len(late))
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}
