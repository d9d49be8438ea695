package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// limitTime is how long after it was first named a limit must hold, limitWindow the
	// window in which requests are counted, and limitNotice how long after it was told
	// of the limit a host counts.
	limitTime   = 5 * time.Second
	limitWindow = 4 * time.Second
	limitNotice = 500 * time.Millisecond
)

// rateLimit is the limit that a server names, and what it got meanwhile.
type rateLimit struct {
	// perSecond is zero while the server names no limit.
	perSecond float64
	namedAt   time.Time
	// toldAt is when the server first named the limit to a host.
	toldAt map[int]time.Time
	// arrivals are the requests of hosts that had been told and weren't disturbed.
	arrivals []time.Time
}

// injectLimits lets a server name a limit, or no longer do so.
func (s *site) injectLimits(random *rand.Rand) {
	b := s.servers[random.IntN(len(s.servers))]
	perSecond := []float64{0, 0, 0.5, 2, 6}[random.IntN(5)]
	// Changes of a limit would need the time of each, so a limit ends before the next.
	b.set(func() {
		if perSecond == 0 || b.limit.perSecond == 0 {
			b.limit = rateLimit{perSecond: perSecond, namedAt: time.Now(), toldAt: make(map[int]time.Time)}
		}
	})
}

// limitHeader counts the request against the limit of the server, and returns the header
// line that names it.
func (b *backend) limitHeader(id string) string {
	host := hostOf(id)
	calm := host >= 0 && !*sizes && b.site.undisturbed(host, b, time.Now().Add(-limitTime))
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.limit.perSecond == 0 {
		return ""
	}
	now := time.Now()
	told, knows := b.limit.toldAt[host]
	if !knows {
		b.limit.toldAt[host] = now.Add(b.delay)
	}
	if calm && knows && now.Sub(told) >= limitNotice && now.Sub(b.limit.namedAt) >= limitTime {
		b.limit.arrivals = append(b.limit.arrivals, now)
		b.ledger.count("counted against a limit")
		count := 0
		for _, at := range b.limit.arrivals {
			if now.Sub(at) < limitWindow {
				count++
			}
		}
		if float64(count) > 1.5*limitWindow.Seconds()*b.limit.perSecond+5 {
			b.ledger.problem("server %s, which named %g a second, got %d requests in %s", b.id, b.limit.perSecond, count, limitWindow)
		}
	}
	return fmt.Sprintf("Server-Limit: %g\r\n", b.limit.perSecond)
}

// count notes an outcome that says nothing about whether the answer was good.
func (l *ledger) count(outcome string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outcomes[outcome]++
}

// Guards against processes that can't get permits from the one that issues them: each
// host is served by the rate-limited servers.
func TestAllHostsGetPermits(t *testing.T) {
	site := newSite(t, buildFront(t), 1, 3)
	for _, b := range site.servers {
		if b.service == "desk" {
			b.set(func() { b.limit = rateLimit{perSecond: 6, namedAt: time.Now(), toldAt: make(map[int]time.Time)} })
		}
	}
	site.start(t)
	served := make([]int, len(site.fronts))
	client := &http.Client{Timeout: 2 * time.Second}
	begin := time.Now()
	for i := 0; time.Since(begin) < 8*time.Second; i++ {
		host := i % len(site.fronts)
		before := site.ledger.okCount()
		site.ask(client, host, fmt.Sprintf("q-%d-%d-0-%d", site.seed, host, i), true)
		if time.Since(begin) > limitTime {
			served[host] += site.ledger.okCount() - before
		}
		time.Sleep(20 * time.Millisecond)
	}
	for host, count := range served {
		assert.Greater(t, count, 2, "host %d", host)
	}
	assert.Empty(t, site.ledger.problems)
}

// okCount returns the number of requests that were answered 200.
func (l *ledger) okCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.outcomes["200 OK"]
}
