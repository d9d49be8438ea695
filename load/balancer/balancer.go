// Package balancer spreads requests over entry hosts, as the platform's load
// balancer does.
package balancer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks/transport/callerclient"
)

const (
	// probeInterval is the time between two probes of one host.
	probeInterval = 100 * time.Millisecond
	// probeTimeout is when a host that doesn't answer a probe is removed.
	probeTimeout = 500 * time.Millisecond
)

// Host is an entry host.
type Host struct {
	*callerclient.Client
	// ready is guarded by the mutex of the balancer.
	ready bool
}

// Balancer takes hosts in turn and leaves out those that aren't ready. It is
// safe for concurrent use.
type Balancer struct {
	hosts []*Host

	mu   sync.Mutex
	next int
	// changed is closed and replaced when the readiness of a host changes.
	changed chan struct{}
}

// New returns a balancer for hosts with the given base URLs. No host is used
// before Run has found it ready.
func New(bases []string, client *http.Client) *Balancer {
	b := &Balancer{changed: make(chan struct{})}
	for _, base := range bases {
		b.hosts = append(b.hosts, &Host{Client: &callerclient.Client{Base: base, HTTP: client}})
	}
	return b
}

// Hosts returns all hosts, ready or not.
func (b *Balancer) Hosts() []*Host { return b.hosts }

// Run probes the hosts until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	var probes sync.WaitGroup
	for _, host := range b.hosts {
		probes.Go(func() { b.probe(ctx, host) })
	}
	probes.Wait()
}

func (b *Balancer) probe(ctx context.Context, host *Host) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		ready := host.Ready(probe)
		cancel()
		b.set(host, ready)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balancer) set(host *Host, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if host.ready == ready {
		return
	}
	host.ready = ready
	close(b.changed)
	b.changed = make(chan struct{})
}

// Remove takes a host out of use until a probe finds it ready again.
func (b *Balancer) Remove(host *Host) { b.set(host, false) }

// Pick returns the next host that is ready, or false if none is.
func (b *Balancer) Pick() (*Host, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.hosts {
		host := b.hosts[b.next]
		b.next = (b.next + 1) % len(b.hosts)
		if host.ready {
			return host, true
		}
	}
	return nil, false
}

// WaitReady waits until all hosts are ready. Run must be running.
func (b *Balancer) WaitReady(ctx context.Context) error {
	for {
		missing, changed := b.missing()
		if missing == "" {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s to become ready", missing)
		}
	}
}

// missing returns a host that isn't ready, and a channel that is closed at the
// next change.
func (b *Balancer) missing() (string, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, host := range b.hosts {
		if !host.ready {
			return host.Base, b.changed
		}
	}
	return "", b.changed
}
