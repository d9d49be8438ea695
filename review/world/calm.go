package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Figures of the case of the calm host.
const (
	applyTime = 3 * time.Second
	// rounds is how often the hosts are cut off at most. Before each cut, all run undisturbed
	// for settleTime.
	rounds      = 3
	settleTime  = 10 * time.Second
	cutTime     = 6500 * time.Millisecond
	lookupWork  = 3 * time.Millisecond
	lookupPause = 20 * time.Millisecond
	lookupTime  = time.Second
	// calmHost is the only host that isn't cut off: the third of its zone in the order in
	// which hosts read the store.
	calmHost = "front-sapporo-2"
)

// layout is that of kitakaze-search: the zone of each host.
var layout = [][2]string{
	{"front-sapporo-1", "sapporo"}, {"front-sapporo-3", "sapporo"}, {calmHost, "sapporo"},
	{"front-asahikawa-1", "asahikawa"}, {"front-asahikawa-2", "asahikawa"}, {"front-asahikawa-3", "asahikawa"},
	{"front-hakodate-1", "hakodate"}, {"front-kushiro-1", "kushiro"},
}

// calmConfig returns the version in which the route goes to the service.
func calmConfig(version int, service string) configuration {
	return configuration{
		Version: version,
		Routes: []route{{
			Name: "r-lookup", Host: host, Prefix: "/lookup/", RouteKind: "idempotent",
			TimeoutMs: int(lookupTime.Milliseconds()), TargetLatencyMs: 400, Service: service, MaxAttempts: 2,
		}},
		Services: []serviceConfig{
			{Name: "old", HealthPath: "/health", MaxConns: 110, Protocol: "h1"},
			{Name: "new", HealthPath: "/health", MaxConns: 110, Protocol: "h1"},
		},
		Limits: defaultLimits,
	}
}

// calmHostCase: all hosts but one are cut off from the store when a version moves the route
// to another service. The one that isn't cut off has to obey it within ConfigApplyMs.
func calmHostCase(w *world, folder string) (int, error) {
	w.store.put("op/config", calmConfig(1, "old"))
	for _, service := range []string{"old", "new"} {
		s, err := newServer(w, "i-"+service, service, "sapporo", 6, lookupWork)
		if err != nil {
			return notRun, err
		}
		s.quiet = true
	}
	calm, cut, err := startLayout(w, folder)
	if err != nil {
		return notRun, err
	}
	services := [2]string{"old", "new"}
	for round := range rounds {
		time.Sleep(settleTime)
		if w.trouble {
			for _, p := range cut {
				p.setCut(true)
			}
			w.record.add("all hosts but %s are cut off from the store", calmHost)
		}
		before, next := services[round%2], services[(round+1)%2]
		accepted := w.store.put("op/config", calmConfig(round+2, next))
		w.record.add("version %d moves the route from service %s to service %s; the store has accepted that", round+2, before, next)
		late := lookUp(w, calm, accepted, "i-"+before)
		for _, p := range cut {
			p.setCut(false)
		}
		w.record.add("%d requests were handled as only version %d allows, later than ConfigApplyMs", late, round+1)
		if late > 0 {
			return broken, nil
		}
	}
	return held, nil
}

// lookUp sends requests to the host while the others are cut off. It returns how many of them
// were sent later than ConfigApplyMs after the version was accepted, and run by the server of
// the version before.
func lookUp(w *world, calm *front, accepted time.Time, before string) int {
	c := newCaller(w, calm)
	late := 0
	for time.Since(accepted) < cutTime {
		sent := time.Now()
		got := c.send(http.MethodGet, "/lookup/2f", "", lookupTime)
		server, _, _ := strings.Cut(got.header.Get("Server-Stamp"), ".")
		if after := sent.Sub(accepted); after > applyTime+measurementError && server == before {
			late++
			w.record.add("CONFIG: %s was sent %.3f s after the version was accepted, and run by %s", got.id, after.Seconds(), server)
		}
		time.Sleep(lookupPause)
	}
	return late
}

// startLayout starts the hosts, each with a proxy in front of the store, and returns the calm
// one and the proxies of the others.
func startLayout(w *world, folder string) (calm *front, cut []*proxy, err error) {
	var seeds []string
	for i, one := range layout {
		p, err := newProxy(w.ip, w.store.address)
		if err != nil {
			return nil, nil, err
		}
		f, err := startFront(w, folder, frontOptions{name: one[0], zone: one[1], ip: hostIP(i + 1), cpuShare: "0.4", seeds: seeds, store: p.address})
		if err != nil {
			return nil, nil, fmt.Errorf("start %s: %w", one[0], err)
		}
		if len(seeds) < 2 {
			seeds = append(seeds, f.control)
		}
		if one[0] == calmHost {
			calm = f
		} else {
			cut = append(cut, p)
		}
	}
	return calm, cut, nil
}
