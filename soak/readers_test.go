package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// applyTime and contactTime are the settings ConfigApplyMs and ContactMs of the
	// processes.
	applyTime   = 3 * time.Second
	contactTime = 4 * time.Second
	// watchTime is longer than a reader of the store goes without a call.
	watchTime = 2500 * time.Millisecond
	// readerFaults is the number of steps of a run in one of which, on average, all
	// readers of the store are stopped, and in another one cut off from it.
	readerFaults = 16
)

// readers returns the places of the processes that have called the store lately.
func (s *site) readers() []int {
	var readers []int
	for i, l := range s.storeLinks {
		if l.usedSince(time.Now().Add(-watchTime)) {
			readers = append(readers, i)
		}
	}
	return readers
}

// injectReaders now and then begins a fault of all readers of the store at once.
func (s *site) injectReaders(random *rand.Rand) {
	switch random.IntN(readerFaults) {
	case 0:
		for _, reader := range s.readers() {
			if f := s.fronts[reader]; !f.isStopping() {
				f.signal(syscall.SIGSTOP)
			}
		}
	case 1:
		for _, reader := range s.readers() {
			s.storeLinks[reader].set("silent")
		}
	}
}

// Guards against changes that are late on all other processes while those that read
// the store are stopped, killed or cut off from it at one moment.
func TestReadersAreLostAtOnce(t *testing.T) {
	binary := buildFront(t)
	site := newSite(t, binary, 1002, 16)
	site.start(t)
	for _, fault := range []struct {
		name       string
		begin, end func(reader int)
	}{
		{
			"stopped",
			func(reader int) { site.fronts[reader].signal(syscall.SIGSTOP) },
			func(reader int) { site.fronts[reader].signal(syscall.SIGCONT) },
		},
		{
			"killed",
			func(reader int) { site.fronts[reader].kill() },
			func(reader int) { site.restart(site.fronts[reader]) },
		},
		{
			"cut off from the store",
			func(reader int) { site.storeLinks[reader].set("silent") },
			func(reader int) { site.storeLinks[reader].set("") },
		},
		{
			"turned away",
			func(reader int) { site.storeLinks[reader].set("reset") },
			func(reader int) { site.storeLinks[reader].set("") },
		},
	} {
		t.Run(fault.name, func(t *testing.T) {
			time.Sleep(contactTime)
			readers := site.readers()
			require.NotEmpty(t, readers)
			require.LessOrEqual(t, len(readers), len(site.fronts)/2)
			lost := make(map[int]bool)
			for _, reader := range readers {
				fault.begin(reader)
				lost[reader] = true
			}
			site.configure()
			changed := time.Now()
			for i, f := range site.fronts {
				if !lost[i] {
					site.awaitNewest(f, changed.Add(2*applyTime))
				}
			}
			took := time.Since(changed)
			t.Logf("%d readers lost, the change in force after %s", len(readers), took)
			assert.LessOrEqual(t, took, applyTime)
			for _, reader := range readers {
				fault.end(reader)
			}
		})
	}
	time.Sleep(contactTime)
	for _, f := range site.fronts {
		site.checkNewest(f)
	}
	assert.Empty(t, site.ledger.problems)
}

// awaitNewest waits until the newest configuration is in force on the host.
func (s *site) awaitNewest(f *front, latest time.Time) {
	for time.Now().Before(latest) {
		if status, err := s.newest(f); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.ledger.problem("host %s doesn't know the change after %s", f.address, 2*applyTime)
}

// newest returns the status of a request on the newest route.
func (s *site) newest(f *front) (int, error) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/newest", f.address, s.version), nil)
	if err != nil {
		return 0, err
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", "newest")
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
