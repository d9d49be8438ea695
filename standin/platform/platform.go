package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

const (
	defaultCallsPerSecond = 2000
	defaultReplicas       = 3
	// maxWait bounds the wait of a watch.
	maxWait = time.Minute
	// hostsKey holds the host list. A slash at the start keeps it apart from
	// the keys of values.
	hostsKey ebonyworks.ConfigurationKey = "/hosts"
)

// Options configure a stand-in platform. Zero fields take their defaults.
type Options struct {
	// Replicas is the number of replicas of the configuration service, 3 by
	// default. Each call is served by one chosen at random.
	Replicas int
	// ReplicaLag is how long a write takes to reach the last replica; the
	// first has no lag, the others have equal steps.
	ReplicaLag time.Duration
	// HostLag is how long a change takes to appear in the host list.
	HostLag time.Duration
	// Latency is the time that each call takes.
	Latency time.Duration
	// CallsPerSecond is the limit beyond which calls are refused, 2,000 by default.
	CallsPerSecond int
	// Seed makes the choice of replicas repeatable.
	Seed uint64
}

// Outage is a kind of failure of the configuration service.
type Outage string

const (
	// NoOutage is normal operation.
	NoOutage Outage = ""
	// Unavailable refuses all calls.
	Unavailable Outage = "unavailable"
	// Hanging accepts calls and doesn't answer them.
	Hanging Outage = "hanging"
	// Closing closes the connection of each call.
	Closing Outage = "closing"
)

// Platform is a stand-in platform. It serves the public interface as an
// http.Handler; Admin serves the interface of tests.
type Platform struct {
	options Options
	store   *store
	calls   meter

	mu     sync.Mutex
	random *rand.Rand
	outage Outage
	// since is when each stale replica stopped taking writes; a zero time
	// means that the replica isn't stale.
	since []time.Time
	// switched is closed and replaced when a replica becomes stale or fresh.
	switched chan struct{}
}

// New returns a platform without values and with an empty host list.
func New(options Options) *Platform {
	if options.Replicas <= 0 {
		options.Replicas = defaultReplicas
	}
	if options.CallsPerSecond <= 0 {
		options.CallsPerSecond = defaultCallsPerSecond
	}
	return &Platform{
		options:  options,
		store:    newStore(),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		since:    make([]time.Time, options.Replicas),
		switched: make(chan struct{}),
	}
}

// Put writes a value. The bytes must not be changed afterwards.
func (p *Platform) Put(key ebonyworks.ConfigurationKey, bytes []byte) (ebonyworks.KeyVersion, error) {
	if !validKey(key) {
		return 0, errors.Errorf("key %q is invalid", key)
	}
	return p.store.write(key, bytes, time.Now())
}

// Remove deletes a value.
func (p *Platform) Remove(key ebonyworks.ConfigurationKey) { p.store.remove(key) }

// SetHosts replaces the host list; hosts see it after the lag.
func (p *Platform) SetHosts(hosts []ebonyworks.ListedHost) error {
	bytes, err := configdoc.Codec{}.EncodeHosts(hosts)
	if err != nil {
		return err
	}
	_, err = p.store.write(hostsKey, bytes, time.Now())
	return err
}

// Hosts returns the host list as it was set last.
func (p *Platform) Hosts() []ebonyworks.ListedHost {
	newest, ok := p.store.newest(hostsKey)
	if !ok {
		return nil
	}
	// SetHosts encoded the list, so it can be decoded.
	hosts, _ := configdoc.Codec{}.DecodeHosts(newest.bytes)
	return hosts
}

// SetOutage starts or ends an outage of all replicas. The host list is down, too.
func (p *Platform) SetOutage(outage Outage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = outage
}

// SetStale makes a replica keep its present values until it is made fresh.
func (p *Platform) SetStale(replica int, stale bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if replica < 0 || replica >= len(p.since) {
		return errors.Errorf("replica %d doesn't exist", replica)
	}
	switch {
	case !stale:
		p.since[replica] = time.Time{}
	case p.since[replica].IsZero():
		p.since[replica] = time.Now()
	}
	close(p.switched)
	p.switched = make(chan struct{})
	return nil
}

func (p *Platform) currentOutage() Outage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outage
}

// pick returns the replica that serves a call.
func (p *Platform) pick() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(len(p.since))
}

// horizon is the time up to which a replica has taken writes.
func (p *Platform) horizon(replica int) (until time.Time, stale bool, switched <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until = time.Now()
	if since := p.since[replica]; !since.IsZero() {
		until = since
		stale = true
	}
	if len(p.since) > 1 {
		until = until.Add(-p.options.ReplicaLag * time.Duration(replica) / time.Duration(len(p.since)-1))
	}
	return until, stale, p.switched
}

// see returns what a replica sees of a key, and a channel that is closed when
// the replica becomes stale or fresh.
func (p *Platform) see(key ebonyworks.ConfigurationKey, replica int) (platformView, <-chan struct{}) {
	until, stale, switched := p.horizon(replica)
	seen := p.store.see(key, until)
	if stale {
		seen.next = 0
	}
	return seen, switched
}

// watch waits until the replica sees a version after the given one or the
// wait is over, and returns what it sees then.
func (p *Platform) watch(ctx context.Context, key ebonyworks.ConfigurationKey, replica int, after ebonyworks.KeyVersion, wait time.Duration) platformView {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		seen, switched := p.see(key, replica)
		if seen.found && seen.revision.version > after {
			return seen
		}
		arrival, stop := timerOf(seen.next)
		select {
		case <-arrival:
		case <-seen.changed:
		case <-switched:
		case <-end.C:
			stop()
			return seen
		case <-ctx.Done():
			stop()
			return seen
		}
		stop()
	}
}

// timerOf returns a channel that fires after the duration, or never if it is zero.
func timerOf(d time.Duration) (<-chan time.Time, func()) {
	if d <= 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(d)
	return timer.C, func() { timer.Stop() }
}

// visibleHosts returns the document of the host list after the lag.
func (p *Platform) visibleHosts() []byte {
	seen := p.store.see(hostsKey, time.Now().Add(-p.options.HostLag))
	if seen.found {
		return seen.revision.bytes
	}
	empty, _ := configdoc.Codec{}.EncodeHosts(nil)
	return empty
}
