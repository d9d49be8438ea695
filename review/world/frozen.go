package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of the frozen host.
const (
	shards        = 6
	shardWork     = 8 * time.Millisecond
	searchTarget  = 300 * time.Millisecond
	searchTimeout = 800 * time.Millisecond
	// patience is how long the callers wait, longer than the operator wants them to.
	patience       = 6 * time.Second
	searchInterval = 8 * time.Millisecond
	// The traffic starts trafficDelay after the hosts and lasts for trafficTime. The larger host
	// freezes freezeAfter its start.
	trafficDelay = 11 * time.Second
	trafficTime  = 8 * time.Second
	freezeAfter  = 2 * time.Second
	freezeTime   = 4 * time.Second
	// answerSlack is how long after the route's time-out the answer may come, and
	// minUnanswered the number of requests without one from which the rule is broken.
	answerSlack   = 500 * time.Millisecond
	minUnanswered = 8
)

// frozenHostCase: a host freezes while it runs the requests of a smaller host. The smaller
// host, which is in touch, has to answer them by the route's time-out.
func frozenHostCase(w *world, folder string) (int, error) {
	config := configuration{
		Version: 1,
		Routes: []route{{
			Name: "r-search", Host: host, Prefix: "/search/", RouteKind: "idempotent",
			TimeoutMs: int(searchTimeout.Milliseconds()), TargetLatencyMs: int(searchTarget.Milliseconds()),
			MaxAttempts: 2, TopK: 5, LowerBound: 0.8,
		}},
		Limits: defaultLimits,
	}
	for i := range shards {
		name := fmt.Sprintf("shard%d", i)
		config.Routes[0].Gather = append(config.Routes[0].Gather, name)
		config.Services = append(config.Services, serviceConfig{Name: name, HealthPath: "/health", MaxConns: 56, Protocol: "h1"})
		for j, zone := range []string{"heredia", "alajuela"} {
			s, err := newServer(w, fmt.Sprintf("i-%d-%d", i, j), name, zone, 2, shardWork)
			if err != nil {
				return notRun, err
			}
			s.records, s.quiet = 5, true
		}
	}
	w.store.put("op/config", config)
	large, err := startFront(w, folder, frontOptions{name: "front-large", zone: "heredia", ip: hostIP(1), cpuShare: "0.8"})
	if err != nil {
		return notRun, err
	}
	small, err := startFront(w, folder, frontOptions{name: "front-small", zone: "heredia", ip: hostIP(2), cpuShare: "0.2", seeds: []string{large.control}})
	if err != nil {
		return notRun, err
	}
	var running sync.WaitGroup
	var mutex sync.Mutex
	lasted := make(map[string]time.Duration)
	time.Sleep(trafficDelay)
	begin := time.Now()
	frozen := false
	for tick := range time.Tick(searchInterval) {
		if w.trouble && !frozen && tick.Sub(begin) > freezeAfter {
			frozen = true
			_ = large.command.Process.Signal(syscall.SIGSTOP)
			w.record.add("front %s freezes", large.name)
			time.AfterFunc(freezeTime, func() {
				w.record.add("front %s wakes again", large.name)
				_ = large.command.Process.Signal(syscall.SIGCONT)
			})
		}
		if tick.Sub(begin) > trafficTime {
			break
		}
		running.Go(func() {
			sent := time.Now()
			got := newCaller(w, small).send(http.MethodGet, "/search/2f", "", patience)
			mutex.Lock()
			defer mutex.Unlock()
			lasted[got.id] = time.Since(sent)
		})
	}
	running.Wait()
	long, unanswered := 0, 0
	for id, duration := range lasted {
		if duration > searchTimeout {
			long++
		}
		if duration > searchTimeout+answerSlack {
			unanswered++
			w.record.add("CONFIG: %s had no answer of the calm front for %.3f s", id, duration.Seconds())
		}
	}
	w.record.add("%d requests lasted longer than TimeoutMs, %d of them had no answer 0.5 s after it", long, unanswered)
	if unanswered >= minUnanswered && 4*unanswered > long {
		return broken, nil
	}
	return held, nil
}
