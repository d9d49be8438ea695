package main

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/configplan"
	"github.com/ebonyworks/ebonyworks/configplan/kitakaze"
	"github.com/ebonyworks/ebonyworks/event"
)

// Guards against a binary that can't serve what the operators' tool prints, or
// doesn't stop in an orderly way.
func TestCommand(t *testing.T) {
	// The address differs between processes, so that several runs of the tests
	// don't disturb each other.
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(100 + pid%100), byte(pid / 100 % 250), 1})
	first := netip.AddrPortFrom(host, 20920)
	admin := netip.AddrPortFrom(host, 20921).String()
	publication, problems := kitakaze.Plan(configplan.Addresses{First: first, PerHost: true}).Publish(1, ebonyworks.ConfigurationVersion{})
	require.Empty(t, problems)
	directory := t.TempDir()
	for _, value := range publication.Values() {
		path := filepath.Join(directory, filepath.FromSlash(string(value.Key)))
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, value.Bytes, 0o600))
	}
	ctx, cancel := context.WithCancel(t.Context())
	command := newCommand(&event.Recorder{})
	command.SetArgs([]string{
		"--configuration", directory, "--catalogue", "fitting-desk", "--admin", admin,
		"--origin", "Sapporo=127.10.0.0/16", "--drain-notice", "1ms", "--slow-factor", "2",
		"--traces", filepath.Join(directory, "spans"),
	})
	done := make(chan error, 1)
	go func() { done <- command.ExecuteContext(ctx) }()
	assert.Eventually(t, func() bool {
		response, err := http.Get("http://" + admin + "/servers")
		if err != nil {
			return false
		}
		return assert.Equal(t, http.StatusOK, response.StatusCode) && response.Body.Close() == nil
	}, 10*time.Second, 10*time.Millisecond)
	cancel()
	assert.NoError(t, <-done)
	assert.FileExists(t, filepath.Join(directory, "spans"))

	wrong := newCommand(&event.Recorder{})
	wrong.SetArgs([]string{"--configuration", directory, "--origin", "Sapporo"})
	assert.ErrorContains(t, wrong.ExecuteContext(t.Context()), "--origin")
}
