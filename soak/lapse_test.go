package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against processes that refuse everything after a restart: old reads of the
// store show the entries of servers from before they lapsed and returned.
func TestRestartAfterLapse(t *testing.T) {
	binary := buildFront(t)
	site := newSite(t, binary, 1003, 6)
	site.start(t)
	for range 2 {
		site.store.holdOldReads()
		for _, server := range site.servers {
			site.store.remove("servers/" + server.id)
		}
		for _, server := range site.servers {
			site.announce(server, "ready")
		}
		for _, f := range site.fronts {
			f.kill()
		}
		for _, f := range site.fronts {
			site.restart(f)
		}
		for _, f := range site.fronts {
			assert.Eventually(t, func() bool {
				status, err := site.newest(f)
				return f.isReady() && err == nil && status == http.StatusOK
			}, 5*time.Second, 20*time.Millisecond, f.address)
		}
		site.store.endOldReads()
	}
}
