package main

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ebonyworks/ebonyworks/event"
)

// Guards against a binary that doesn't serve its directory and host list, or
// doesn't stop in an orderly way.
func TestCommand(t *testing.T) {
	directory, hosts := t.TempDir(), filepath.Join(t.TempDir(), "hosts")
	require.NoError(t, os.WriteFile(filepath.Join(directory, "key"), []byte("value"), 0o600))
	require.NoError(t, os.WriteFile(hosts, []byte(`{"Hosts":[{"Name":"e1","Role":"Entry","Address":"127.0.0.1:9","Domain":"d"}]}`), 0o600))
	// The address differs between processes, so that several runs of the tests
	// don't disturb each other.
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(100 + pid%100), byte(pid / 100 % 250), 1}).String()
	ctx, cancel := context.WithCancel(t.Context())
	command := newCommand(&event.Recorder{})
	command.SetArgs([]string{"--configuration", directory, "--hosts", hosts, "--listen", host + ":20930", "--admin", host + ":20931"})
	done := make(chan error, 1)
	go func() { done <- command.ExecuteContext(ctx) }()
	for target, want := range map[string]string{"20930/v1/values/key": "value", "20930/v1/hosts": `"e1"`, "20931/hosts": `"e1"`} {
		assert.Eventually(t, func() bool {
			body, err := get("http://" + host + ":" + target)
			return err == nil && assert.Contains(t, body, want)
		}, 10*time.Second, 10*time.Millisecond)
	}
	cancel()
	assert.NoError(t, <-done)

	for _, wrong := range [][]string{{"--configuration", hosts + "-none"}, {"--hosts", filepath.Join(directory, "key")}, {"--listen", "nowhere"}} {
		command := newCommand(&event.Recorder{})
		command.SetArgs(wrong)
		assert.Error(t, command.ExecuteContext(t.Context()), wrong)
	}
}

func get(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
